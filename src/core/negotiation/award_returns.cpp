#include "core/negotiation/award_returns.h"

#include "core/negotiation/task_ranges.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

/// How long tasks may be without capacity before they are returned while the cloud offers no machine for
/// them. Longer than the time within which capacity that is offered to other shards is released.
constexpr Micros kReturnWithoutOfferingAfter = seconds(10);
/// How long they may be without capacity in any case: longer than the usual boot time of a machine, and short
/// enough to start them elsewhere within 90 s.
constexpr Micros kReturnAfter = seconds(45);
constexpr Micros kReturnInterval = seconds(1);
constexpr Micros kRetryDelay = millis(300);

/// Returns the tasks of an award that wait in this shard.
std::vector<std::uint32_t> waiting_tasks(const Job& job, const JobAward& award) {
  std::vector<std::uint32_t> tasks = tasks_in(award.ranges, job.tasks.size());
  std::erase_if(tasks, [&](std::uint32_t task) { return job.tasks[task].state != Task::State::waiting; });
  return tasks;
}

/// Returns the ranges of an award without the given tasks of it.
std::vector<records::TaskRange> without(const Job& job, const JobAward& award,
                                        const std::vector<std::uint32_t>& removed) {
  const std::set<std::uint32_t> removed_tasks(removed.begin(), removed.end());
  std::vector<std::uint32_t> tasks = tasks_in(award.ranges, job.tasks.size());
  std::erase_if(tasks, [&](std::uint32_t task) { return removed_tasks.contains(task); });
  return ranges_of(std::move(tasks));
}

}  // namespace

AwardReturns::AwardReturns(ControllerState& state, NegotiationCounters& counters,
                           std::function<void()> invalidate_leases)
    : state_(state), counters_(counters), invalidate_leases_(std::move(invalidate_leases)) {}

void AwardReturns::return_unplaced_tasks(Shard& shard) {
  if (!shard.award_return.due(state_.now()) || state_.store.is_queue_long()) return;
  Job* job = job_to_return(shard);
  if (job == nullptr) return;
  const std::optional<PendingReturn> pending = make_return(shard, *job);
  if (!pending) return;
  for (const std::uint32_t task : pending->tasks)
    job->leave_waiting(task, {Task::State::elsewhere, nullptr, 0});
  job->tasks_in_return = static_cast<std::uint32_t>(pending->tasks.size());
  shard.award_return.begin();
  write(*pending);
}

/// Returns whether the waiting tasks of a job should be given back to its owner, and may be: none of them may
/// be on a machine, and the leader of the owner notices returned tasks.
bool AwardReturns::may_return(const Job& job) const {
  if (job.owner.empty() || job.may_be_on_unreconciled_machines || job.tasks_in_return > 0) return false;
  if (!job.can_start(state_.now()) || job.tasks_without_capacity == 0) return false;
  const Micros limit = job.no_offering ? kReturnWithoutOfferingAfter : kReturnAfter;
  if (job.without_capacity_since == Micros{0} || state_.now() - job.without_capacity_since < limit)
    return false;
  const auto owner = state_.routes.find(job.owner);
  return owner != state_.routes.end() && owner->second.accepts_returned_tasks;
}

/// Returns the job whose tasks have been without capacity for the longest time; null if none may be returned.
Job* AwardReturns::job_to_return(Shard& shard) const {
  Job* longest = nullptr;
  for (auto& [id, job] : shard.jobs)
    if (may_return(job) &&
        (longest == nullptr || job.without_capacity_since < longest->without_capacity_since))
      longest = &job;
  return longest;
}

