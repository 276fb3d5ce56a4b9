// The state of a read of the key-value store that is repeated at intervals.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace bendtide {

/// At most one read is in flight at a time. Times are on the steady clock.
struct PeriodicRead {
  bool in_flight = false;
  Micros next_at{0};

  bool due(Micros now) const { return !in_flight && now >= next_at; }
  /// A read starts now; the next one is due after `interval`, but not before this one has finished.
  void begin(Micros now, Micros interval) {
    in_flight = true;
    next_at = now + interval;
  }
  void finish() { in_flight = false; }
  /// Makes the next read due at `moment` if it would be later.
  void hasten(Micros moment) { next_at = std::min(next_at, moment); }
};

}  // namespace bendtide
