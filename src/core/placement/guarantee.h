// Teams' guarantees, as far as they concern one shard.
#pragma once

#include <string>

#include "core/model/settings.h"
#include "core/state/shard.h"

namespace bendtide {

/// The portion of a team's guarantee that falls to a shard: the guarantee times the shard's share of the
/// team's limit, rounded down. Nothing for a team that is not in the settings.
Quota guarantee_of(const Settings& settings, const Shard& shard, const std::string& team_name);

/// The time within which work inside a guarantee has to start: the shortest of the settings' objectives of
/// that kind, or zero if there is none.
Micros guarantee_within(const Settings& settings);

}  // namespace bendtide
