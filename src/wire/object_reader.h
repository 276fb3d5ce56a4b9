// Reading of the fields of JSON objects, with a typed error that names the field.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide::wire {

/// What is wrong with a JSON text. Thrown while it is read, and part of `Parsed` afterwards.
struct FieldError {
  std::string field;  ///< empty: the text as a whole
  std::string problem;

  /// The one line that the sender of the text receives.
  std::string text() const { return field.empty() ? problem : field + ": " + problem; }
};

/// A value, or what is wrong with the text that should hold it.
template <class T>
using Parsed = std::variant<T, FieldError>;

/// The longest name, in bytes, that any field may hold.
inline constexpr std::size_t kMaxNameBytes = 200;

/// The name that the protocol gives to a value of an enumeration.
template <class E>
struct EnumName {
  const char* name;
  E value;
};
template <class E>
using EnumNames = std::initializer_list<EnumName<E>>;

/// The name of `value`; empty if the table has none.
template <class E>
const char* name_of(E value, EnumNames<E> names) {
  for (const EnumName<E>& entry : names)
    if (entry.value == value) return entry.name;
  return "";
}

/// Which way an amount that is no whole number of thousandths is rounded.
enum class Rounding { up, down };

/// Parses a JSON text; throws FieldError. Its depth is bounded by the size of a body.
nlohmann::json parse_json(std::string_view text);

/// A view of one JSON object, which has to outlive it. Accessors throw FieldError if the field does not fit.
/// A field that may be null may be omitted instead.
class ObjectReader {
 public:
  /// Throws FieldError if `value` is not an object.
  explicit ObjectReader(const nlohmann::json& value);

  bool has(const char* field) const { return find(field) != nullptr; }
  /// Null if the field is missing or null.
  const nlohmann::json* find(const char* field) const;
  /// A field that is neither missing nor null.
  const nlohmann::json& require(const char* field) const;
  /// A field that is not missing; null is a value of its own.
  const nlohmann::json& require_nullable(const char* field) const;

  /// A string of 1 to kMaxNameBytes bytes.
  std::string name(const char* field) const;
  std::optional<std::string> optional_name(const char* field) const;
  bool flag_or(const char* field, bool otherwise) const;
  /// A finite number from 0 to 1e9.
  double amount(const char* field) const;
  double amount_or(const char* field, double otherwise) const;
  /// A whole number from 0 on.
  std::uint64_t count(const char* field) const;
  /// An amount of seconds.
  Micros duration(const char* field) const;
  std::optional<Micros> optional_duration(const char* field) const;
  const nlohmann::json& list(const char* field) const;
  /// A list of strings, of any length and content.
  std::vector<std::string> strings(const char* field) const;
  /// CPUs, GPUs (none if missing) and memory.
  Resources resources(Rounding rounding) const;

  template <class E>
  E one_of(const char* field, EnumNames<E> names) const {
    const nlohmann::json& value = require(field);
    if (value.is_string())
      for (const EnumName<E>& entry : names)
        if (value.get_ref<const std::string&>() == entry.name) return entry.value;
    throw FieldError{field, "unknown value"};
  }

 private:
  std::int64_t thousandths(const char* field, Rounding rounding) const;

  const nlohmann::json& object_;
};

/// Runs a reader that throws FieldError, and returns what it read or the error.
template <class T, class Read>
Parsed<T> parse_with(Read&& read) {
  try {
    return read();
  } catch (const FieldError& error) {
    return error;
  } catch (const nlohmann::json::exception&) {
    return FieldError{"", "malformed"};
  }
}

}  // namespace bendtide::wire
