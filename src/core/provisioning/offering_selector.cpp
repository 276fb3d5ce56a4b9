#include "core/provisioning/offering_selector.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr Micros kExhaustedPeriod = seconds(20);
/// A boot time of this many seconds doubles the weighted cost.
constexpr double kBootSecondsDoublingCost = 120;
/// Cost factor of other zones for a service: in this controller's zone, it keeps running while other zones
/// are unreachable.
constexpr double kRemoteZoneFactorForService = 1.25;
/// Cost factor of other zones for an array: just enough to decide between equal costs.
constexpr double kRemoteZoneFactorForArray = 1.001;

}  // namespace

bool OfferingSelector::is_available(const Shard& shard, const Demand& demand, const MachineType& type,
                                    const Offering& offering) const {
  if (!suits(demand.job->spec, offering)) return false;
  if (demand.spot_only && !offering.spot) return false;
  if (offering.spot && (!state_.context.policy.spot_machines || type.spot_price <= 0)) return false;
  if (shard.unreachable_zones.contains(offering.zone)) return false;
  const auto exhausted = exhausted_until_.find(offering);
  return exhausted == exhausted_until_.end() || exhausted->second <= state_.now();
}

double OfferingSelector::weighted_cost(const Demand& demand, const std::vector<Demand>& demands,
                                       const MachineType& type, const Offering& offering) const {
  std::int64_t wanted_cpu = 0;
  for (const Demand& other : demands)
    if (suits(other.job->spec, offering)) wanted_cpu += other.job->spec.task_resources.cpu * other.tasks;
  const double price = offering.spot ? type.spot_price : type.price;
  double cost = price / static_cast<double>(std::min(type.size.cpu, wanted_cpu));
  cost *= 1.0 + in_seconds(type.boot) / kBootSecondsDoublingCost;
  if (offering.zone != state_.context.settings.zone)
    cost *=
        demand.job->spec.shape == Shape::service ? kRemoteZoneFactorForService : kRemoteZoneFactorForArray;
  return cost;
}

std::optional<Offering> OfferingSelector::cheapest(const Shard& shard, const Demand& demand,
                                                   const std::vector<Demand>& demands) const {
  std::optional<Offering> best;
  double best_cost = 0;
  auto consider = [&](const MachineType& type, const Offering& offering) {
    if (!is_available(shard, demand, type, offering)) return;
    const double cost = weighted_cost(demand, demands, type, offering);
    if (best && cost >= best_cost) return;
    best = offering;
    best_cost = cost;
  };
  for (const MachineType& type : state_.catalogue) {
    if (type.size.count_that_fit(demand.job->spec.task_resources) <= 0) continue;
    for (const std::string& zone : type.zones)
      for (const bool spot : {false, true}) consider(type, {type.name, zone, spot});
  }
  return best;
}

void OfferingSelector::mark_exhausted(const Offering& offering) {
  exhausted_until_[offering] = state_.now() + kExhaustedPeriod;
}

}  // namespace bendtide