std::optional<AwardReturns::PendingReturn> AwardReturns::make_return(const Shard& shard,
                                                                     const Job& job) const {
  const std::size_t max_ranges = max_award_ranges(state_.context.settings.store_value_bytes);
  for (const auto& [key, award] : job.awards) {
    PendingReturn pending{shard.name, shard.leadership_term, job.spec.id, job.owner, {key, award.revision}};
    pending.tasks = waiting_tasks(job, award);
    pending.remaining = without(job, award, pending.tasks);
    if (pending.tasks.empty()) continue;
    if (pending.remaining.size() > max_ranges) {
      // Removing the tasks at the end adds no range to the record.
      pending.tasks = {pending.tasks.back()};
      pending.remaining = without(job, award, pending.tasks);
      if (pending.remaining.size() > max_ranges) continue;
    }
    // The records of finished tasks of this shard cover the job only as long as the shard has an award of it.
    pending.keeps_award = !pending.remaining.empty() || job.done > 0;
    return pending;
  }
  return std::nullopt;
}

void AwardReturns::write(const PendingReturn& pending) {
  Shard* shard = state_.shard_in_term(pending.shard, pending.leadership_term);
  if (shard == nullptr) return;
  const auto job = shard->jobs.find(pending.job);
  if (job == shard->jobs.end()) return finish(pending, std::nullopt);
  const JobSpec& spec = job->second.spec;
  const records::Award record{
      pending.owner, pending.remaining, {pending.owner, spec, job->second.accepted_at}};
  Transaction transaction;
  transaction.compares = {pending.award};
  transaction.writes = {{pending.award.key, std::nullopt, 0}};
  if (pending.keeps_award) transaction.writes.front().value = records::to_json(record);
  state_.commit_fenced(*shard, std::move(transaction),
                       [this, pending](const StoreResponse& response) { on_written(pending, response); });
}

/// A repeated write has the same effect as the first one and compares the same revision, so at most one of
/// them is applied. Once the record has another revision, none of them can be applied any more; the next read
/// of the awards then tells whether one was.
void AwardReturns::on_written(const PendingReturn& pending, const StoreResponse& response) {
  if (response.ok()) return finish(pending, response.revision);
  if (response.outcome == Outcome::conflict) invalidate_leases_();
  PendingReturn current = pending;
  current.outcome_unknown |= response.outcome == Outcome::unknown;
  if (current.outcome_unknown && !response.condition_failed_on(pending.award.key))
    return retry_later(current);
  finish(pending, std::nullopt);
}

void AwardReturns::retry_later(const PendingReturn& pending) {
  state_.context.run_after(kRetryDelay, [this, pending] { write(pending); });
}

/// Ends a return. `written` is the revision of the write; none if the write was not applied, or if only the
/// next read of the awards shows whether it was.
void AwardReturns::finish(const PendingReturn& pending, std::optional<Revision> written) {
  Shard* shard = state_.shard_in_term(pending.shard, pending.leadership_term);
  if (shard == nullptr) return;
  shard->award_return.end();
  shard->award_return.schedule(state_.now() + kReturnInterval);
  const auto found = shard->jobs.find(pending.job);
  if (found == shard->jobs.end()) return;
  Job& job = found->second;
  job.tasks_in_return = 0;
  job.last_return_at = state_.now();
  if (written) return record_returned(*shard, job, pending, *written);
  job.has_changed_awards = true;
  shard->award_read.bring_forward(state_.now());
}

void AwardReturns::record_returned(Shard& shard, Job& job, const PendingReturn& pending, Revision written) {
  if (pending.keeps_award)
    job.awards[pending.award.key] = {shard.name, pending.remaining, written, state_.now()};
  else
    job.awards.erase(pending.award.key);
  if (job.awards.empty()) shard.mark_ended(job);
  counters_.tasks_returned += pending.tasks.size();
  state_.context.info(LogMessage("awarded tasks returned")
                          .shard(shard.name)
                          .token(shard.fencing_token)
                          .job(pending.job)
                          .detail("tasks", pending.tasks.size())
                          .detail("owner", pending.owner)
                          .reason("the shard has had no capacity for them"));
  state_.send_to_leader_of(pending.owner, AwardNotice{pending.owner});
}

}  // namespace bendtide
