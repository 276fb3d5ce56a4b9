// Scale-in: decommissions machines that are idle or silent, and deletes them.
#pragma once

#include <string>
#include <vector>

#include "core/provisioning/cloud_client.h"
#include "core/workers/fleet.h"

namespace bendtide {

class ScaleIn {
 public:
  ScaleIn(ControllerState& state, Fleet& fleet, CloudClient& cloud)
      : state_(state), fleet_(fleet), cloud_(cloud) {}

  /// Decommissions machines that are no longer needed, and deletes decommissioned machines with at most one
  /// call. A machine is removed from the shard only after the cloud has confirmed its deletion.
  void scale_in(Shard& shard);

 private:
  /// One deletion call.
  struct Deletion {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::vector<std::string> machines;
  };

  void decommission_idle_machines(Shard& shard) const;
  bool is_idle_long_enough(const Machine& machine) const;
  /// Stops the tasks of an on-demand machine that has run only best-effort tasks for the configured idle
  /// time, so that it can be returned.
  void drain_best_effort(Shard& shard, Machine& machine) const;
  /// Whether all tasks on the machine belong to known best-effort jobs and none has ended or is being
  /// stopped.
  bool has_only_best_effort(const Shard& shard, const Machine& machine) const;
  /// Decommissions machines that should have booted, but have sent no status in this leadership term.
  void decommission_silent_machines(Shard& shard) const;
  void delete_decommissioned_machines(Shard& shard);
  void on_deleted(const Deletion& deletion, const CloudResponse& response);

  ControllerState& state_;
  Fleet& fleet_;
  CloudClient& cloud_;
};

}  // namespace bendtide
