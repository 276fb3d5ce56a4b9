// Whether the start of a placed task was sent to its machine, and whether it may still be executed there.
#pragma once

#include <algorithm>

#include "core/model/ids.h"

namespace bendtide {

/// A start is sent in two ways. In the reply to a heartbeat it is executed before the worker's next heartbeat
/// or never. Pushed in a command request of our own, it may be executed at any later time if no response
/// came, and a copy of it even if one did: only a fencing token above that of the push, once acknowledged by
/// the worker, rules that out.
class StartDelivery {
 public:
  // ---- what was sent ---------------------------------------------------------------------------------

  /// `heartbeat`: the sequence number of the heartbeat that is replied to; not 0.
  void sent_in_reply(std::uint64_t heartbeat) { replied_heartbeat_ = heartbeat; }
  void pushed(FencingToken token) {
    ++pushes_in_flight_;
    pushed_token_ = token;
  }

  // ---- what came back --------------------------------------------------------------------------------

  /// A push has ended, with a response or without.
  void push_ended() { --pushes_in_flight_; }
  /// A push under `token` may still be executed: it got no response.
  void push_outcome_unknown(FencingToken token) { unsettled_token_ = std::max(unsettled_token_, token); }
  /// The attempt has ended, and a copy of its push would run it again.
  void attempt_ended() { push_outcome_unknown(pushed_token_); }
  /// The worker refuses whatever was sent under a token lower than the one that it has acknowledged.
  void token_acknowledged(FencingToken token) {
    if (token > unsettled_token_) unsettled_token_ = 0;
  }

  // ---- what follows ----------------------------------------------------------------------------------

  /// Whether it may be sent (once more): no push of it is in flight.
  bool may_be_sent() const { return pushes_in_flight_ == 0; }
  /// Whether a push of it may yet be executed.
  bool push_may_take_effect() const { return pushes_in_flight_ > 0 || unsettled_token_ != 0; }
  /// Whether nothing that was sent may have started the task. Pushes in flight are not considered.
  bool unsent() const { return replied_heartbeat_ == 0 && unsettled_token_ == 0; }
  bool was_pushed() const { return pushed_token_ != 0; }
  bool was_in_reply_to(std::uint64_t heartbeat) const { return replied_heartbeat_ == heartbeat; }
  /// Whether the last reply with it, if any, was to a heartbeat before this one.
  bool last_reply_precedes(std::uint64_t heartbeat) const { return replied_heartbeat_ < heartbeat; }

 private:
  std::uint64_t replied_heartbeat_ = 0;  ///< the last heartbeat whose reply carried it; 0: none
  int pushes_in_flight_ = 0;
  FencingToken pushed_token_ = 0;     ///< of the last push; 0: never pushed
  FencingToken unsettled_token_ = 0;  ///< a push under it may yet be executed; 0: none
};

}  // namespace bendtide
