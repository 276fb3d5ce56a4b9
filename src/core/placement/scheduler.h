// Placement within one shard. The interface to queue order, bin packing and preemption.
#pragma once

#include "core/placement/placer.h"

namespace bendtide {

class Scheduler {
 public:
  Scheduler(ControllerState& state, const Fleet& fleet)
      : state_(state), fleet_(fleet), placer_(state, fleet) {}

  /// Runs a scheduling pass: places waiting tasks, preempts others for them where allowed, and stores in each
  /// job how many of its tasks found no capacity (`tasks_without_capacity`). Does nothing unless the shard
  /// has changed since the last pass or half a second has passed.
  void run_pass(Shard& shard);

  /// Places tasks that were left waiting by the last pass on one machine, so that the response to its
  /// heartbeat can carry start commands.
  void fill_machine(Shard& shard, Machine& machine);

  /// The number of tasks of a call for proposals that a shard can take, and the delay until they start.
  struct Offer {
    std::uint32_t tasks = 0;
    Micros delay{0};
  };
  Offer offer(Shard& shard, const CallForProposals& call) const;

 private:
  /// Places tasks of one queue entry on the machine if the job may start there.
  void fill_from(Shard& shard, const QueueEntry& entry, FreeCapacity& capacity, bool only_if_cached);
  bool may_start_on(const Shard& shard, const Job& job, const Machine& machine) const;

  /// The number of tasks of a call that the machines of a shard have capacity for.
  struct CallCapacity {
    std::int64_t now = 0;   ///< on resources that are free
    std::int64_t soon = 0;  ///< further tasks within 5 s, counted only while `now` is too few
    bool cached = false;    ///< a machine with free capacity caches the image
  };
  CallCapacity capacity_for(const Shard& shard, const CallForProposals& call) const;
  /// Whether waiting tasks of the shard need the capacity that is released next. If the call discloses its
  /// priority, tasks of lower priority do not count. Tasks of jobs with an exhausted quota share never do.
  static bool has_waiting_tasks(const Shard& shard, const CallForProposals& call);

  ControllerState& state_;
  const Fleet& fleet_;
  Placer placer_;
};

}  // namespace bendtide
