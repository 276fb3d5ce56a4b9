// When a worker was last heard from, in which incarnation, and until when its lease may last.
#pragma once

#include <algorithm>
#include <utility>

#include "core/model/worker_messages.h"

namespace bendtide {

/// The liveness of a worker. Its lease is renewed only by replies to its heartbeats and by the start of an
/// incarnation, so it ends at `last_reply_at` plus the lease duration at the latest. Times are on the steady
/// clock.
struct Liveness {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;  ///< of the newest status in this incarnation
  /// Sequence number of the newest heartbeat in this incarnation that was replied to. A heartbeat with this
  /// number or a lower one is a duplicate.
  std::uint64_t heartbeat_sequence_number = 0;
  bool status_received = false;  ///< a status with a fencing token of this leadership term was received
  bool lease_expired = false;    ///< the lease has certainly expired, and no status was received since
  Micros last_status_at{0};      ///< when the last trusted status was received
  Micros last_heartbeat_at{0};   ///< when the last heartbeat was received, trusted or not
  Micros last_reply_at{0};       ///< when the last heartbeat that got a reply with status 200 was received

  /// Returns the earlier of the times of the last trusted status (which may have been the response to a
  /// command) and of the last heartbeat.
  Micros last_contact() const { return std::min(last_status_at, last_heartbeat_at); }

  /// Returns whether the heartbeat is a duplicate. A worker has at most one heartbeat in flight, so one whose
  /// number does not exceed that of the last heartbeat replied to was received before.
  bool is_duplicate(const Heartbeat& heartbeat) const {
    return std::pair(heartbeat.incarnation, heartbeat.sequence_number) <=
           std::pair(incarnation, heartbeat_sequence_number);
  }
  bool is_newer_status(const Heartbeat& heartbeat) const {
    return std::pair(heartbeat.incarnation, heartbeat.sequence_number) >
           std::pair(incarnation, sequence_number);
  }

  void begin_incarnation(std::uint64_t number) {
    incarnation = number;
    sequence_number = 0;
    heartbeat_sequence_number = 0;
  }
};

}  // namespace bendtide
