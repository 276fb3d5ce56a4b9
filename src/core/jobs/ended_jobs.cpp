#include "core/jobs/ended_jobs.h"

namespace bendtide {

namespace {

void stop_attempt(ControllerState& state, Shard& shard, const AttemptId& attempt, Machine& machine) {
  const auto placed = machine.tasks.find(attempt);
  if (placed == machine.tasks.end() || !placed->second.wanted) return;
  shard.change_placement(machine, attempt, placed->second,
                         [](Placement& placement) { placement.wanted = false; });
  state.context.debug([&] {
    return LogMessage("attempt no longer wanted")
        .shard(shard.name)
        .job(attempt.task.job)
        .task(attempt.task.index)
        .attempt(attempt.attempt)
        .machine(machine.name)
        .reason("the job has ended");
  });
  shard.request_push(machine);
}

void stop_attempts(ControllerState& state, Shard& shard, const Job& job) {
  for (std::uint32_t index = 0; job.placement_count > 0 && index < job.tasks.size(); ++index) {
    const Task& task = job.tasks[index];
    if (task.state != Task::State::placed) continue;
    stop_attempt(state, shard, {{job.spec.id, index}, task.attempt}, *task.machine);
  }
}

}  // namespace

void clean_up_ended_jobs(ControllerState& state, Shard& shard) {
  std::vector<std::string> ended_jobs;
  std::swap(ended_jobs, shard.ended_jobs);
  for (std::string& id : ended_jobs) {
    const auto found = shard.jobs.find(id);
    if (found == shard.jobs.end()) continue;
    Job& job = found->second;
    stop_attempts(state, shard, job);
    if (job.placement_count > 0 || job.finalizing || job.tasks_in_award > 0 || job.tasks_in_return > 0) {
      shard.ended_jobs.push_back(std::move(id));
      continue;
    }
    std::erase_if(shard.queue, [&](const QueueEntry& entry) { return entry.job == &job; });
    shard.jobs.erase(found);
  }
}

}  // namespace bendtide
