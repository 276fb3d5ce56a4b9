#include "core/jobs/cancellations.h"

#include "core/runtime/unreadable_record.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kForwardTimeout = seconds(3);

JobQuery cancel_query(const std::string& job) { return {0, JobQuery::Kind::cancel, job, false, {}}; }

}  // namespace

void Cancellations::cancel(const std::string& job, const ReplyCallback& respond, RequestOrigin origin) {
  if (const auto final_state = state_.final_states.final_state(job))
    return respond(replies::status(job, {final_state->phase, final_state->done, 0}));
  const Cancellation cancellation{job, origin, state_.now(), respond};
  if (Shard* shard = directory_.shard_with_own_job(job))
    return cancel_here(cancellation, *shard, shard->jobs.at(job));
  const std::string leader = directory_.leader_of(job);
  if (leader != state_.self() && origin == RequestOrigin::user) return forward_to(leader, cancellation);
  state_.store.get(records::live_key(job), [this, cancellation](const StoreResponse& response) {
    on_live_record(cancellation, response);
  });
}

void Cancellations::cancel_here(const Cancellation& cancellation, Shard& shard, Job& job) {
  // An award in flight would outlive the cancellation, whose transaction removes only the awards written.
  if (job.finalizing || job.ended || job.tasks_in_award > 0)
    return cancellation.respond(replies::unavailable(cancellation.job));
  final_states_.finalize(shard, job, JobPhase::cancelled, cancellation.respond);
}

void Cancellations::forward_to(const std::string& host, const Cancellation& cancellation) {
  if (cancellation.origin == RequestOrigin::peer)
    return cancellation.respond(replies::unavailable(cancellation.job));
  queries_.send({host}, cancel_query(cancellation.job), kForwardTimeout, cancellation.respond);
}

void Cancellations::forward_to_all_peers(const Cancellation& cancellation) {
  if (cancellation.origin == RequestOrigin::peer)
    return cancellation.respond(replies::unavailable(cancellation.job));
  queries_.send_to_all_peers(cancel_query(cancellation.job), kForwardTimeout, cancellation.respond);
}

void Cancellations::on_live_record(const Cancellation& cancellation, const StoreResponse& response) {
  // Not unfinished: whatever became of the job, it can't be cancelled any more.
  if (response.outcome == Outcome::absent)
    return polls_.read(cancellation.job, cancellation.respond, RequestOrigin::peer);
  const auto record = records::read_first(response, records::live_job);
  if (!record) {
    log_unreadable(state_.context, records::live_key(cancellation.job), record.error());
    return forward_to_all_peers(cancellation);
  }
  directory_.remember_shard(*record);
  const std::string leader = state_.leader_of(record->shard);
  if (leader != state_.self()) return forward_to(leader, cancellation);
  Shard* shard = state_.ready_shard(record->shard);
  Job* job =
      shard == nullptr ? nullptr : directory_.load_if_current(*shard, *record, cancellation.requested_at);
  if (job == nullptr) return cancellation.respond(replies::unavailable(cancellation.job));
  cancel_here(cancellation, *shard, *job);
}

}  // namespace bendtide
