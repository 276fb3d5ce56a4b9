// Scale out: creates machines for tasks that found no capacity.
#pragma once

#include <map>
#include <set>
#include <string>

#include "core/provisioning/cloud_client.h"
#include "core/provisioning/offering_selector.h"

namespace bendtide {

class ScaleOut {
 public:
  ScaleOut(ControllerState& state, Fleet& fleet, CloudClient& cloud)
      : state_(state), fleet_(fleet), cloud_(cloud), offerings_(state), demand_(state, fleet) {}

  /// Makes at most one creation call for the shard, and none while one is in flight: the next pass sees what
  /// it brought. A call whose outcome is unknown is repeated with its idempotency key before any other.
  void scale_out(Shard& shard);

  /// A peer was refused this offering: no need to spend a call on it.
  void on_capacity_exhausted(const CapacityExhausted& exhausted);

 private:
  /// One creation call.
  struct Creation {
    std::string idempotency_key;
    Offering offering;
    int count = 0;
  };
  /// Machines of one offering that are wanted.
  struct MachinesWanted {
    int count = 0;
    bool best_effort = true;  ///< for best-effort work only
  };

  std::map<Offering, MachinesWanted> machines_wanted(Shard& shard) const;
  void create_machines(Shard& shard, const Creation& creation);
  void on_created(const std::string& shard_name, LeadershipTerm leadership_term, const Creation& creation,
                  const CloudResponse& response);
  /// Requests ownership records for the machines; nothing runs on them before these are written.
  void take_ownership(const std::string& shard_name, LeadershipTerm leadership_term, const Offering& offering,
                      const std::vector<std::string>& machines);
  /// Tells the peers, too.
  void report_exhausted(const Offering& offering);
  std::string next_idempotency_key();

  ControllerState& state_;
  Fleet& fleet_;
  CloudClient& cloud_;
  OfferingSelector offerings_;
  DemandEstimate demand_;
  std::uint64_t idempotency_keys_ = 0;                 ///< made so far
  std::map<std::string, Creation> unknown_creations_;  ///< without a known outcome, by idempotency key
  std::set<std::string> creating_;                     ///< shards with a call in flight
};

}  // namespace bendtide
