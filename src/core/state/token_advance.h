// The schedule by which the leader of a shard advances its fencing token.
#pragma once

#include "core/model/time.h"

namespace bendtide {

/// Schedules the writes of a shard's lease record that give its leader a higher fencing token. Some are
/// urgent because tasks wait for them; others are not. At most one write is in flight. Times are on the
/// steady clock.
class TokenAdvance {
 public:
  /// Requests an urgent write: whether a pushed start may still be executed can be resolved only under a
  /// higher fencing token.
  void request_soon() { soon_ = true; }
  /// Requests a non-urgent write: workers may forget ended attempts whose start was pushed only under a
  /// higher fencing token.
  void request_eventually() { eventually_ = true; }

  bool in_flight() const { return in_flight_; }
  /// Returns whether a write was requested and has to be made now.
  bool due(Micros now) const {
    if (in_flight_) return false;
    return (soon_ && now >= earliest_) || (eventually_ && now >= earliest_ + kNonUrgentDelay);
  }

  /// Records that a write is sent. It satisfies all requests made so far.
  void begin(Micros now) {
    in_flight_ = true;
    soon_ = false;
    eventually_ = false;
    earliest_ = now + kMinInterval;
  }
  void succeed() { in_flight_ = false; }
  /// Records that the write failed and requests another. After a conflict that is not urgent, because the
  /// shard has probably been lost to another leader.
  void fail(bool conflict) {
    in_flight_ = false;
    eventually_ = true;
    soon_ = !conflict;
  }

 private:
  /// Minimum time between writes: each new fencing token has to be sent to every machine.
  static constexpr Micros kMinInterval = millis(1000);
  static constexpr Micros kNonUrgentDelay = seconds(8);  ///< additional delay of non-urgent writes

  bool in_flight_ = false;
  bool soon_ = false;
  bool eventually_ = false;
  Micros earliest_{0};  ///< earliest time of the next urgent write
};

}  // namespace bendtide
