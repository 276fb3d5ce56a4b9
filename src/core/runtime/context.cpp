#include "core/runtime/context.h"

namespace bendtide {

void Context::act(Action action) { actions.push_back(std::move(action)); }

}  // namespace bendtide
