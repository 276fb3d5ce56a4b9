// Time inside bendtide: whole microseconds, in one strong type for both spans and instants. An instant is
// the span since the epoch of its clock (steady or wall); the name of a variable says which clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace bendtide {

using Micros = std::chrono::duration<std::int64_t, std::micro>;

constexpr Micros millis(std::int64_t n) { return Micros{n * 1000}; }
constexpr Micros seconds(double n) { return Micros{static_cast<std::int64_t>(n * 1e6)}; }
constexpr double in_seconds(Micros m) { return static_cast<double>(m.count()) / 1e6; }

/// How fast the steady clocks of two hosts may drift apart (PROTOCOL: 0.05 %), doubled for safety.
constexpr double kDrift = 0.001;

/// For timers that fire late, here and there.
constexpr Micros kTimerMargin = millis(300);

/// A span on another host's clock that has surely passed once this much has passed on ours.
constexpr Micros surely_over(Micros span) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(span.count()) * (1.0 + kDrift))} + kTimerMargin;
}

/// How long we may trust a span granted by another host.
constexpr Micros surely_within(Micros span) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(span.count()) * (1.0 - kDrift))} - kTimerMargin;
}

}  // namespace bendtide
