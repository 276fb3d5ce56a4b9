// Time in whole microseconds. One type represents both durations and points in time. A point in time is the
// duration since the epoch of its clock; the name or the doc comment of a variable says whether that is the
// steady or the wall clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace bendtide {

using Micros = std::chrono::duration<std::int64_t, std::micro>;

constexpr Micros millis(std::int64_t n) { return Micros{n * 1000}; }
constexpr Micros seconds(double n) { return Micros{static_cast<std::int64_t>(n * 1e6)}; }
constexpr double in_seconds(Micros m) { return static_cast<double>(m.count()) / 1e6; }

/// Maximum relative drift between the steady clocks of two hosts: twice the bound of the platform (PROTOCOL:
/// 0.05 %), as a safety margin.
constexpr double kMaxClockDrift = 0.001;

/// Margin for timers that fire late on either of two hosts.
constexpr Micros kTimerMargin = millis(300);

/// Returns a duration on the local clock after which `span` has certainly elapsed on the clock of another
/// host.
constexpr Micros upper_bound_on_local_clock(Micros span) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(span.count()) * (1.0 + kMaxClockDrift))} +
         kTimerMargin;
}

/// Returns a duration on the local clock within which `span` has certainly not yet elapsed on the clock of
/// another host. A grant from another host may be relied on for this long.
constexpr Micros lower_bound_on_local_clock(Micros span) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(span.count()) * (1.0 - kMaxClockDrift))} -
         kTimerMargin;
}

}  // namespace bendtide
