// The part of each team's guaranteed quota that applies in one shard.
#pragma once

#include <string>

#include "core/model/settings.h"
#include "core/state/shard.h"

namespace bendtide {

/// Returns the part of a team's guarantee that applies in a shard: the guarantee times the shard's share of
/// the team's limit divided by that limit, rounded down. Zero for a team that is not in the settings.
Quota guarantee_of(const Settings& settings, const Shard& shard, const std::string& team_name);

/// Returns the time within which tasks inside a team's guarantee must start: the shortest guarantee objective
/// in the settings, or zero if there is none.
Micros shortest_guarantee_objective(const Settings& settings);

}  // namespace bendtide
