// What operators see of a controller: the bodies of its responses on the admin interface.
#pragma once

#include "core/negotiation/contract_net.h"

namespace bendtide::overview {

/// The shards that it leads, and the leaders of all shards.
Value shards(const ControllerState& state);
/// The machines of the shards that it leads, up to a limit.
Value machines(const ControllerState& state);
/// The unfinished jobs of the shards that it leads, up to a limit.
Value jobs(const ControllerState& state);
/// Counters of its negotiations with peers.
Value negotiations(const ContractNet& net);

}  // namespace bendtide::overview
