#include "core/state/final_states.h"

namespace bendtide {

std::optional<FinalState>& FinalStates::entry(const std::string& job, Micros now) {
  const auto [found, is_new] = jobs_.try_emplace(job);
  if (!is_new) return found->second;
  order_.push_back({job, now});
  while (order_.size() > kMaxRemembered) {
    const End& oldest = order_.front();
    forgotten_until_ = std::max(forgotten_until_, oldest.recorded_at);
    jobs_.erase(oldest.job);
    order_.pop_front();
  }
  return found->second;
}

bool FinalStates::record_final(const std::string& job, const FinalState& state, Micros now) {
  std::optional<FinalState>& known = entry(job, now);
  if (known) return known->phase == state.phase;
  known = state;
  return true;
}

void FinalStates::record_ended(const std::string& job, Micros now) { entry(job, now); }

std::optional<FinalState> FinalStates::final_state(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? std::nullopt : found->second;
}

}  // namespace bendtide
