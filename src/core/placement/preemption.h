// Preemption: decides which tasks are stopped to make capacity for others.
//
// A task is stopped for a job of higher priority. If the cloud offers no machine, a task is also stopped for
// a job of equal priority of another team, provided that this team is within its guarantee and the team of
// the task exceeds its own. The capacity becomes available only after the worker has reported that the task
// has ended. During the pass that stops the task, the capacity is reserved for the job that it was stopped
// for.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/placement/placer.h"

namespace bendtide {

/// Preemption during one scheduling pass over the queue of one shard. Limits how many tasks are stopped, and
/// tracks the capacity that stopping tasks release, so that it is reserved only once.
class PreemptionPass {
 public:
  /// `capacities`: the free capacity of all usable machines before the pass places any task.
  PreemptionPass(ControllerState& state, Shard& shard, std::vector<FreeCapacity> capacities);

  /// Whether a service starts sooner if it waits for tasks of lower priority to stop on a machine that caches
  /// its image than if another machine first fetches the image.
  bool starts_sooner_where_cached(const Job& job, const TasksPerZone& tasks_per_zone) const;

  /// Whether the shard may have tasks that can be stopped for the job, and the limit of this pass is not
  /// reached.
  bool may_preempt_for(const Job& job) const;

  /// Stops tasks to make capacity for the tasks of a job that found none, within the quota of its team.
  void preempt_for(const QueueEntry& entry, const TasksPerZone& tasks_per_zone);

 private:
  /// Returns the free resources of a machine after tasks of lower priority that stop quickly have ended.
  Resources free_after_quick_stops(const Job& job, const FreeCapacity& capacity) const;
  /// Reserves CPUs of `released_cpu_` for up to `tasks` tasks, and returns for how many tasks they suffice.
  std::int64_t reserve_released_cpu(const Resources& each, std::int64_t tasks);
  /// Sorts the machines for a service: first those that cache its image, then those in this controller's
  /// zone, then those that already run the most services.
  void order_for_service(const Job& job);

  ControllerState& state_;
  Shard& shard_;
  std::vector<FreeCapacity> capacities_;
  Priority lowest_priority_ = Priority::production;  ///< among the jobs with tasks on machines
  std::set<std::string> over_guarantee_;             ///< teams whose usage exceeds their guarantee
  /// CPUs, in thousandths, of tasks that are expected to end within the shortest guarantee objective, without
  /// those of tasks already being stopped and those already reserved in this pass.
  std::int64_t released_cpu_ = 0;
  int remaining_jobs_;  ///< the number of further jobs that this pass may stop tasks for
};

}  // namespace bendtide
