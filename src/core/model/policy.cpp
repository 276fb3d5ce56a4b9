#include "core/model/policy.h"

#include <cmath>

namespace bendtide {

namespace {

constexpr int kMinCallRounds = 1;
constexpr int kMaxCallRounds = 3;

/// Calls `visit(name, field, low, high)` for each field of type double. Reading, writing and
/// validation share this table.
template <class P, class F>
void for_each_number(P& policy, F&& visit) {
  visit("idle_return_s", policy.idle_return_s, 1.0, 3600.0);
  visit("silence_reports", policy.silence_reports, 1.5, 100.0);
  visit("call_again_s", policy.call_again_s, 0.1, 600.0);
  visit("close_bids", policy.close_bids, 0.0, 1.0);
}

std::optional<PolicyError> check_names(const Value& fields, const Value& known) {
  for (const auto& [name, value] : fields.items())
    if (!known.contains(name)) return PolicyError{name, "no such setting"};
  return std::nullopt;
}

std::optional<PolicyError> apply_numbers(Policy& policy, const Value& fields) {
  std::optional<PolicyError> error;
  for_each_number(policy, [&](const char* name, double& field, double low, double high) {
    const auto given = fields.find(name);
    if (given == fields.end() || error) return;
    const double value = given->is_number() ? given->get<double>() : NAN;
    if (value >= low && value <= high)
      field = value;
    else
      error = {name, "must be a number from " + std::to_string(low) + " to " + std::to_string(high)};
  });
  return error;
}

std::optional<PolicyError> apply_call_rounds(Policy& policy, const Value& fields) {
  const auto given = fields.find("call_rounds");
  if (given == fields.end()) return std::nullopt;
  if (!given->is_number_integer() || given->get<std::int64_t>() < kMinCallRounds ||
      given->get<std::int64_t>() > kMaxCallRounds)
    return PolicyError{"call_rounds", "must be an integer from " + std::to_string(kMinCallRounds) + " to " +
                                          std::to_string(kMaxCallRounds)};
  policy.call_rounds = given->get<int>();
  return std::nullopt;
}

std::optional<PolicyError> apply_spot_machines(Policy& policy, const Value& fields) {
  const auto given = fields.find("spot_machines");
  if (given == fields.end()) return std::nullopt;
  if (!given->is_boolean()) return PolicyError{"spot_machines", "must be true or false"};
  policy.spot_machines = given->get<bool>();
  return std::nullopt;
}

}  // namespace

Value Policy::to_json(const Policy& policy) {
  Value out = {{"call_rounds", policy.call_rounds}, {"spot_machines", policy.spot_machines}};
  for_each_number(policy, [&](const char* name, double field, double, double) { out[name] = field; });
  return out;
}

std::optional<PolicyError> Policy::apply(const Value& fields) {
  if (!fields.is_object()) return PolicyError{"body", "must be an object"};
  if (auto error = check_names(fields, to_json(*this))) return error;
  Policy next = *this;
  if (auto error = apply_numbers(next, fields)) return error;
  if (auto error = apply_call_rounds(next, fields)) return error;
  if (auto error = apply_spot_machines(next, fields)) return error;
  *this = next;
  return std::nullopt;
}

}  // namespace bendtide
