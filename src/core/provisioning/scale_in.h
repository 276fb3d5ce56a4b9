// Scale in: decommissions machines that are idle or silent, and deletes them.
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

  /// Decommissions what is no longer needed, and deletes up to one call's worth of decommissioned machines. A
  /// machine leaves the shard only once the cloud has confirmed its deletion.
  void scale_in(Shard& shard);

 private:
  /// One deletion call.
  struct Deletion {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::vector<std::string> machines;
  };

  void decommission_idle_machines(Shard& shard) const;
  bool is_idle_for_long(const Machine& machine) const;
  /// Stops best-effort work that alone keeps an on-demand machine from being returned.
  void drain_best_effort(Shard& shard, Machine& machine) const;
  /// Whether all that is on the machine is known best-effort work that goes on. One task that is being
  /// stopped, or whose job is not known, makes it false.
  bool has_only_best_effort(const Shard& shard, const Machine& machine) const;
  /// Machines that should be up, but have sent no status under the present leadership.
  void decommission_silent_machines(Shard& shard) const;
  void delete_decommissioned_machines(Shard& shard);
  void on_deleted(const Deletion& deletion, const CloudResponse& response);

  ControllerState& state_;
  Fleet& fleet_;
  CloudClient& cloud_;
};

}  // namespace bendtide
