#include "wire/object_reader.h"

#include <cmath>

#include "wire/names.h"

namespace bendtide::wire {

using nlohmann::json;

namespace {

constexpr double kMaxAmount = 1e9;  ///< keeps sums of thousandths far below integer overflow

/// Amounts that differ from a whole number of thousandths by less than this (in thousandths) are rounded to
/// it, because most decimal fractions have no exact binary representation.
constexpr double kRoundingError = 1e-6;

std::int64_t to_thousandths(double amount, Rounding rounding) {
  const double scaled = amount * 1000.0;
  const double nearest = std::round(scaled);
  if (std::abs(scaled - nearest) < kRoundingError) return static_cast<std::int64_t>(nearest);
  return static_cast<std::int64_t>(rounding == Rounding::up ? std::ceil(scaled) : std::floor(scaled));
}

}  // namespace

json parse_json(std::string_view text) {
  json value = json::parse(text, nullptr, false);
  if (value.is_discarded()) throw FieldError{"", "not JSON"};
  return value;
}

ObjectReader::ObjectReader(const json& value) : object_(value) {
  if (!value.is_object()) throw FieldError{"", "not an object"};
}

const json* ObjectReader::find(const char* field) const {
  const auto found = object_.find(field);
  return found == object_.end() || found->is_null() ? nullptr : &*found;
}

const json& ObjectReader::require(const char* field) const {
  const json* value = find(field);
  if (value == nullptr) throw FieldError{field, "missing"};
  return *value;
}

const json& ObjectReader::require_nullable(const char* field) const {
  const auto found = object_.find(field);
  if (found == object_.end()) throw FieldError{field, "missing"};
  return *found;
}

std::string ObjectReader::name(const char* field) const {
  const json& value = require(field);
  if (!value.is_string()) throw FieldError{field, "must be a string"};
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxNameBytes) throw FieldError{field, "bad length"};
  return text;
}

std::optional<std::string> ObjectReader::optional_name(const char* field) const {
  if (!has(field)) return std::nullopt;
  return name(field);
}

bool ObjectReader::flag_or(const char* field, bool fallback) const {
  const json* value = find(field);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) throw FieldError{field, "must be true or false"};
  return value->get<bool>();
}

double ObjectReader::amount(const char* field) const {
  const json& value = require(field);
  if (!value.is_number()) throw FieldError{field, "must be a number"};
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > kMaxAmount) throw FieldError{field, "out of range"};
  return number;
}

double ObjectReader::amount_or(const char* field, double fallback) const {
  return has(field) ? amount(field) : fallback;
}

std::uint64_t ObjectReader::count(const char* field) const {
  const json& value = require(field);
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  if (value.is_number_integer() && value.get<std::int64_t>() >= 0) return value.get<std::uint64_t>();
  throw FieldError{field, "must be a whole number"};
}

Micros ObjectReader::duration(const char* field) const { return seconds(amount(field)); }

std::optional<Micros> ObjectReader::optional_duration(const char* field) const {
  if (!has(field)) return std::nullopt;
  return duration(field);
}

const json& ObjectReader::list(const char* field) const {
  const json& value = require(field);
  if (!value.is_array()) throw FieldError{field, "must be a list"};
  return value;
}

std::vector<std::string> ObjectReader::strings(const char* field) const {
  return require(field).get<std::vector<std::string>>();
}

Resources ObjectReader::resources(Rounding rounding) const {
  Resources resources;
  resources.cpu = thousandths(names::kCpus, rounding);
  resources.gpu = has(names::kGpus) ? thousandths(names::kGpus, rounding) : 0;
  resources.memory = thousandths(names::kMemory, rounding);
  return resources;
}

std::int64_t ObjectReader::thousandths(const char* field, Rounding rounding) const {
  return to_thousandths(amount(field), rounding);
}

}  // namespace bendtide::wire
