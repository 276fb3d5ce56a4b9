#include "core/workers/task_tracker.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr std::size_t kMaxFailedMachinesPerJob = 8;
constexpr std::size_t kFailedJobsToQuarantine = 2;
constexpr Micros kCordonAfterRefusal = seconds(1);
constexpr Micros kRetryAfterUnknownEnd = seconds(1);
/// How long a job avoids a machine on which one of its tasks failed. A fault of the machine may pass.
constexpr Micros kAvoidedAfterFailure = seconds(30);
constexpr Micros kFirstRetry = seconds(1);
constexpr Micros kLongestRetry = seconds(30);
constexpr int kMaxRetryDoublings = 5;

Placement::ReportedState seen_as(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::fetching:
      return Placement::ReportedState::fetching;
    case TaskPhase::running:
      return Placement::ReportedState::running;
    case TaskPhase::saving:
      return Placement::ReportedState::saving;
    case TaskPhase::exited:
      break;
  }
  return Placement::ReportedState::ended;
}

/// Returns whether the task is placed on this machine as this attempt.
bool is_current_attempt(const Task& task, const Machine& machine, const AttemptId& id) {
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
    shard.change_placement(machine, id, placement,
                           [&](Placement& changed) { shard.assign_to_job(changed, machine, job); });
  const Placement::ReportedState seen = seen_as(status.phase);
  if (seen == placement.reported_state) return;
  shard.change_placement(machine, id, placement, [&](Placement& changed) { changed.reported_state = seen; });
  if (seen == Placement::ReportedState::running) on_running(machine, placement, job);
  if (seen == Placement::ReportedState::ended) {
    placement.cause = status.cause;
    on_attempt_ended(shard, machine, id, placement);
  }
}

/// Adds an attempt that the worker reports but this leader did not place, or has already released. It was
/// started by an earlier leader or reported late. The attempt is kept if its task is waiting. An attempt that
/// is saving is stopped, but its task stays placed on the machine and must not start elsewhere until the
/// attempt is gone.
Placement& TaskTracker::adopt(Shard& shard, Machine& machine, const TaskStatus& status, Job* job) {
  const AttemptId id{status.task, status.attempt};
  Placement& placement = shard.add_placement(machine, id, job);
  placement.placed_at = state_.now();
  bool keep = false;
  if (job != nullptr && !job->ended && status.phase != TaskPhase::exited &&
      job->tasks[id.task.index].state == Task::State::waiting) {
    job->leave_waiting(id.task.index, {Task::State::placed, &machine, id.attempt});
    keep = status.phase != TaskPhase::saving;
  }
  shard.change_placement(machine, id, placement, [&](Placement& changed) { changed.wanted = keep; });
  return placement;
}

void TaskTracker::on_running(Machine& machine, Placement& placement, const Job* job) const {
  placement.running_since = state_.now();
  if (job != nullptr && job->spec.shape == Shape::array)
    placement.ends_at = placement.running_since + job->spec.estimated_task_duration;
  if (!placement.image.empty()) machine.images.record_use(placement.image, placement.image_gb, state_.now());
}

void TaskTracker::on_attempt_ended(Shard& shard, Machine& machine, const AttemptId& id,
                                   Placement& placement) {
  const ExitCause cause = placement.cause;
  // An ended attempt counts in no resource sum, so `wanted` may be changed without Shard::change_placement().
  const bool was_wanted = std::exchange(placement.wanted, false);
  shard.request_scheduling_pass();
  if (placement.start.was_pushed()) {
    // A copy of the pushed start has no effect while the worker remembers the ended attempt. The worker must
    // remember it until it acknowledges a higher fencing token. The higher token is urgent if the task must
    // run again.
    placement.start.attempt_ended();
    if (cause == ExitCause::done)
      shard.token_advance.request_eventually();
    else
      shard.token_advance.request_soon();
  }
  Job* job = shard.job_of(id.task);
  if (job == nullptr) return;
  if (cause == ExitCause::done) return on_attempt_succeeded(machine, id, *job);
  if (is_current_attempt(job->tasks[id.task.index], machine, id)) job->set_waiting(id.task.index);
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

/// Marks an array task as done if this attempt is its current one or if the task is waiting. If the task has
/// been placed elsewhere since, that attempt has its own placement and determines the state of the task.
void TaskTracker::on_attempt_succeeded(Machine& machine, const AttemptId& id, Job& job) const {
  machine.failed_jobs.clear();
  machine.images.record_use(job.spec.image, job.spec.image_gb, state_.now());
  const Task& task = job.tasks[id.task.index];
  const bool is_current = is_current_attempt(task, machine, id);
  if ((is_current || task.state == Task::State::waiting) && job.spec.shape == Shape::array)
    job.mark_done(id.task.index, false);
  else if (is_current)
    job.set_waiting(id.task.index);
}

/// Attributes the failure to the machine or to the job. A machine counts as faulty once tasks of two jobs
/// have failed on it without a success in between. A job counts as faulty once it has failed on two machines
/// that are not faulty.
void TaskTracker::on_attempt_failed(Shard& shard, Machine& machine, Job& job) {
  ++job.failures;
  job.failed_on[machine.name] = state_.now() + kAvoidedAfterFailure;
  if (job.failed_on.size() > kMaxFailedMachinesPerJob)
    job.failed_on.erase(std::min_element(job.failed_on.begin(), job.failed_on.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  if (job.is_suspect()) {
    const Micros delay = kFirstRetry * (1 << std::min(job.failures, kMaxRetryDoublings));
    job.retry_at = state_.now() + std::min(kLongestRetry, delay);
    return;
  }
  machine.failed_jobs.insert(job.spec.id);
  if (machine.failed_jobs.size() >= kFailedJobsToQuarantine && !machine.lifecycle.quarantined)
    quarantine(shard, machine);
}

/// Stops the placement of tasks on the machine. Failures on it no longer count against the jobs.
void TaskTracker::quarantine(Shard& shard, Machine& machine) {
  machine.lifecycle.quarantined = true;
  state_.context.info(LogMessage("machine quarantined")
                          .shard(shard.name)
                          .machine(machine.name)
                          .reason("tasks of several jobs failed on it"));
  for (auto& [id, job] : shard.jobs)
    if (job.failed_on.erase(machine.name) > 0) job.retry_at = Micros{0};
}

void TaskTracker::release(Shard& shard, Machine& machine, const AttemptId& id) {
  Job* job = shard.job_of(id.task);
  if (job != nullptr && is_current_attempt(job->tasks[id.task.index], machine, id))
    job->set_waiting(id.task.index);
  shard.remove_placement(machine, id);
  shard.request_scheduling_pass();
  if (machine.tasks.empty()) machine.idle_since = state_.now();
}

void TaskTracker::release_all(Shard& shard, Machine& machine) {
  while (!machine.tasks.empty()) release(shard, machine, AttemptId(machine.tasks.begin()->first));
}

}  // namespace bendtide
