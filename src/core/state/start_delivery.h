// Tracks whether the start command of a placed task was sent to its machine and may still be executed there.
#pragma once

#include <algorithm>

#include "core/model/ids.h"

namespace bendtide {

/// A start command is sent in one of two ways:
/// - In the reply to a heartbeat. The worker executes it before its next heartbeat or never.
/// - Pushed in a command request. If the request gets no response, the command may be executed at any later
///   time; even if there is a response, a duplicate of the request may be. This is ruled out only once the
///   worker has acknowledged a fencing token higher than that of the push.
class StartDelivery {
 public:
  // ---- commands sent ---------------------------------------------------------------------------------

  /// Records that the start was sent in the reply to the heartbeat with this sequence number, which is not 0.
  void sent_in_reply(std::uint64_t heartbeat) { replied_heartbeat_ = heartbeat; }
  void pushed(FencingToken token) {
    ++pushes_in_flight_;
    pushed_token_ = token;
  }

  // ---- responses and acknowledgements ----------------------------------------------------------------

  /// Records that a push has ended, with or without a response.
  void push_ended() { --pushes_in_flight_; }
  /// Records that a push sent under `token` got no response and may still be executed.
  void push_outcome_unknown(FencingToken token) { unfenced_token_ = std::max(unfenced_token_, token); }
  /// Records that the attempt has ended. A duplicate of its push could run it again.
  void attempt_ended() { push_outcome_unknown(pushed_token_); }
  /// Records that the worker has acknowledged `token`. It rejects all commands sent under a lower token.
  void token_acknowledged(FencingToken token) {
    if (token > unfenced_token_) unfenced_token_ = 0;
  }

  // ---- consequences ----------------------------------------------------------------------------------

  /// Returns whether the start may be sent, for the first time or again: no push of it is in flight.
  bool may_be_sent() const { return pushes_in_flight_ == 0; }
  /// Returns whether a push of the start may still be executed.
  bool push_may_take_effect() const { return pushes_in_flight_ > 0 || unfenced_token_ != 0; }
  /// Returns whether no start sent so far can have started the task, without regard to pushes in flight.
  bool cannot_have_started() const { return replied_heartbeat_ == 0 && unfenced_token_ == 0; }
  bool was_pushed() const { return pushed_token_ != 0; }
  bool was_in_reply_to(std::uint64_t heartbeat) const { return replied_heartbeat_ == heartbeat; }
  /// Returns whether the last reply that contained the start, if any, was to a heartbeat before this one.
  bool last_reply_precedes(std::uint64_t heartbeat) const { return replied_heartbeat_ < heartbeat; }

 private:
  std::uint64_t replied_heartbeat_ = 0;  ///< last heartbeat whose reply contained the start; 0 if none did
  int pushes_in_flight_ = 0;
  FencingToken pushed_token_ = 0;    ///< token of the last push; 0 if there was none
  FencingToken unfenced_token_ = 0;  ///< highest token of a push that may still be executed; 0 if none
};

}  // namespace bendtide
