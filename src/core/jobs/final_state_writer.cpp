#include "core/jobs/final_state_writer.h"

#include "core/jobs/ended_jobs.h"
#include "core/runtime/unreadable_record.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kRetryInterval = millis(300);
/// Completed jobs beyond this number do not fill the queue, which must have room for requests of users.
constexpr std::size_t kMaxQueuedTransactions = 64;

void ignore_reply(const UserReply&) {}

bool is_finished(const Job& job) {
  return job.owner.empty() && job.spec.shape == Shape::array && job.done == job.tasks.size();
}

}  // namespace

void FinalStateWriter::end_finished_jobs(Shard& shard) {
  for (auto& [id, job] : shard.jobs) {
    if (!is_finished(job) || job.finalizing || job.ended || state_.now() < job.retry_at) continue;
    if (state_.store.queued_transactions(RequestPriority::high) >= kMaxQueuedTransactions) return;
    job.retry_at = state_.now() + kRetryInterval;
    finalize(shard, job, JobPhase::done, ignore_reply);
  }
}

void FinalStateWriter::finalize(Shard& shard, Job& job, JobPhase phase, const ReplyCallback& respond) {
  job.finalizing = true;
  write({shard.name, shard.leadership_term, job.spec.id, phase, false}, respond);
}

/// Returns the job to be finalized; null if the shard or the job is gone since.
Job* FinalStateWriter::job_of(const FinalWrite& write) {
  Shard* shard = state_.shard_in_term(write.shard, write.leadership_term);
  if (shard == nullptr) return nullptr;
  const auto found = shard->jobs.find(write.job);
  return found == shard->jobs.end() ? nullptr : &found->second;
}

void FinalStateWriter::write(const FinalWrite& write, const ReplyCallback& respond) {
  const Job* job = job_of(write);
  if (job == nullptr) return respond(replies::unavailable(write.job));
  const std::string final_key = records::final_job_key(write.job);
  const records::FinalJob record{write.phase, static_cast<std::uint32_t>(job->tasks.size())};
  Transaction transaction;
  transaction.compares = {{final_key, 0}};
  transaction.writes = {{final_key, records::to_json(record), 0},
                        {records::live_key(write.job), std::nullopt, 0}};
  // The same transaction removes the job's award records. Each winner stops the tasks once a read shows that
  // the award is gone.
  for (const auto& [key, award] : job->awards) transaction.writes.push_back({key, std::nullopt, 0});
  state_.commit_fenced(
      *state_.shard_in_term(write.shard, write.leadership_term), std::move(transaction),
      [this, write, respond](const StoreResponse& response) { on_written(write, response, respond); },
      RequestPriority::high);
}

void FinalStateWriter::on_written(const FinalWrite& write, const StoreResponse& response,
                                  const ReplyCallback& respond) {
  if (response.ok()) return conclude(write, write.phase, respond);
  Job* job = job_of(write);
  if (job == nullptr) return respond(replies::unavailable(write.job));
  if (response.outcome == Outcome::conflict) {
    invalidate_leases_();
    const bool has_stored_state = response.condition_failed_on(records::final_job_key(write.job));
    FinalWrite conflicting = write;
    conflicting.lease_superseded = response.condition_failed_on(records::lease_key(write.shard));
    if (has_stored_state) return read_stored_state(conflicting, respond);
  }
  respond(replies::unavailable(write.job));
  FinalWrite retry = write;
  retry.outcome_unknown = write.outcome_unknown || response.outcome == Outcome::unknown;
  if (retry.outcome_unknown) {
    // The final state may have been written, or may still be: the job must not be resumed.
    retry_later(retry);
    return;
  }
  job->finalizing = false;
}

void FinalStateWriter::retry_later(const FinalWrite& retry) {
  state_.context.run_after(kRetryInterval, [this, retry] { write(retry, ignore_reply); });
}

void FinalStateWriter::read_stored_state(const FinalWrite& write, const ReplyCallback& respond) {
  state_.store.get(records::final_job_key(write.job), [this, write, respond](const StoreResponse& response) {
    on_stored_state(write, response, respond);
  });
}

void FinalStateWriter::on_stored_state(const FinalWrite& write, const StoreResponse& response,
                                       const ReplyCallback& respond) {
  const auto record = records::read_first(response, records::read_final_job);
  if (!record) {
    log_unreadable(state_.context, records::final_job_key(write.job), record.error());
    respond(replies::unavailable(write.job));
    retry_later(write);
    return;
  }
  const bool may_be_own_write = write.outcome_unknown && record->phase == write.phase;
  const bool is_leader =
      !write.lease_superseded && state_.shard_in_term(write.shard, write.leadership_term) != nullptr;
  if (!may_be_own_write && is_leader)
    state_.context.report_violation(Invariant::final_state_stays,
                                    LogMessage("final state to be written differs from the one stored")
                                        .shard(write.shard)
                                        .job(write.job)
                                        .detail("stored", to_text(record->phase))
                                        .detail("revision", response.entries.front().revision.value())
                                        .detail("to_be_written", to_text(write.phase)));
  conclude(write, record->phase, respond);
}

void FinalStateWriter::conclude(const FinalWrite& write, JobPhase phase, const ReplyCallback& respond) {
  FinalState final_state{phase, 0};
  if (Job* job = job_of(write)) {
    Shard& shard = *state_.shard_in_term(write.shard, write.leadership_term);
    final_state.done = job->done;
    job->finalizing = false;
    shard.mark_ended(*job);
    if (!job->awards.empty())
      for (const auto& [host, route] : state_.routes)
        state_.context.emit(PeerSend{host, JobEndNotice{write.job}});
    clean_up_ended_jobs(state_, shard);
  }
  directory_.record_final_state(write.job, final_state);
  state_.context.info(
      LogMessage(phase == JobPhase::done ? "job done" : "job cancelled").shard(write.shard).job(write.job));
  respond(replies::status(write.job, {phase, final_state.done, 0}));
}

}  // namespace bendtide
