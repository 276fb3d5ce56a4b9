// What a person on call sees of a controller.
#pragma once

#include "core/negotiation/contract_net.h"

namespace bendtide::overview {

Value shards(const ControllerState& state);
Value machines(const ControllerState& state);
Value jobs(const ControllerState& state);
Value negotiations(const ContractNet& net);

}  // namespace bendtide::overview
