// The choice among the cloud's offerings.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/provisioning/demand.h"

namespace bendtide {

/// Chooses the cheapest offering for a demand, and remembers for a while which ones the cloud could not
/// deliver.
class OfferingSelector {
 public:
  explicit OfferingSelector(const ControllerState& state) : state_(state) {}

  /// The offering that costs least for each CPU that will be used, with the other demands put on the same
  /// machine where it suits them. None if the catalogue has none for it, or only exhausted ones.
  std::optional<Offering> cheapest(const Shard& shard, const Demand& demand,
                                   const std::vector<Demand>& demands) const;

  /// The cloud has no more of these: not considered for some seconds.
  void mark_exhausted(const Offering& offering);

 private:
  bool is_available(const Shard& shard, const Demand& demand, const MachineType& type,
                    const Offering& offering) const;
  /// Price for each thousandth of a CPU that will be used, weighted by boot time and zone.
  double weighted_cost(const Demand& demand, const std::vector<Demand>& demands, const MachineType& type,
                       const Offering& offering) const;

  const ControllerState& state_;
  std::map<Offering, Micros> exhausted_until_;  ///< steady clock
};

}  // namespace bendtide
