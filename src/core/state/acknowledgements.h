// Whether messages sent to a worker reach it, judged by its heartbeats and responses.
#pragma once

#include <optional>
#include <utility>

#include "core/model/worker_messages.h"

namespace bendtide {

/// Tracks whether a machine acknowledges the messages sent to it. Evidence that it is unreachable accumulates
/// while the machine keeps sending heartbeats but acknowledges nothing; any acknowledgement clears all
/// evidence. Times are on the steady clock.
class Acknowledgements {
 public:
  static constexpr int kWeakEvidence = 1;    ///< weight if one message appears not to have arrived
  static constexpr int kStrongEvidence = 2;  ///< weight if several messages cannot have arrived

  /// Total weight of the evidence since the last acknowledgement that no message arrives.
  int evidence_weight() const { return evidence_weight_; }
  /// Returns whether the machine is taken to be unreachable. A single message may arrive late at any time, so
  /// one piece of evidence is not enough.
  bool unreachable() const { return evidence_weight_ >= kUnreachableWeight; }
  /// Returns whether the machine is unreachable or one more piece of evidence may make it so.
  bool suspected_unreachable() const { return evidence_weight_ >= kUnreachableWeight - 1; }
  bool has_evidence() const { return evidence_weight_ > 0 || lost_pushes_ > 0; }
  void add_evidence(int weight) { evidence_weight_ += weight; }
  void clear_evidence() {
    evidence_weight_ = 0;
    lost_pushes_ = 0;
    push_lost_ = false;
  }

  // ---- fencing tokens --------------------------------------------------------------------------------

  /// When the machine was first sent a fencing token of this leadership term that it has not acknowledged
  /// since; none if no acknowledgement is awaited. Messages known to be lost do not count.
  std::optional<Micros> token_sent_at() const { return token_sent_at_; }
  void token_sent(Micros now) { token_sent_at_ = token_sent_at_.value_or(now); }
  /// Restarts the wait for the acknowledgement of the token.
  void restart_token_wait(Micros now) { token_sent_at_ = now; }
  FencingToken acknowledged_token() const { return acknowledged_token_; }
  void set_acknowledged_token(FencingToken token) { acknowledged_token_ = token; }

  // ---- replies to heartbeats ---------------------------------------------------------------------------

  void reply_sent(std::uint64_t heartbeat, FencingToken token, Micros now) {
    replied_heartbeat_ = heartbeat;
    reply_token_ = token;
    reply_sent_at_ = now;
  }
  /// Sequence number of the last heartbeat that was replied to with commands, if it is not known yet whether
  /// the reply took effect; 0 if there is none.
  std::uint64_t replied_heartbeat() const { return replied_heartbeat_; }
  FencingToken reply_token() const { return reply_token_; }
  Micros reply_sent_at() const { return reply_sent_at_; }
  void clear_reply() { replied_heartbeat_ = 0; }

  // ---- pushed commands ---------------------------------------------------------------------------------

  /// Records that a push sent at `sent_at` got no response. If `counts`, the lost push becomes evidence once
  /// a heartbeat follows it.
  void push_got_no_response(Micros sent_at, bool counts) {
    push_lost_ = counts;
    if (token_sent_at_ == sent_at) token_sent_at_.reset();
  }
  /// Returns whether a push was lost since the last heartbeat, and resets that. Called for each heartbeat.
  bool consume_push_lost() { return std::exchange(push_lost_, false); }
  /// Counts a lost push that was followed by a heartbeat. Returns true if there have been enough of them to
  /// be evidence.
  bool count_lost_push() { return ++lost_pushes_ >= kLostPushLimit; }

 private:
  static constexpr int kUnreachableWeight = 3;
  static constexpr int kLostPushLimit = 2;

  int evidence_weight_ = 0;
  int lost_pushes_ = 0;  ///< consecutive lost pushes, each followed by a heartbeat
  bool push_lost_ = false;
  std::optional<Micros> token_sent_at_;
  FencingToken acknowledged_token_ = 0;  ///< the token shown in the machine's newest status
  std::uint64_t replied_heartbeat_ = 0;
  FencingToken reply_token_ = 0;
  Micros reply_sent_at_{0};
};

}  // namespace bendtide
