// Removal of ended jobs from the shards led by this controller.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

/// Marks all attempts of the shard's ended jobs as unwanted, so that the workers are told to stop them.
/// Removes each ended job once it has no placement, award write or final-state write left.
void clean_up_ended_jobs(ControllerState& state, Shard& shard);

}  // namespace bendtide
