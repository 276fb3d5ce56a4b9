// The virtual clock, the events and the random numbers of a simulated cluster.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "core/model/time.h"

namespace bendtide::sim {

/// Single-threaded and deterministic: the same seed and the same calls lead to the same run.
class Simulation {
 public:
  using Event = std::function<void()>;

  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  /// Virtual time since the start of the run.
  Micros now() const { return now_; }
  /// Events of the same time run in the order in which they were scheduled.
  void at(Micros time, Event event);
  void after(Micros delay, Event event) { at(now_ + delay, std::move(event)); }
  /// Runs the events in the order of time, up to `end` and including it.
  void run_until(Micros end);

  /// Uniform in [0, 1).
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  /// Uniform among 0 ... count - 1.
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  template <class Container>
  auto& pick_from(Container& items) {
    return items[static_cast<std::size_t>(pick(static_cast<int>(items.size())))];
  }

 private:
  std::mt19937_64 random_;
  Micros now_{0};
  std::uint64_t scheduled_ = 0;
  std::multimap<std::pair<Micros, std::uint64_t>, Event> events_;
};

}  // namespace bendtide::sim
