// The schedule of a request to the key-value store that is repeated at intervals.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace bendtide {

/// Determines when a repeated request may be made next. At most one request is in flight, and none is made
/// before its scheduled time. Times are on the steady clock.
class PeriodicRequest {
 public:
  bool due(Micros now) const { return !in_flight_ && now >= next_at_; }
  bool in_flight() const { return in_flight_; }

  void begin() { in_flight_ = true; }
  void end() { in_flight_ = false; }
  /// Schedules the next request for `moment`.
  void schedule(Micros moment) { next_at_ = moment; }
  /// Moves the next request forward to `moment`, unless it is already scheduled earlier.
  void bring_forward(Micros moment) { next_at_ = std::min(next_at_, moment); }

 private:
  bool in_flight_ = false;
  Micros next_at_{0};
};

}  // namespace bendtide
