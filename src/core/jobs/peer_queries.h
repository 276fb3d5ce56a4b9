// Requests that this controller forwards to its peers on behalf of users.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/jobs/replies.h"
#include "core/state/controller_state.h"

namespace bendtide {

/// Sends queries to peers and matches their replies. Each query is answered once: by the first reply that is
/// not "unavailable", or with "unavailable" when all peers have replied so or the time is up.
class PeerQueries {
 public:
  explicit PeerQueries(ControllerState& state);

  /// How long a peer has to serve a forwarded request.
  static constexpr Micros kForwardTimeout = seconds(1.2);

  /// Sends `query` to all `hosts`. Without hosts, or with too many queries pending, replies at once.
  void send(const std::vector<std::string>& hosts, JobQuery query, Micros timeout, ReplyCallback respond);
  /// The same, sent to every peer.
  void send_to_all_peers(JobQuery query, Micros timeout, ReplyCallback respond);
  void on_reply(const JobReply& reply);
  /// Replies "unavailable" to queries whose time is up.
  void expire();

 private:
  struct PendingQuery {
    Micros expires_at{0};  ///< steady clock
    std::size_t outstanding = 0;
    std::string job;
    ReplyCallback respond;
  };
  static constexpr std::size_t kMaxPending = 512;

  ControllerState& state_;
  std::map<std::uint64_t, PendingQuery> pending_;  ///< by query id
  std::uint64_t next_id_;
};

}  // namespace bendtide
