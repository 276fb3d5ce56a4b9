#include "core/jobs/submissions.h"

#include <cmath>

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

/// The queue holds as many submissions as the write budget of the key-value store serves in this time.
/// Further submissions are told to retry later.
constexpr double kMaxWaitSeconds = 1.5;
constexpr double kMinQueueLength = 8;          ///< capacity of the queue even if the write budget is smaller
constexpr int kRetryAfterSecondsWhenFull = 2;  ///< when the queue is full

}  // namespace

bool Submissions::can_accept() const {
  return state_.ready_shard(state_.own_host()) != nullptr && !state_.catalogue.empty() &&
         !state_.store.failing();
}

std::optional<std::string> Submissions::reason_to_reject(const JobSpec& spec) const {
  const Team* team = state_.context.settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const auto fits = [&](const MachineType& type) {
    return spec.allows_type(type.name) && spec.task_resources.fits_in(type.size) &&
           (!spec.zone || std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end());
  };
  if (std::none_of(state_.catalogue.begin(), state_.catalogue.end(), fits))
    return "a task fits no allowed machine type";
  const std::int64_t at_once = spec.shape == Shape::service ? spec.tasks : 1;
  if (!(quota_of(spec.task_resources) * at_once).fits_in(team->limit)) return "more than the team's limit";
  return std::nullopt;
}

std::vector<ReplyCallback>* Submissions::callers_of(const std::string& job) {
  if (const auto written = in_flight_.find(job); written != in_flight_.end()) return &written->second;
  for (Submission& submission : queued_)
    if (submission.record.spec.id == job) return &submission.callbacks;
  return nullptr;
}

std::size_t Submissions::max_queued() const {
  const Settings& settings = state_.context.settings;
  const double writes_per_s = settings.store_writes_per_s / static_cast<double>(settings.controllers());
  return static_cast<std::size_t>(std::ceil(std::max(kMinQueueLength, writes_per_s * kMaxWaitSeconds)));
}

void Submissions::submit(const JobSpec& spec, ReplyCallback respond, RequestOrigin origin) {
  const std::string& job = spec.id;
  if (const auto known = directory_.known_status(job)) return respond(replies::status(job, *known));
  if (!can_accept()) {
    if (origin == RequestOrigin::peer) return respond(replies::unavailable(job));
    return queries_.send_to_all_peers({0, JobQuery::Kind::submit, job, false, spec},
                                      PeerQueries::kForwardTimeout, std::move(respond));
  }
  if (const auto reason = reason_to_reject(spec))
    return refuse(replies::refusal(job, 422, *reason), std::move(respond), origin);
  if (std::vector<ReplyCallback>* callers = callers_of(job)) {
    callers->push_back(std::move(respond));
    return;
  }
  if (queued_.size() >= max_queued()) return respond(replies::unavailable(job, kRetryAfterSecondsWhenFull));
  queued_.push_back({{state_.own_host(), spec, state_.context.wall}, {std::move(respond)}});
  write_queued();
}

void Submissions::refuse(const UserReply& refusal, ReplyCallback respond, RequestOrigin origin) {
  if (callers_of(refusal.id) != nullptr) return respond(replies::unavailable(refusal.id));
  polls_.read(
      refusal.id,
      [respond = std::move(respond), refusal](const UserReply& reply) {
        respond(reply.status == 404 ? refusal : reply);
      },
      origin);
}

void Submissions::write_queued() {
  const Shard* shard = state_.ready_shard(state_.own_host());
  while (shard != nullptr && !shard->is_fence_superseded() && !queued_.empty() &&
         writes_in_flight_ < kMaxWritesInFlight) {
    Batch batch = take_batch(*shard);
    Transaction transaction = transaction_for(batch);
    ++writes_in_flight_;
    state_.commit_fenced(
        *shard, std::move(transaction),
        [this, batch = std::move(batch)](const StoreResponse& response) mutable {
          --writes_in_flight_;
          on_written(std::move(batch), response);
          write_queued();
        },
        RequestPriority::high);
  }
}

/// Removes up to one transaction's worth of submissions from the queue, to be written together.
Submissions::Batch Submissions::take_batch(const Shard& shard) {
  const std::size_t max_jobs = std::max<std::size_t>(1, state_.context.settings.store_transaction_writes / 2);
  Batch batch{shard.name, shard.leadership_term, state_.now(), {}};
  while (!queued_.empty() && batch.submissions.size() < max_jobs) {
    in_flight_.try_emplace(queued_.front().record.spec.id);
    batch.submissions.push_back(std::move(queued_.front()));
    queued_.pop_front();
  }
  return batch;
}

