// Requests to the key-value store that are repeated at intervals.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace bendtide {

/// When a request that is repeated may be made next: at most one is in flight, and none before its time. All
/// times are of the steady clock.
class PeriodicRequest {
 public:
  bool due(Micros now) const { return !in_flight_ && now >= next_at_; }
  bool in_flight() const { return in_flight_; }

  void begin() { in_flight_ = true; }
  void end() { in_flight_ = false; }
  /// No request before `moment`.
  void schedule(Micros moment) { next_at_ = moment; }
  /// The next request as soon as `moment`, unless it is due earlier.
  void bring_forward(Micros moment) { next_at_ = std::min(next_at_, moment); }

 private:
  bool in_flight_ = false;
  Micros next_at_{0};
};

}  // namespace bendtide
