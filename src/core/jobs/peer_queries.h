// Queries by which this controller forwards users' requests to its peers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/jobs/replies.h"
#include "core/state/controller_state.h"

namespace bendtide {

/// Sends queries to peers and matches their replies. Each query is answered exactly once: with the first
/// reply that is not "unavailable", or with "unavailable" once all queried peers have replied so or the query
/// has timed out.
class PeerQueries {
 public:
  explicit PeerQueries(ControllerState& state);

  /// How long a peer has to serve a forwarded request.
  static constexpr Micros kForwardTimeout = seconds(1.2);

  /// Sends `query` to all `hosts`. Replies "unavailable" at once if `hosts` is empty or too many queries are
  /// pending.
  void send(const std::vector<std::string>& hosts, JobQuery query, Micros timeout, ReplyCallback respond);
  /// Sends `query` to every peer, like send().
  void send_to_all_peers(JobQuery query, Micros timeout, ReplyCallback respond);
  void on_reply(const JobReply& reply);
  /// Replies "unavailable" to queries that have timed out.
  void expire();

 private:
  struct PendingQuery {
    Micros expires_at{0};         ///< steady clock
    std::size_t outstanding = 0;  ///< number of hosts that have not replied
    std::string job;
    ReplyCallback respond;
  };
  static constexpr std::size_t kMaxPending = 512;  ///< queries

  ControllerState& state_;
  std::map<std::uint64_t, PendingQuery> pending_;  ///< by query id
  std::uint64_t next_id_;
};

}  // namespace bendtide