/// Returns a transaction that accepts either all jobs of the batch or none. It fails if any of them already
/// has a record, unfinished or final.
Transaction Submissions::transaction_for(const Batch& batch) {
  Transaction transaction;
  for (const Submission& submission : batch.submissions) {
    const std::string& job = submission.record.spec.id;
    transaction.compares.push_back({records::live_key(job), 0});
    transaction.compares.push_back({records::final_job_key(job), 0});
    transaction.writes.push_back({records::live_key(job), records::to_json(submission.record), 0});
  }
  return transaction;
}

void Submissions::on_written(Batch batch, const StoreResponse& response) {
  for (Submission& submission : batch.submissions) {
    const std::string& job = submission.record.spec.id;
    for (ReplyCallback& respond : in_flight_[job]) submission.callbacks.push_back(std::move(respond));
    in_flight_.erase(job);
  }
  if (!response.ok()) return on_not_written(batch, response);
  for (Submission& submission : batch.submissions) accept(submission, batch, response);
  Shard* shard = state_.shard_in_term(batch.shard, batch.leadership_term);
  if (shard != nullptr && state_.lease_valid() && shard->ready()) hooks_.schedule(*shard);
}

/// The response may be late. Since the write, the job may have been found by its record, and may even have
/// been cancelled and forgotten. In that case it must not be started again, and the reply must not show it as
/// just accepted.
void Submissions::accept(Submission& submission, const Batch& batch, const StoreResponse& response) {
  const JobSpec& spec = submission.record.spec;
  state_.context.info(LogMessage("job accepted")
                          .shard(batch.shard)
                          .job(spec.id)
                          .detail("tasks", spec.tasks)
                          .detail("team", spec.team)
                          .detail("revision", response.revision.value()));
  Shard* shard = state_.shard_in_term(batch.shard, batch.leadership_term);
  if (shard != nullptr &&
      directory_.load_if_current(*shard, submission.record, batch.requested_at) == nullptr)
    reader_.read_soon(*shard);
  const std::optional<JobStatus> known = directory_.known_status(spec.id);
  for (const ReplyCallback& respond : submission.callbacks) {
    if (known)
      respond(replies::status(spec.id, *known, is_final(known->phase) ? 200 : 201));
    else
      polls_.read(spec.id, respond, RequestOrigin::user);
  }
}

void Submissions::on_not_written(Batch& batch, const StoreResponse& response) {
  const bool conflict = response.outcome == Outcome::conflict;
  if (conflict) hooks_.invalidate_leases();
  Shard* shard = state_.shard_in_term(batch.shard, batch.leadership_term);
  // Without a response, the jobs may have been accepted or may still be.
  if (response.outcome == Outcome::unknown && shard != nullptr) reader_.read_soon(*shard);
  const bool conflict_explained = conflict && !response.failed.empty();
  for (Submission& submission : batch.submissions) {
    const std::string& job = submission.record.spec.id;
    const bool job_conflicted = response.condition_failed_on(records::live_key(job)) ||
                                response.condition_failed_on(records::final_job_key(job));
    if (job_conflicted || (conflict && !conflict_explained)) {
      reply_from_records(submission);
    } else if (conflict && shard != nullptr) {
      // Another job of the batch caused the conflict, or this controller rewrote its lease record meanwhile.
      queued_.push_front(std::move(submission));
    } else {
      for (const ReplyCallback& respond : submission.callbacks) respond(replies::unavailable(job));
    }
  }
}

/// Called if the job was accepted earlier, or may have been.
void Submissions::reply_from_records(const Submission& submission) {
  const std::string& job = submission.record.spec.id;
  for (const ReplyCallback& respond : submission.callbacks)
    polls_.read(
        job,
        [respond, job](const UserReply& reply) {
          respond(reply.status == 404 ? replies::unavailable(job) : reply);
        },
        RequestOrigin::user);
}

void Submissions::fail_unwritable() {
  const bool can_write = state_.ready_shard(state_.own_host()) != nullptr && !state_.store.failing();
  while (!queued_.empty() && !can_write) {
    const Submission& submission = queued_.front();
    for (const ReplyCallback& respond : submission.callbacks)
      respond(replies::unavailable(submission.record.spec.id));
    queued_.pop_front();
  }
}

}  // namespace bendtide
