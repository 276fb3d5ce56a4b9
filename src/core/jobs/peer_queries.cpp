#include "core/jobs/peer_queries.h"

namespace bendtide {

PeerQueries::PeerQueries(ControllerState& state)
    : state_(state),
      // Ids start at a random number: a reply to a query of an earlier process on this host must not match a
      // query of this process.
      next_id_(state.context.random() >> 8) {}

void PeerQueries::send(const std::vector<std::string>& hosts, JobQuery query, Micros timeout,
                       ReplyCallback respond) {
  if (hosts.empty() || pending_.size() >= kMaxPending) return respond(replies::unavailable(query.job));
  query.id = next_id_++;
  pending_[query.id] = {state_.now() + timeout, hosts.size(), query.job, std::move(respond)};
  for (const std::string& host : hosts) state_.context.emit(PeerSend{host, query});
}

void PeerQueries::send_to_all_peers(JobQuery query, Micros timeout, ReplyCallback respond) {
  std::vector<std::string> hosts;
  for (const Peer& peer : state_.context.settings.peers) hosts.push_back(peer.host);
  send(hosts, std::move(query), timeout, std::move(respond));
}

void PeerQueries::on_reply(const JobReply& reply) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end()) return;
  if (reply.status == 503 && --found->second.outstanding > 0) return;
  const PendingQuery query = std::move(found->second);
  pending_.erase(found);
  UserReply out;
  out.status = static_cast<int>(reply.status);
  out.id = query.job;
  out.phase = reply.phase;
  out.done = reply.done;
  out.running = reply.running;
  if (out.status == 503) out.retry_after_s = 1;
  if (out.status >= 400) out.error = "as another controller says";
  query.respond(out);
}

void PeerQueries::expire() {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, query] : pending_)
    if (state_.now() >= query.expires_at) expired.push_back(id);
  for (const std::uint64_t id : expired) {
    const PendingQuery query = std::move(pending_.at(id));
    pending_.erase(id);
    query.respond(replies::unavailable(query.job));
  }
}

}  // namespace bendtide
