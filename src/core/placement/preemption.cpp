#include "core/placement/preemption.h"

#include <algorithm>
#include <tuple>

#include "core/placement/guarantee.h"

namespace bendtide {

namespace {

constexpr std::int64_t kMaxStopsPerJob = 32;  ///< tasks of one job that a pass seeks capacity for
constexpr int kMaxJobsPerPass = 4;            ///< jobs that a pass may stop tasks for
/// The time from the decision to stop a task until it has ended, for a task that saves little or no state.
constexpr Micros kQuickStopTime = seconds(4);

bool can_be_stopped(const Placement& placement) { return placement.wanted && placement.takes_resources(); }

/// Preemption on behalf of one job in the queue.
class JobPreemption {
 public:
  /// `needed`: the number of tasks that need capacity. `within_guarantee`: the number of these for which the
  /// team's guarantee permits stopping tasks of other teams.
  JobPreemption(ControllerState& state, Shard& shard, const Job& job, std::int64_t needed,
                std::int64_t within_guarantee)
      : state_(state), shard_(shard), job_(job), needed_(needed), within_guarantee_(within_guarantee) {}

  bool is_satisfied() const { return needed_ <= 0; }

  /// Reserves the capacity that is free or being released on a machine, and stops tasks there while the job
  /// needs more.
  void preempt_on(FreeCapacity& capacity) {
    reserve(capacity);
    const std::vector<Candidate> candidates = candidates_on(*capacity.machine);
    Resources obtainable = capacity.free + capacity.being_released;
    for (const Candidate& candidate : candidates) obtainable += candidate.placement->resources;
    if (!job_.spec.task_resources.fits_in(obtainable)) return;
    for (const Candidate& candidate : candidates) {
      if (is_satisfied()) return;
      if (!may_stop(*candidate.job)) continue;
      stop(*capacity.machine, candidate);
      capacity.being_released += candidate.placement->resources;
      reserve(capacity);
    }
  }

 private:
  struct Candidate {
    const AttemptId* id;
    Placement* placement;
    const Job* job;
  };

  void reserve(FreeCapacity& capacity) {
    while (!is_satisfied() && job_.spec.task_resources.fits_in(capacity.free + capacity.being_released)) {
      capacity.being_released -= job_.spec.task_resources;
      --needed_;
      --within_guarantee_;
    }
  }

