// The order in which the jobs of a shard are served.
#pragma once

#include "core/runtime/context.h"
#include "core/state/shard.h"

namespace bendtide {

/// How pressing a job is with regard to the objectives of its class.
struct Urgency {
  int missed_objectives = 0;  ///< those that can't be met even if all of it started now
  Micros start_by{0};         ///< wall clock; the latest start for the next objective that can be met
};

/// Only arrays have objectives on their start or end; for a service, and for a job whose class has none, the
/// latest start is its deadline.
Urgency urgency_of(const Job& job, const Context& context);

/// Rebuilds the shard's queue from the jobs that may start now: by priority, then fewest missed objectives,
/// then within the guarantee of the team, then the earliest latest start, then age. Clears what the last pass
/// found out about each job (`overflow`, `quota_share_exhausted`).
void rebuild_queue(Shard& shard, const Context& context);

}  // namespace bendtide
