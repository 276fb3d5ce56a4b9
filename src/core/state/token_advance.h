// When the leader of a shard raises its fencing token.
#pragma once

#include "core/model/time.h"

namespace bendtide {

/// Schedules the writes of a shard's lease record that give its leader a higher fencing token. Some are
/// needed soon, as tasks wait for them, others at some time. At most one write is in flight. All times are on
/// the steady clock.
class TokenAdvance {
 public:
  /// A start that was sent directly can be settled only under a higher fencing token.
  void request_soon() { soon_ = true; }
  /// Workers may forget ended attempts that were started directly only under a higher fencing token.
  void request_eventually() { eventually_ = true; }

  bool in_flight() const { return in_flight_; }
  /// Whether a write was requested and is to be made now.
  bool due(Micros now) const {
    if (in_flight_) return false;
    return (soon_ && now >= earliest_) || (eventually_ && now >= earliest_ + kUnhurriedDelay);
  }

  /// A write is sent, which serves all requests made so far.
  void begin(Micros now) {
    in_flight_ = true;
    soon_ = false;
    eventually_ = false;
    earliest_ = now + kInterval;
  }
  void succeed() { in_flight_ = false; }
  /// The write failed, and is made again. That has no hurry after a conflict: the shard has likely been lost.
  void fail(bool conflict) {
    in_flight_ = false;
    eventually_ = true;
    soon_ = !conflict;
  }

 private:
  static constexpr Micros kInterval = millis(1000);  ///< every machine has to learn each new fencing token
  static constexpr Micros kUnhurriedDelay = seconds(8);

  bool in_flight_ = false;
  bool soon_ = false;
  bool eventually_ = false;
  Micros earliest_{0};  ///< of the next write
};

}  // namespace bendtide
