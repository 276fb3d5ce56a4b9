// The order in which the scheduler serves the jobs of a shard.
#pragma once

#include "core/runtime/context.h"
#include "core/state/shard.h"

namespace bendtide {

/// How urgent a job is with respect to the objectives of its class.
struct Urgency {
  int missed_objectives = 0;  ///< objectives that the job misses even if all its tasks start now
  Micros start_by{0};  ///< latest start (wall clock) that meets the next objective that can still be met
};

/// Objectives on the start or the end apply to arrays only. For a service, and for a job whose class has no
/// objectives, the latest start is the deadline of the job.
Urgency urgency_of(const Job& job, const Context& context);

/// Rebuilds the shard's queue from the jobs that may start now. The queue is sorted by descending priority,
/// then by fewest missed objectives, then jobs within the guarantee of their team first, then by earliest
/// latest start, then by age. Resets the results of the last pass in each job (`tasks_without_capacity`,
/// `quota_share_exhausted`).
void rebuild_queue(Shard& shard, const Context& context);

}  // namespace bendtide
