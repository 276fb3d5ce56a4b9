#include "core/jobs/cancellations.h"

#include "core/runtime/unreadable_record.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kForwardTimeout = seconds(3);

JobQuery make_cancel_query(const std::string& job) { return {0, JobQuery::Kind::cancel, job, false, {}}; }

}  // namespace

void Cancellations::cancel(const std::string& job, const ReplyCallback& respond, RequestOrigin origin) {
  if (const auto final_state = state_.final_states.final_state(job))
    return respond(replies::status(job, {final_state->phase, final_state->done, 0}));
  const Cancellation cancellation{job, origin, state_.now(), respond};
  if (Shard* shard = directory_.shard_with_own_job(job))
    return cancel_locally(cancellation, *shard, shard->jobs.at(job));
  const std::string leader = directory_.leader_of(job);
  if (leader != state_.own_host() && origin == RequestOrigin::user) return forward_to(leader, cancellation);
  state_.store.get(
      records::live_key(job),
      [this, cancellation](const StoreResponse& response) { on_live_record(cancellation, response); },
      ReadKind::user);
}

void Cancellations::cancel_locally(const Cancellation& cancellation, Shard& shard, Job& job) {
  // The cancelling transaction removes only the award records that exist. An award write still in flight
  // could succeed after it and leave an award of a cancelled job behind.
  if (job.finalizing || job.ended || job.tasks_in_award > 0)
    return cancellation.respond(replies::unavailable(cancellation.job));
  final_states_.finalize(shard, job, JobPhase::cancelled, cancellation.respond);
}

void Cancellations::forward_to(const std::string& host, const Cancellation& cancellation) {
  if (cancellation.origin == RequestOrigin::peer)
    return cancellation.respond(replies::unavailable(cancellation.job));
  queries_.send({host}, make_cancel_query(cancellation.job), kForwardTimeout, cancellation.respond);
}

void Cancellations::forward_to_all_peers(const Cancellation& cancellation) {
  if (cancellation.origin == RequestOrigin::peer)
    return cancellation.respond(replies::unavailable(cancellation.job));
  queries_.send_to_all_peers(make_cancel_query(cancellation.job), kForwardTimeout, cancellation.respond);
}

void Cancellations::on_live_record(const Cancellation& cancellation, const StoreResponse& response) {
  // The job has no record of an unfinished job, so it can no longer be cancelled. The reply is read from its
  // records.
  if (response.outcome == Outcome::absent)
    return polls_.read(cancellation.job, cancellation.respond, RequestOrigin::peer);
  const auto record = records::read_first(response, records::read_live_job);
  if (!record) {
    log_unreadable(state_.context, records::live_key(cancellation.job), record.error());
    return forward_to_all_peers(cancellation);
  }
  directory_.remember_shard(*record);
  const std::string leader = state_.leader_of(record->shard);
  if (leader != state_.own_host()) return forward_to(leader, cancellation);
  Shard* shard = state_.ready_shard(record->shard);
  Job* job =
      shard == nullptr ? nullptr : directory_.load_if_current(*shard, *record, cancellation.requested_at);
  if (job == nullptr) return cancellation.respond(replies::unavailable(cancellation.job));
  cancel_locally(cancellation, *shard, *job);
}

}  // namespace bendtide
