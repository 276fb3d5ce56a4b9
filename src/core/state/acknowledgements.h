// Whether what is sent to a worker reaches it, as far as its heartbeats and responses show.
#pragma once

#include <optional>
#include <utility>

#include "core/model/worker_messages.h"

namespace bendtide {

/// Evidence is counted against a machine that goes on to send heartbeats but acknowledges nothing; anything
/// that it acknowledges voids all of it. Times are of the steady clock.
class Acknowledgements {
 public:
  static constexpr int kWeakEvidence = 1;    ///< one message seems not to have arrived
  static constexpr int kStrongEvidence = 2;  ///< several can't have arrived

  /// Weight of evidence, since anything was last acknowledged, that nothing arrives.
  int missed() const { return missed_; }
  /// Nothing that is sent arrives. One message may always come too late, hence the limit.
  bool unreachable() const { return missed_ >= kMissedLimit; }
  /// One more piece of evidence may make it unreachable.
  bool doubtful() const { return missed_ >= kMissedLimit - 1; }
  bool any_evidence() const { return missed_ > 0 || lost_pushes_ > 0; }
  void add_missed(int weight) { missed_ += weight; }
  void clear_missed() {
    missed_ = 0;
    lost_pushes_ = 0;
    push_lost_ = false;
  }

  // ---- fencing tokens --------------------------------------------------------------------------------

  /// When it was sent a fencing token of this leadership term that it has not shown since, if it was. What
  /// was surely lost does not count.
  std::optional<Micros> token_sent_at() const { return token_sent_at_; }
  void token_sent(Micros now) { token_sent_at_ = token_sent_at_.value_or(now); }
  /// The wait for the token begins anew.
  void restart_token_wait(Micros now) { token_sent_at_ = now; }
  FencingToken acknowledged_token() const { return acknowledged_token_; }
  void set_acknowledged_token(FencingToken token) { acknowledged_token_ = token; }

  // ---- replies to heartbeats ---------------------------------------------------------------------------

  void reply_sent(std::uint64_t heartbeat, FencingToken token, Micros now) {
    replied_heartbeat_ = heartbeat;
    reply_token_ = token;
    reply_sent_at_ = now;
  }
  /// The last heartbeat that was replied to with commands and whose reply awaits its effect; 0: none.
  std::uint64_t replied_heartbeat() const { return replied_heartbeat_; }
  FencingToken reply_token() const { return reply_token_; }
  Micros reply_sent_at() const { return reply_sent_at_; }
  void forget_reply() { replied_heartbeat_ = 0; }

  // ---- pushed commands ---------------------------------------------------------------------------------

  /// A push, sent at `sent_at`, got no response. `counts`: it is evidence once a heartbeat follows it.
  void push_got_no_response(Micros sent_at, bool counts) {
    push_lost_ = counts;
    if (token_sent_at_ == sent_at) token_sent_at_.reset();
  }
  /// Whether a push was lost since the last heartbeat; asked when the next one comes.
  bool take_push_lost() { return std::exchange(push_lost_, false); }
  /// Counts a lost push that was followed by a heartbeat; true if there were enough of them to be evidence.
  bool count_lost_push() { return ++lost_pushes_ >= kLostPushLimit; }

 private:
  static constexpr int kMissedLimit = 3;
  static constexpr int kLostPushLimit = 2;

  int missed_ = 0;
  int lost_pushes_ = 0;  ///< in a row, each followed by a heartbeat
  bool push_lost_ = false;
  std::optional<Micros> token_sent_at_;
  FencingToken acknowledged_token_ = 0;  ///< in its newest status
  std::uint64_t replied_heartbeat_ = 0;
  FencingToken reply_token_ = 0;
  Micros reply_sent_at_{0};
};

}  // namespace bendtide
