#include "sim/simulation.h"

namespace bendtide::sim {

void Simulation::schedule_at(Micros time, Event event) {
  ++scheduled_count_;
  events_.emplace(std::pair(time, scheduled_count_), std::move(event));
}

void Simulation::run_until(Micros end) {
  while (!events_.empty() && events_.begin()->first.first <= end) {
    now_ = events_.begin()->first.first;
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
}

}  // namespace bendtide::sim
