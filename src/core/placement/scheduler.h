// Placement within one shard: the front of queue order, bin packing and preemption.
#pragma once

#include "core/placement/placer.h"

namespace bendtide {

class Scheduler {
 public:
  Scheduler(ControllerState& state, const Fleet& fleet)
      : state_(state), fleet_(fleet), placer_(state, fleet) {}

  /// Places what can be placed, and stops tasks that have to give way. Leaves in each job how many of its
  /// tasks found no capacity (`overflow`). Does nothing unless something has changed since the last pass, or
  /// half a second has gone by.
  void pass(Shard& shard);

  /// Places on one machine what waited at the last pass, so that the response to its heartbeat brings it new
  /// work.
  void fill(Shard& shard, Machine& machine);

  /// How many tasks of a call for proposals a shard could take, and after what delay they would start.
  struct Offer {
    std::uint32_t tasks = 0;
    Micros delay{0};
  };
  Offer offer(Shard& shard, const CallForProposals& call) const;

 private:
  /// Places tasks of one queue entry on one machine, if it may run there.
  void fill_from(Shard& shard, const QueueEntry& entry, FreeCapacity& capacity, bool only_if_cached);
  bool may_start_on(const Shard& shard, const Job& job, const Machine& machine) const;

  /// For how many tasks of a call the machines of a shard have capacity.
  struct CallCapacity {
    std::int64_t now = 0;
    std::int64_t soon = 0;  ///< further ones, counted only as long as `now` is too little
    bool cached = false;    ///< a machine with capacity now caches the image
  };
  CallCapacity capacity_for(const Shard& shard, const CallForProposals& call) const;
  /// Whether tasks of the shard's own jobs need what comes free next.
  static bool own_tasks_wait(const Shard& shard, const CallForProposals& call);

  ControllerState& state_;
  const Fleet& fleet_;
  Placer placer_;
};

}  // namespace bendtide
