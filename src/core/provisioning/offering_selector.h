// Selection among the cloud's offerings.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/provisioning/demand.h"

namespace bendtide {

/// Selects the cheapest offering for a demand. Offerings that the cloud had no capacity for are excluded for
/// a limited time.
class OfferingSelector {
 public:
  explicit OfferingSelector(const ControllerState& state) : state_(state) {}

  /// Returns the offering with the lowest weighted cost for each CPU that will be used, where tasks of other
  /// demands may share the machine if it suits them. Returns none if the catalogue has no suitable offering
  /// that is available.
  std::optional<Offering> cheapest(const Shard& shard, const Demand& demand,
                                   const std::vector<Demand>& demands) const;

  /// Records that the cloud has no capacity for the offering, which excludes it for 20 seconds.
  void mark_exhausted(const Offering& offering);

 private:
  bool is_available(const Shard& shard, const Demand& demand, const MachineType& type,
                    const Offering& offering) const;
  /// Returns the price for each thousandth of a CPU that will be used, weighted by boot time and zone.
  double weighted_cost(const Demand& demand, const std::vector<Demand>& demands, const MachineType& type,
                       const Offering& offering) const;

  const ControllerState& state_;
  std::map<Offering, Micros> exhausted_until_;  ///< steady clock
};

}  // namespace bendtide
