#include "core/model/policy.h"

#include <cmath>

namespace bendtide {

namespace {

/// Calls `number(name, field, low, high)` for each numeric field, so that reading, writing and checking
/// share one table.
template <class P, class F>
void each_number(P& p, F&& number) {
  number("idle_return_s", p.idle_return_s, 1.0, 3600.0);
  number("silence_reports", p.silence_reports, 1.5, 100.0);
  number("call_again_s", p.call_again_s, 0.1, 600.0);
  number("close_bids", p.close_bids, 0.0, 1.0);
}

}  // namespace

Value Policy::to_json(const Policy& p) {
  Value out = {{"call_rounds", p.call_rounds}, {"spot_machines", p.spot_machines}};
  each_number(p, [&](const char* name, double field, double, double) { out[name] = field; });
  return out;
}

std::optional<std::string> Policy::apply(Policy& p, const Value& fields) {
  if (!fields.is_object()) return "body: must be an object";
  Policy next = p;
  std::optional<std::string> problem;
  Value known = to_json(p);
  for (const auto& [name, value] : fields.items())
    if (!known.contains(name)) return name + ": no such setting";
  each_number(next, [&](const char* name, double& field, double low, double high) {
    auto it = fields.find(name);
    if (it == fields.end() || problem) return;
    double value = it->is_number() ? it->get<double>() : NAN;
    if (!(value >= low && value <= high))
      problem = std::string(name) + ": must be a number from " + std::to_string(low) + " to " +
                std::to_string(high);
    else
      field = value;
  });
  if (auto it = fields.find("call_rounds"); it != fields.end() && !problem) {
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > 3)
      problem = "call_rounds: must be an integer from 1 to 3";
    else
      next.call_rounds = it->get<int>();
  }
  if (auto it = fields.find("spot_machines"); it != fields.end() && !problem) {
    if (!it->is_boolean())
      problem = "spot_machines: must be true or false";
    else
      next.spot_machines = it->get<bool>();
  }
  if (!problem) p = next;
  return problem;
}

}  // namespace bendtide
