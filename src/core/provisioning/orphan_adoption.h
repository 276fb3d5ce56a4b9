// Adoption of orphaned machines: machines that exist in the cloud but have no ownership record.
#pragma once

#include <string>

#include "core/provisioning/cloud_client.h"
#include "core/workers/fleet.h"

namespace bendtide {

/// Reads the cloud's list of machines page by page, and requests ownership of the machines that no shard owns
/// and whose home shard is the controller's own shard. Orphaned machines result from a controller that stops
/// between the creation of a machine and the write of its ownership record.
class OrphanAdoption {
 public:
  OrphanAdoption(ControllerState& state, Fleet& fleet, CloudClient& cloud)
      : state_(state), fleet_(fleet), cloud_(cloud) {}

  /// Starts the periodic reads of the list. The first read is made after twice the lag of the list. Further
  /// calls have no effect.
  void start();
  /// Reads the next page if it is due. `shard`: the controller's own shard.
  void tick(Shard& shard);

 private:
  void on_listed(const std::string& shard_name, LeadershipTerm leadership_term,
                 const CloudResponse& response);
  bool should_adopt(const CloudMachine& machine, const std::string& shard_name) const;
  /// Returns the time between two reads of the whole list. The ownership record of a machine younger than
  /// this may still be written.
  Micros list_interval() const;

  ControllerState& state_;
  Fleet& fleet_;
  CloudClient& cloud_;
  Micros next_page_at_{0};  ///< steady clock
  std::string list_after_;  ///< the next page starts after this machine; empty: at the start of the list
};

}  // namespace bendtide