  /// Returns the tasks that may be stopped, the lowest priority first. At equal priority, the task placed
  /// last comes first because it loses the least work.
  std::vector<Candidate> candidates_on(Machine& machine) {
    std::vector<Candidate> candidates;
    for (auto& [id, placement] : machine.tasks) {
      const auto other = shard_.jobs.find(id.task.job);
      if (can_be_stopped(placement) && other != shard_.jobs.end() && may_stop(other->second))
        candidates.push_back({&id, &placement, &other->second});
    }
    auto rank = [](const Candidate& candidate) {
      return std::tuple(candidate.job->spec.priority, -candidate.placement->placed_at.count());
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
    return candidates;
  }

  bool may_stop(const Job& other) const {
    // If the quota share is exhausted, only stopping tasks of the same team frees quota for the job.
    if (job_.quota_share_exhausted && other.spec.team != job_.spec.team) return false;
    if (other.spec.priority < job_.spec.priority) return true;
    // To satisfy a guarantee, tasks of equal priority are stopped only if the cloud offers no machine. Tasks
    // of higher priority are never stopped for it: an array must not take down a service.
    if (other.spec.priority > job_.spec.priority || other.spec.team == job_.spec.team) return false;
    if (!job_.no_offering || within_guarantee_ <= 0) return false;
    return is_over_guarantee(other.spec.team);
  }

  bool is_over_guarantee(const std::string& team) const {
    Quota remaining = shard_.used(team);
    if (const auto stopped = stopped_.find(team); stopped != stopped_.end()) remaining -= stopped->second;
    return !remaining.fits_in(guarantee_of(state_.context.settings, shard_, team));
  }

  void stop(Machine& machine, const Candidate& candidate) {
    shard_.change_placement(machine, *candidate.id, *candidate.placement,
                            [](Placement& placement) { placement.wanted = false; });
    shard_.request_push(machine);
    state_.context.debug([&] {
      const TaskId& task = candidate.id->task;
      const bool by_priority = candidate.job->spec.priority < job_.spec.priority;
      return LogMessage("task preempted")
          .shard(shard_.name)
          .token(shard_.fencing_token)
          .job(task.job)
          .task(task.index)
          .attempt(candidate.id->attempt)
          .machine(machine.name)
          .detail("for", job_.spec.id)
          .reason(by_priority ? "needed by a job of higher priority"
                              : "needed for the guarantee of another team");
    });
    stopped_[candidate.job->spec.team] += quota_of(candidate.placement->resources);
  }

  ControllerState& state_;
  Shard& shard_;
  const Job& job_;
  std::int64_t needed_;
  std::int64_t within_guarantee_;
  std::map<std::string, Quota> stopped_;  ///< quota used by the tasks stopped for this job, by team
};

}  // namespace

PreemptionPass::PreemptionPass(ControllerState& state, Shard& shard, std::vector<FreeCapacity> capacities)
    : state_(state), shard_(shard), capacities_(std::move(capacities)), remaining_jobs_(kMaxJobsPerPass) {
  const Settings& settings = state_.context.settings;
  for (const auto& [id, job] : shard.jobs) {
    if (job.placement_count == 0) continue;
    lowest_priority_ = std::min(lowest_priority_, job.spec.priority);
    const std::string& team = job.spec.team;
    if (!over_guarantee_.contains(team) && !shard.used(team).fits_in(guarantee_of(settings, shard, team)))
      over_guarantee_.insert(team);
  }
  if (over_guarantee_.empty()) return;
  const Micros release_by = state_.now() + shortest_guarantee_objective(settings);
  for (const FreeCapacity& capacity : capacities_) {
    const Machine& machine = *capacity.machine;
    released_cpu_ += (machine.released_by(release_by) - machine.being_released).cpu;
  }
}

bool PreemptionPass::may_preempt_for(const Job& job) const {
  if (remaining_jobs_ <= 0) return false;
  if (lowest_priority_ < job.spec.priority) return true;
  const std::size_t own_team = over_guarantee_.contains(job.spec.team) ? 1 : 0;
  return job.no_offering && over_guarantee_.size() > own_team;
}

bool PreemptionPass::starts_sooner_where_cached(const Job& job, const TasksPerZone& tasks_per_zone) const {
  if (remaining_jobs_ <= 0 || lowest_priority_ >= job.spec.priority) return false;
  if (job.spec.shape != Shape::service || job.quota_share_exhausted) return false;
  if (state_.context.wall - job.accepted_at > kQuickStopTime) return false;
  bool fits_after_stops = false;
  for (const FreeCapacity& capacity : capacities_) {
    const Machine& machine = *capacity.machine;
    if (!machine.images.contains(job.spec.image) || !is_allowed_on(job, machine, tasks_per_zone) ||
        job.avoids(machine.name, state_.now()))
      continue;
    if (state_.fetch_time(job.spec, machine.type) <= kQuickStopTime) return false;
    if (job.spec.task_resources.fits_in(machine.free())) return false;  // placed there without preemption
    fits_after_stops |= job.spec.task_resources.fits_in(free_after_quick_stops(job, capacity));
  }
  return fits_after_stops;
}

Resources PreemptionPass::free_after_quick_stops(const Job& job, const FreeCapacity& capacity) const {
  Resources free = capacity.machine->free() + capacity.being_released;
  for (const auto& [id, placement] : capacity.machine->tasks) {
    const auto other = shard_.jobs.find(id.task.job);
    if (!can_be_stopped(placement) || other == shard_.jobs.end()) continue;
    const JobSpec& spec = other->second.spec;
    if (spec.priority < job.spec.priority && spec.save_duration <= kQuickStopTime)
      free += placement.resources;
  }
  return free;
}

std::int64_t PreemptionPass::reserve_released_cpu(const Resources& each, std::int64_t tasks) {
  const std::int64_t tasks_covered =
      std::clamp<std::int64_t>(released_cpu_ / each.cpu, 0, std::max<std::int64_t>(0, tasks));
  released_cpu_ -= tasks_covered * each.cpu;
  return tasks_covered;
}

void PreemptionPass::order_for_service(const Job& job) {
  auto rank = [&](const FreeCapacity& capacity) {
    const Machine& machine = *capacity.machine;
    return std::tuple(machine.images.contains(job.spec.image), machine.zone == state_.context.settings.zone,
                      machine.services);
  };
  std::stable_sort(capacities_.begin(), capacities_.end(),
                   [&](const FreeCapacity& a, const FreeCapacity& b) { return rank(a) > rank(b); });
}

void PreemptionPass::preempt_for(const QueueEntry& entry, const TasksPerZone& tasks_per_zone) {
  --remaining_jobs_;
  for (FreeCapacity& capacity : capacities_) capacity.free = capacity.machine->free();
  const Job& job = *entry.job;
  const Resources& each = job.spec.task_resources;
  // Limited to the tasks that the quota share lets start. Otherwise two teams could keep stopping each
  // other's tasks.
  const std::int64_t startable = job.quota_share_exhausted
                                     ? kMaxStopsPerJob
                                     : shard_.free_quota_share(job.spec.team).count_that_fit(quota_of(each));
  const std::int64_t needed =
      std::min<std::int64_t>({job.tasks_without_capacity, kMaxStopsPerJob, startable});
  const Quota unused_guarantee =
      guarantee_of(state_.context.settings, shard_, job.spec.team) - shard_.used(job.spec.team);
  std::int64_t within_guarantee = std::min(needed, unused_guarantee.count_that_fit(quota_of(each)));
  // A job that misses an objective anyway comes after the jobs that can still meet theirs. Capacity released
  // for it would go to those jobs, and still more tasks would have to be stopped.
  if (entry.missed_objectives > 0) within_guarantee = 0;
  within_guarantee -= reserve_released_cpu(each, within_guarantee);

  if (job.spec.shape == Shape::service) order_for_service(job);
  JobPreemption preemption(state_, shard_, job, needed, within_guarantee);
  for (FreeCapacity& capacity : capacities_) {
    if (preemption.is_satisfied()) return;
    if (is_allowed_on(job, *capacity.machine, tasks_per_zone)) preemption.preempt_on(capacity);
  }
}

}  // namespace bendtide
