// Preemption: which tasks are stopped so that others find capacity.
//
// A task is stopped for a job of higher priority, or, where the cloud has no machine to offer, for one of
// equal priority of another team that is still within its guarantee while the task's team is above its own.
// The capacity is only there once the worker has shown that the task is gone; until then it is reserved for
// the pass in which the task was stopped.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/placement/placer.h"

namespace bendtide {

/// Preemption during one pass over the queue of one shard: bounds its extent, and keeps account of the
/// capacity that stopping tasks release, so that it is not counted on twice.
class PreemptionPass {
 public:
  /// `capacities`: of all usable machines, before the pass has placed anything.
  PreemptionPass(ControllerState& state, Shard& shard, std::vector<FreeCapacity> capacities);

  /// Whether a service starts sooner on a machine that caches its image, once tasks of lower priority there
  /// have stopped, than anywhere else after a fetch.
  bool starts_sooner_where_cached(const Job& job, const TasksPerZone& tasks_per_zone) const;

  /// Whether there may be tasks to be stopped for a job, and the limit of the pass is not reached.
  bool may_preempt_for(const Job& job) const;

  /// Stops tasks for those of a job that found no capacity, as far as the quota of its team goes.
  void preempt_for(const QueueEntry& entry, const TasksPerZone& tasks_per_zone);

 private:
  /// What is free on a machine once tasks of lower priority that stop quickly are gone.
  Resources free_after_quick_stops(const Job& job, const FreeCapacity& capacity) const;
  /// Takes the released capacity that is not counted on yet into account for up to `tasks` tasks; for how
  /// many it is enough.
  std::int64_t count_on_released(const Resources& each, std::int64_t tasks);
  /// For services: machines that cache the image, then near ones, then those that run services already.
  void order_for_service(const Job& job);

  ControllerState& state_;
  Shard& shard_;
  std::vector<FreeCapacity> capacities_;
  Priority lowest_ = Priority::production;  ///< of the jobs with tasks on machines
  std::set<std::string> over_guarantee_;    ///< teams that use more than their guarantee
  /// CPUs in thousandths that come free by themselves within the time of the guarantees, and that no job
  /// of this pass counts on yet.
  std::int64_t released_cpu_ = 0;
  int jobs_left_;  ///< jobs for which tasks may still be stopped in this pass
};

}  // namespace bendtide
