// Typed access to the fields of JSON objects, with errors that name the field.
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

/// An error in a JSON text. Thrown by ObjectReader, and returned to callers of the protocols in `Parsed`.
struct FieldError {
  std::string field;  ///< empty if the error concerns the whole text
  std::string problem;

  /// Returns the one-line error message for the sender of the text.
  std::string text() const { return field.empty() ? problem : field + ": " + problem; }
};

/// A parsed value, or the error that prevented parsing it.
template <class T>
using Parsed = std::variant<T, FieldError>;

/// The maximum length of a name in any field.
inline constexpr std::size_t kMaxNameBytes = 200;

/// Maps an enumerator to its name in the protocol.
template <class E>
struct EnumName {
  const char* name;
  E value;
};
template <class E>
using EnumNames = std::initializer_list<EnumName<E>>;

/// Returns the protocol name of `value`; empty if the table has none.
template <class E>
const char* name_of(E value, EnumNames<E> names) {
  for (const EnumName<E>& entry : names)
    if (entry.value == value) return entry.name;
  return "";
}

/// How to round an amount that is not a whole number of thousandths.
enum class Rounding { up, down };

/// Parses a JSON text; throws FieldError if it is malformed. The nesting depth needs no limit of its own,
/// because the size of a message body bounds it.
nlohmann::json parse_json(std::string_view text);

/// A view of a JSON object; the object must outlive it. Accessors throw FieldError if a required field is
/// missing or a field is invalid. Except in require_nullable(), null means the same as a missing field.
class ObjectReader {
 public:
  /// Throws FieldError if `value` is not an object.
  explicit ObjectReader(const nlohmann::json& value);

  /// Whether the field is present and not null.
  bool has(const char* field) const { return find(field) != nullptr; }
  /// Returns the field, or a null pointer if it is missing or null.
  const nlohmann::json* find(const char* field) const;
  /// Returns a field that must be present and not null.
  const nlohmann::json& require(const char* field) const;
  /// Returns a field that must be present but may be null.
  const nlohmann::json& require_nullable(const char* field) const;

  /// Returns a string of 1 to kMaxNameBytes bytes.
  std::string name(const char* field) const;
  std::optional<std::string> optional_name(const char* field) const;
  /// Returns a Boolean; `fallback` if the field is missing.
  bool flag_or(const char* field, bool fallback) const;
  /// Returns a finite number from 0 to 1e9.
  double amount(const char* field) const;
  double amount_or(const char* field, double fallback) const;
  /// Returns a non-negative integer.
  std::uint64_t count(const char* field) const;
  /// Returns a duration, which the protocol states in seconds.
  Micros duration(const char* field) const;
  std::optional<Micros> optional_duration(const char* field) const;
  /// Returns an array.
  const nlohmann::json& list(const char* field) const;
  /// Returns an array of strings of any length and content.
  std::vector<std::string> strings(const char* field) const;
  /// Returns the CPUs, GPUs (0 if missing) and memory.
  Resources resources(Rounding rounding) const;

  /// Returns the enumerator whose protocol name the field holds.
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

/// Calls `read` and returns its result, or the FieldError that it threw.
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
