// Discrete-event simulation: the virtual clock, the event queue and the random number generator of a
// simulated cluster.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "core/model/time.h"

namespace bendtide::sim {

/// Single-threaded and deterministic: the same seed and the same sequence of calls produce the same run.
class Simulation {
 public:
  using Event = std::function<void()>;

  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  /// Virtual time since the start of the run.
  Micros now() const { return now_; }
  /// Schedules an event for an absolute virtual time. Events with equal times run in the order in which they
  /// were scheduled.
  void schedule_at(Micros time, Event event);
  /// Schedules an event for `delay` after the current virtual time.
  void schedule_after(Micros delay, Event event) { schedule_at(now_ + delay, std::move(event)); }
  /// Runs the events in order of their times until none is left that is due at or before `end`.
  void run_until(Micros end);

  /// Returns a random number, uniformly distributed in [0, 1).
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  /// Returns a random integer, uniformly distributed in [0, count).
  int random_index(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  /// Returns a random element of a container that is not empty.
  template <class Container>
  auto& random_element(Container& items) {
    return items[static_cast<std::size_t>(random_index(static_cast<int>(items.size())))];
  }

 private:
  std::mt19937_64 random_;
  Micros now_{0};
  std::uint64_t scheduled_count_ = 0;
  /// Keyed by the due time and the number of the event in the order of scheduling.
  std::multimap<std::pair<Micros, std::uint64_t>, Event> events_;
};

}  // namespace bendtide::sim
