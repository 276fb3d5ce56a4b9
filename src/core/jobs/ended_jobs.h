// What is left of jobs that have ended.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

/// Marks all attempts of the ended jobs of a shard as unwanted, so that their workers are told to stop them,
/// and removes those jobs of which nothing is left.
void clean_up_ended_jobs(ControllerState& state, Shard& shard);

}  // namespace bendtide
