// The state of a controller as shown to operators: the bodies of its responses on the administration API.
#pragma once

#include "core/negotiation/contract_net.h"

namespace bendtide::overview {

/// The shards that the controller leads, and the leaders of all shards.
Value shards(const ControllerState& state);
/// The machines of the shards that the controller leads, up to 1000.
Value machines(const ControllerState& state);
/// The unfinished jobs of the shards that the controller leads, up to 1000.
Value jobs(const ControllerState& state);
/// The counters of the controller's negotiations with peers.
Value negotiations(const ContractNet& contract_net);

}  // namespace bendtide::overview
