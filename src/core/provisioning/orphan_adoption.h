// Adoption of orphaned machines: those that exist in the cloud without an ownership record.
#pragma once

#include <string>

#include "core/provisioning/cloud_client.h"
#include "core/workers/fleet.h"

namespace bendtide {

/// Reads the cloud's list of machines, page after page, and requests ownership of those that no shard owns
/// and whose home shard is the controller's own. Such are left when a controller stops between the creation
/// of a machine and the write of its ownership record.
class OrphanAdoption {
 public:
  OrphanAdoption(ControllerState& state, Fleet& fleet, CloudClient& cloud)
      : state_(state), fleet_(fleet), cloud_(cloud) {}

  /// From now on the list is read regularly, the first time after its lag.
  void start();
  /// `shard`: the controller's own.
  void tick(Shard& shard);

 private:
  void on_listed(const std::string& shard_name, LeadershipTerm leadership_term,
                 const CloudResponse& response);
  bool is_orphaned_here(const CloudMachine& machine, const std::string& shard_name) const;
  /// Between two readings of the whole list. A machine younger than that may be about to be recorded.
  Micros pause() const;

  ControllerState& state_;
  Fleet& fleet_;
  CloudClient& cloud_;
  Micros next_page_at_{0};  ///< steady clock
  std::string list_after_;  ///< the next page begins behind this machine; empty: at the beginning
};

}  // namespace bendtide
