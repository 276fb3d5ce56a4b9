#include "core/jobs/job_polls.h"

#include "core/runtime/unreadable_record.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

/// How long the leader of a job has to reply before the job's records are used instead.
constexpr Micros kLeaderTimeout = millis(400);

JobQuery make_poll_query(const std::string& job, bool may_read_store) {
  return {0, JobQuery::Kind::poll, job, may_read_store, {}};
}

}  // namespace

void JobPolls::poll(const std::string& job, ReplyCallback respond, RequestOrigin origin) {
  if (const auto known = directory_.known_status(job)) return respond(replies::status(job, *known));
  const SharedPoll poll{job, origin};
  const auto [waiting, is_first] = polls_in_flight_.try_emplace(poll);
  if (is_first) return start(poll, {std::move(respond)});
  if (waiting->second.size() >= kMaxWaiting) return respond(replies::unavailable(job));
  waiting->second.push_back(std::move(respond));
}

void JobPolls::start(const SharedPoll& poll, std::vector<ReplyCallback> callers) {
  const std::string& job = poll.job;
  const ReplyCallback respond_to_all = [this, poll, callers = std::move(callers)](const UserReply& reply) {
    for (const ReplyCallback& respond : callers) respond(reply);
    start_next(poll);
  };
  const std::string leader = directory_.leader_of(job);
  if (poll.origin == RequestOrigin::peer || leader == state_.own_host() || !state_.reachable(leader))
    return read(job, respond_to_all, poll.origin);
  queries_.send({leader}, make_poll_query(job, false), kLeaderTimeout,
                [this, job, respond_to_all](const UserReply& reply) {
                  if (reply.status == 200) return respond_to_all(reply);
                  read(job, respond_to_all, RequestOrigin::user);
                });
}

void JobPolls::start_next(const SharedPoll& poll) {
  std::vector<ReplyCallback> waiting = std::move(polls_in_flight_.at(poll));
  polls_in_flight_.erase(poll);
  if (waiting.empty()) return;
  if (const auto known = directory_.known_status(poll.job)) {
    for (const ReplyCallback& respond : waiting) respond(replies::status(poll.job, *known));
    return;
  }
  polls_in_flight_.try_emplace(poll);
  start(poll, std::move(waiting));
}

void JobPolls::read(const std::string& job, const ReplyCallback& respond, RequestOrigin origin) {
  const JobRead read{job, state_.now(), origin, respond};
  if (state_.store.failing() && origin == RequestOrigin::user) return on_record_unavailable(read);
  state_.store.get(
      records::live_key(job), [this, read](const StoreResponse& response) { on_live_record(read, response); },
      ReadKind::user);
}

void JobPolls::on_live_record(const JobRead& read, const StoreResponse& response) {
  if (response.outcome == Outcome::absent) {
    // The job had no record of an unfinished job at the time of the read: it was already final, or was never
    // accepted.
    state_.store.get(
        records::final_job_key(read.job),
        [this, read](const StoreResponse& final_response) { on_final_record(read, final_response); },
        ReadKind::user);
    return;
  }
  const auto record = records::read_first(response, records::read_live_job);
  if (!record) {
    log_unreadable(state_.context, records::live_key(read.job), record.error());
    return on_record_unavailable(read);
  }
  // The job has ended since the record was read; the next read finds its final state.
  if (state_.final_states.has_ended(read.job)) return read.respond(replies::unavailable(read.job));
  directory_.remember_shard(*record);
  if (Shard* shard = state_.ready_shard(record->shard))
    directory_.load_if_current(*shard, *record, read.requested_at);
  reply_with_unfinished(read, *record);
}

/// The record was just read, so "pending" is a correct reply in any case. Only the leader of the job's shard
/// knows how many tasks are running or done, so it is queried first if it is reachable.
void JobPolls::reply_with_unfinished(const JobRead& read, const records::LiveJob& record) {
  const UserReply pending = replies::status(read.job, {});
  const std::string leader = state_.leader_of(record.shard);
  if (leader == state_.own_host() || read.origin == RequestOrigin::peer || !state_.reachable(leader))
    return read.respond(pending);
  queries_.send(
      {leader}, make_poll_query(read.job, false), kLeaderTimeout,
      [read, pending](const UserReply& reply) { read.respond(reply.status == 200 ? reply : pending); });
}

void JobPolls::on_final_record(const JobRead& read, const StoreResponse& response) {
  if (response.outcome == Outcome::absent) return read.respond(replies::no_such_job(read.job));
  const auto record = records::read_first(response, records::read_final_job);
  if (!record) {
    log_unreadable(state_.context, records::final_job_key(read.job), record.error());
    return on_record_unavailable(read);
  }
  const FinalState final_state{record->phase, record->phase == JobPhase::done ? record->tasks : 0};
  directory_.record_final_state(read.job, final_state);
  read.respond(replies::status(read.job, {final_state.phase, final_state.done, 0}));
}

void JobPolls::on_record_unavailable(const JobRead& read) {
  if (read.origin == RequestOrigin::peer) return read.respond(replies::unavailable(read.job));
  queries_.send_to_all_peers(make_poll_query(read.job, true), PeerQueries::kForwardTimeout, read.respond);
}

}  // namespace bendtide
