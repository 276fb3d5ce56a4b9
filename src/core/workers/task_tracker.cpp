#include "core/workers/task_tracker.h"

namespace bendtide {

namespace {

constexpr std::size_t kRememberedFailedMachines = 8;  ///< by a job
constexpr std::size_t kFailedJobsToQuarantine = 2;
constexpr Micros kCordonAfterRefusal = seconds(1);
constexpr Micros kRetryAfterUnknownEnd = seconds(1);
constexpr Micros kFirstRetry = seconds(1);
constexpr Micros kLongestRetry = seconds(30);
constexpr int kRetryDoublings = 5;

Placement::Seen seen_as(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::fetching:
      return Placement::Seen::fetching;
    case TaskPhase::running:
      return Placement::Seen::running;
    case TaskPhase::saving:
      return Placement::Seen::saving;
    case TaskPhase::exited:
      break;
  }
  return Placement::Seen::ended;
}

/// Whether this attempt, on this machine, is the one by which the task goes.
bool counts(const Task& task, const Machine& machine, const AttemptId& id) {
  return task.state == Task::State::placed && task.machine == &machine && task.attempt == id.attempt;
}

}  // namespace

void TaskTracker::apply_status(Shard& shard, Machine& machine, const TaskStatus& status,
                               std::uint64_t sequence_number) {
  const AttemptId id{status.task, status.attempt};
  Job* job = shard.job_of(id.task);
  const auto found = machine.tasks.find(id);
  Placement& placement = found == machine.tasks.end() ? adopt(shard, machine, status, job) : found->second;
  placement.last_listed_in = sequence_number;
  if (!placement.of_known_job && job != nullptr)
    shard.change(machine, id, placement, [&](Placement& changed) { shard.identify(changed, machine, job); });
  const Placement::Seen seen = seen_as(status.phase);
  if (seen == placement.seen) return;
  shard.change(machine, id, placement, [&](Placement& changed) { changed.seen = seen; });
  if (seen == Placement::Seen::running) on_running(machine, placement, job);
  if (seen == Placement::Seen::ended) {
    placement.cause = status.cause;
    on_attempt_ended(shard, machine, id, placement);
  }
}

/// Started by an earlier leader, or reported late: it is kept if its task is still to be done. One that is
/// saving is stopped, but until it is gone it is here, and must not start elsewhere.
Placement& TaskTracker::adopt(Shard& shard, Machine& machine, const TaskStatus& status, Job* job) {
  const AttemptId id{status.task, status.attempt};
  Placement& placement = shard.place(machine, id, job);
  placement.placed_at = state_.now();
  bool keep = false;
  if (job != nullptr && !job->ended && status.phase != TaskPhase::exited &&
      job->tasks[id.task.index].state == Task::State::waiting) {
    job->leave_waiting(id.task.index, {Task::State::placed, &machine, id.attempt});
    keep = status.phase != TaskPhase::saving;
  }
  shard.change(machine, id, placement, [&](Placement& changed) { changed.wanted = keep; });
  return placement;
}

void TaskTracker::on_running(Machine& machine, Placement& placement, const Job* job) const {
  placement.running_since = state_.now();
  if (job != nullptr && job->spec.shape == Shape::array)
    placement.ends_at = placement.running_since + job->spec.estimate;
  if (!placement.image.empty()) machine.images.record_use(placement.image, placement.image_gb, state_.now());
}

void TaskTracker::on_attempt_ended(Shard& shard, Machine& machine, const AttemptId& id,
                                   Placement& placement) {
  const ExitCause cause = placement.cause;
  const bool was_wanted = std::exchange(placement.wanted, false);  // an ended task is in no sum
  shard.changed();
  if (placement.start.was_pushed()) {
    // As long as the worker holds the attempt, ended, a copy of the pushed start has no effect. It is kept
    // until the fencing token is higher, which is urgent if the task is to run again.
    placement.start.attempt_ended();
    if (cause == ExitCause::done)
      shard.token_advance.request_eventually();
    else
      shard.token_advance.request_soon();
  }
  Job* job = shard.job_of(id.task);
  if (job == nullptr) return;
  if (cause == ExitCause::done) return on_attempt_succeeded(machine, id, *job);
  if (counts(job->tasks[id.task.index], machine, id)) job->set_waiting(id.task.index);
  switch (cause) {
    case ExitCause::failed:
      on_attempt_failed(shard, machine, *job);
      break;
    case ExitCause::insufficient_resources:
    case ExitCause::busy:
      machine.lifecycle.cordoned_until = state_.now() + kCordonAfterRefusal;
      break;
    case ExitCause::unknown:
      job->retry_at = state_.now() + kRetryAfterUnknownEnd;
      break;
    case ExitCause::stopped:
      if (was_wanted)
        state_.context.debug([&] {
          return LogMessage("task stopped without a command")
              .shard(shard.name)
              .job(id.task.job)
              .task(id.task.index)
              .attempt(id.attempt)
              .machine(machine.name);
        });
      break;
    case ExitCause::none:
    case ExitCause::done:
      break;
  }
}

/// An attempt that ran on elsewhere after this one was given up has its own placement, and goes by that.
void TaskTracker::on_attempt_succeeded(Machine& machine, const AttemptId& id, Job& job) const {
  machine.failed_jobs.clear();
  machine.images.record_use(job.spec.image, job.spec.image_gb, state_.now());
  const Task& task = job.tasks[id.task.index];
  const bool counted = counts(task, machine, id);
  if ((counted || task.state == Task::State::waiting) && job.spec.shape == Shape::array)
    job.mark_done(id.task.index, false);
  else if (counted)
    job.set_waiting(id.task.index);
}

/// Is it the machine or the job? A machine is taken to be faulty once tasks of two jobs failed on it with no
/// success in between, a job once it failed on two machines that are not.
void TaskTracker::on_attempt_failed(Shard& shard, Machine& machine, Job& job) {
  ++job.failures;
  job.failed_on.insert(machine.name);
  if (job.failed_on.size() > kRememberedFailedMachines) job.failed_on.erase(job.failed_on.begin());
  if (job.suspect()) {
    const Micros delay = kFirstRetry * (1 << std::min(job.failures, kRetryDoublings));
    job.retry_at = state_.now() + std::min(kLongestRetry, delay);
    return;
  }
  machine.failed_jobs.insert(job.spec.id);
  if (machine.failed_jobs.size() >= kFailedJobsToQuarantine && !machine.lifecycle.quarantined)
    quarantine(shard, machine);
}

/// Nothing more is placed on it, and its failures no longer count against the jobs.
void TaskTracker::quarantine(Shard& shard, Machine& machine) {
  machine.lifecycle.quarantined = true;
  state_.context.info(LogMessage("machine quarantined")
                          .shard(shard.name)
                          .machine(machine.name)
                          .why("tasks of several jobs failed on it"));
  for (auto& [id, job] : shard.jobs)
    if (job.failed_on.erase(machine.name) > 0) job.retry_at = Micros{0};
}

void TaskTracker::release(Shard& shard, Machine& machine, const AttemptId& id) {
  Job* job = shard.job_of(id.task);
  if (job != nullptr && counts(job->tasks[id.task.index], machine, id)) job->set_waiting(id.task.index);
  shard.remove(machine, id);
  shard.changed();
  if (machine.tasks.empty()) machine.idle_since = state_.now();
}

void TaskTracker::release_all(Shard& shard, Machine& machine) {
  while (!machine.tasks.empty()) release(shard, machine, AttemptId(machine.tasks.begin()->first));
}

}  // namespace bendtide
