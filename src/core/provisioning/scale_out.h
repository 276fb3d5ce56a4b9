// Scale-out: creates machines for tasks that found no capacity.
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

  /// Makes at most one creation call for the shard, and none while one is in flight, because demand is
  /// estimated anew once its outcome is known. A call with an unknown outcome is repeated with its
  /// idempotency key before any other call.
  void scale_out(Shard& shard);

  /// Handles the notice of a peer that the cloud has no capacity for this offering. Saves a call that would
  /// fail.
  void on_capacity_exhausted(const CapacityExhausted& exhausted);

 private:
  /// One creation call.
  struct Creation {
    std::string idempotency_key;
    Offering offering;
    int count = 0;
  };
  /// The machines of one offering that are to be created.
  struct MachinesWanted {
    int count = 0;
    bool best_effort = true;  ///< for best-effort tasks only
  };

  std::map<Offering, MachinesWanted> machines_wanted(Shard& shard) const;
  void create_machines(Shard& shard, const Creation& creation);
  void on_created(const std::string& shard_name, LeadershipTerm leadership_term, const Creation& creation,
                  const CloudResponse& response);
  /// Requests ownership records for the machines. No task runs on them before the records are written.
  void take_ownership(const std::string& shard_name, LeadershipTerm leadership_term, const Offering& offering,
                      const std::vector<std::string>& machines);
  /// Marks the offering as exhausted, and notifies all peers.
  void report_exhausted(const Offering& offering);
  std::string next_idempotency_key();

  ControllerState& state_;
  Fleet& fleet_;
  CloudClient& cloud_;
  OfferingSelector offerings_;
  DemandEstimate demand_;
  std::uint64_t idempotency_key_count_ = 0;  ///< the number of keys made so far
  /// Calls with an unknown outcome, by idempotency key.
  std::map<std::string, Creation> unresolved_creations_;
  std::set<std::string> shards_creating_;  ///< names of the shards with a call in flight
};

}  // namespace bendtide
