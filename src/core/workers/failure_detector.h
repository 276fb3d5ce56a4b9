// Which machines have failed: silent, unreachable for what is sent to them, or in a zone that is cut off.
//
// The rules rest on what a worker does: it waits for the reply to a heartbeat before it sends the next, and
// kills and forgets everything once its lease has run out, which only replies to its heartbeats renew.
#pragma once

#include "core/workers/task_tracker.h"

namespace bendtide {

class FailureDetector {
 public:
  FailureDetector(ControllerState& state, TaskTracker& tasks) : state_(state), tasks_(tasks) {}

  /// Ends leases that ran out, watches the zones, and decommissions machines that have failed.
  void check(Shard& shard);
  /// Whether tasks may be placed on the machine now.
  bool usable(const Machine& machine) const;
  /// Whether the machine may still be on its way up.
  bool booting(const Machine& machine) const;

  /// Whether a heartbeat that comes just now was sent after what we sent at `sent_at` (steady clock) had
  /// either arrived or been lost. While the worker waits for a reply it sends no other heartbeat: one that
  /// comes sooner was delayed on its way, or the one that we replied to was. Such a heartbeat shows nothing
  /// of what reaches the machine.
  bool sent_after(Micros sent_at) const;
  /// A heartbeat has come: it shows that a push without response before it was not lost with the machine.
  static void count_lost_push(Shard& shard, Machine& machine);
  /// Adds evidence that nothing reaches the machine. It gets a push: a response to it voids all evidence.
  static void add_missed_acknowledgement(Shard& shard, Machine& machine, int weight);

 private:
  void expire_lease(Shard& shard, Machine& machine);
  void check_lease(Shard& shard, Machine& machine, Micros lease);
  void trim_images(Machine& machine) const;
  void check_zones(Shard& shard);
  void on_zone_silent(Shard& shard, const std::string& zone) const;
  void on_zone_heard(Shard& shard, const std::string& zone) const;
  void decommission_failed(Shard& shard);

  ControllerState& state_;
  TaskTracker& tasks_;
};

}  // namespace bendtide
