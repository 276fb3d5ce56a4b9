// Detects failed machines: machines that are silent or that receive nothing, and zones that are unreachable.
//
// The rules rely on two properties of a worker. It waits for the reply to a heartbeat before it sends the
// next one. It kills and forgets all its tasks when its lease expires, and only replies to its heartbeats
// renew the lease.
#pragma once

#include "core/workers/task_tracker.h"

namespace bendtide {

class FailureDetector {
 public:
  FailureDetector(ControllerState& state, TaskTracker& tasks) : state_(state), tasks_(tasks) {}

  /// Expires worker leases, detects unreachable zones and decommissions failed machines.
  void check(Shard& shard);
  /// Returns whether tasks may be placed on the machine now.
  bool is_usable(const Machine& machine) const;
  /// Returns whether the machine may still be booting.
  bool may_be_booting(const Machine& machine) const;

  /// Returns whether a heartbeat that arrives now was sent after the message that this controller sent at
  /// `sent_at` (steady clock) had either arrived or been lost. A worker sends no other heartbeat while it
  /// waits for a reply. A heartbeat that arrives sooner was therefore delayed in the network, or the
  /// heartbeat that was replied to was. Such a heartbeat does not show whether the machine receives messages.
  bool sent_after_delivery_of(Micros sent_at) const;
  /// Called when a heartbeat has arrived: if a push before it got no response, the machine is alive and the
  /// push was lost. Counts that push.
  static void count_lost_push(Shard& shard, Machine& machine);
  /// Adds evidence that the machine receives nothing, and requests a push to it. A response to the push
  /// clears all evidence.
  static void add_missed_acknowledgement(Shard& shard, Machine& machine, int weight);

 private:
  void expire_lease(Shard& shard, Machine& machine);
  void check_lease(Shard& shard, Machine& machine, Micros lease);
  void trim_images(Machine& machine) const;
  void check_zones(Shard& shard);
  void on_zone_unreachable(Shard& shard, const std::string& zone) const;
  void on_zone_reachable(Shard& shard, const std::string& zone) const;
  void decommission_failed(Shard& shard);

  ControllerState& state_;
  TaskTracker& tasks_;
};

}  // namespace bendtide
