// When a worker was last heard, in which incarnation, and how long its lease can last.
#pragma once

#include <algorithm>
#include <utility>

#include "core/model/worker_messages.h"

namespace bendtide {

/// All times are of the steady clock. `last_reply_at + lease` is the latest end of the worker's lease, as
/// only replies to its heartbeats (and the beginning of an incarnation) renew it.
struct Liveness {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;  ///< of the newest status in this incarnation
  /// Of the newest heartbeat in this incarnation: what is not above it is a copy.
  std::uint64_t heartbeat_sequence_number = 0;
  bool status_received = false;  ///< a status under a fencing token of this leadership term has come
  bool lease_expired = false;    ///< its lease is surely over, and no status has come since
  Micros last_status_at{0};      ///< when the last status came that was trusted
  Micros last_heartbeat_at{0};   ///< when any heartbeat came, trusted or not
  Micros last_reply_at{0};       ///< when the last heartbeat came that was replied to with 200

  /// The older of its last trusted status (which may be the response to a command) and its last heartbeat.
  Micros last_contact() const { return std::min(last_status_at, last_heartbeat_at); }

  /// The worker has one heartbeat in flight: one that is not above the last that was replied to is a copy.
  bool is_copy(const Heartbeat& heartbeat) const {
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
