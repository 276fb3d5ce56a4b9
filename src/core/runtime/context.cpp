#include "core/runtime/context.h"

namespace bendtide {

void Context::emit(Action action) { actions.push_back(std::move(action)); }

}  // namespace bendtide
