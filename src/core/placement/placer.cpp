#include "core/placement/placer.h"

#include <algorithm>

namespace bendtide {

namespace {

/// The fetch of an image counts as short if the estimated run time of the task is more than this many times
/// longer.
constexpr int kShortFetchRatio = 10;

bool has_attempt_of(const Machine& machine, const TaskId& task) {
  const auto attempt = machine.tasks.lower_bound(AttemptId{task, 0});
  return attempt != machine.tasks.end() && attempt->first.task == task;
}

}  // namespace

TasksPerZone tasks_per_zone_of(const Shard& shard, const Job& job) {
  TasksPerZone count;
  if (!job.spec.needs_single_controller()) return count;
  for (const auto& [name, machine] : shard.machines) {
    auto attempt = machine.tasks.lower_bound(AttemptId{{job.spec.id, 0}, 0});
    for (; attempt != machine.tasks.end() && attempt->first.task.job == job.spec.id; ++attempt)
      if (attempt->second.takes_resources()) ++count[machine.zone];
  }
  return count;
}

bool is_allowed_on(const Job& job, const Machine& machine, const TasksPerZone& tasks_per_zone) {
  const JobSpec& spec = job.spec;
  if (machine.spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != machine.zone) return false;
  if (!spec.allows_type(machine.type)) return false;
  if (spec.one_zone && !tasks_per_zone.empty() && !tasks_per_zone.contains(machine.zone)) return false;
  if (!spec.spread) return true;
  const auto in_zone = tasks_per_zone.find(machine.zone);
  const std::int64_t max_per_zone = (static_cast<std::int64_t>(spec.tasks) + 1) / 2;
  return in_zone == tasks_per_zone.end() || in_zone->second < max_per_zone;
}

/// How well a machine suits a job. Greater is better; the fields are compared in the order of their
/// declaration.
struct Placer::Preference {
  /// The image is cached, or its fetch is short compared with the run time.
  bool image_ready;
  /// The machine is in this controller's zone. Matters for services only: there they keep running while other
  /// zones are unreachable.
  bool in_local_zone;
  /// Services share machines with services only, because they occupy a machine for a long time.
  bool shares_with_same_shape;
  /// A spot machine for a job that allows it: on-demand machines are left to the jobs that need them.
  bool uses_spot;
  /// The fullest machine, so that other machines become empty and can be returned. If the image has to be
  /// fetched anyway, the machine with the most free CPUs instead.
  std::int64_t fit;
  auto operator<=>(const Preference&) const = default;
};

Placer::Preference Placer::preference(const Job& job, const FreeCapacity& capacity) const {
  const Machine& machine = *capacity.machine;
  const bool service = job.spec.shape == Shape::service;
  const bool short_fetch =
      state_.fetch_time(job.spec, machine.type) * kShortFetchRatio < job.spec.estimated_task_duration;
  const bool image_ready = short_fetch || machine.images.contains(job.spec.image);
  return {.image_ready = image_ready,
          .in_local_zone = !service || machine.zone == state_.context.settings.zone,
          .shares_with_same_shape = (machine.services > 0) == service,
          .uses_spot = machine.spot && job.spec.spot,
          .fit = image_ready || service ? -capacity.free.cpu : capacity.free.cpu};
}

bool Placer::is_candidate(const Shard& shard, const Job& job, const FreeCapacity& capacity,
                          const TasksPerZone& tasks_per_zone) const {
  const Machine& machine = *capacity.machine;
  if (!job.spec.task_resources.fits_in(capacity.free) || !is_allowed_on(job, machine, tasks_per_zone))
    return false;
  if (job.avoids(machine.name, state_.now()) && shard.machines.size() > job.failed_on.size()) return false;
  return !job.only_where_cached || machine.images.contains(job.spec.image);
}

bool Placer::may_occupy(const Shard& shard, const Job& job, const Machine& machine) const {
  const Settings& settings = state_.context.settings;
  if (machine.spot || !job.has_begun() || !settings.is_best_effort(job.spec)) return true;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const auto other = shard.jobs.find(task.first.task.job);
    return task.second.wanted && other != shard.jobs.end() && !settings.is_best_effort(other->second.spec);
  });
}

std::vector<FreeCapacity> Placer::free_capacities(Shard& shard) const {
  std::vector<FreeCapacity> capacities;
  for (auto& [name, machine] : shard.machines)
    if (fleet_.is_usable(machine)) capacities.push_back({&machine, machine.free(), machine.being_released});
  return capacities;
}

void Placer::place_task(Shard& shard, Job& job, std::uint32_t index, Machine& machine) {
  const AttemptId id{{job.spec.id, index}, shard.next_attempt()};
  shard.add_placement(machine, id, &job).placed_at = state_.now();
  job.leave_waiting(index, {Task::State::placed, &machine, id.attempt});
  state_.context.debug([&] {
    LogMessage message("place");
    message.shard(shard.name).token(shard.fencing_token).job(job.spec.id);
    message.task(index).attempt(id.attempt).machine(machine.name);
    if (!job.owner.empty()) message.detail("awarded_by", job.owner);
    return message;
  });
  machine.idle_since = state_.now();
  // Tasks that wait for the same image share one fetch, so the image counts as cached from now on.
  machine.images.record_use(job.spec.image, job.spec.image_gb, state_.now());
  shard.request_push(machine);
}

void Placer::place_on(Shard& shard, Job& job, FreeCapacity& capacity, TasksPerZone& tasks_per_zone) {
  Machine& machine = *capacity.machine;
  if (!may_occupy(shard, job, machine)) return;
  const Quota each = quota_of(job.spec.task_resources);
  const bool single_attempt = job.is_suspect();
  while (!job.waiting.empty() && job.spec.task_resources.fits_in(capacity.free) &&
         is_allowed_on(job, machine, tasks_per_zone)) {
    if (!each.fits_in(shard.free_quota_share(job.spec.team))) {
      job.quota_share_exhausted = true;
      return;
    }
    const std::uint32_t index = job.waiting.back();
    // A worker runs one attempt of a task at a time, and the previous attempt may not have ended yet.
    if (has_attempt_of(machine, {job.spec.id, index})) return;
    place_task(shard, job, index, machine);
    capacity.free -= job.spec.task_resources;
    if (job.spec.needs_single_controller()) ++tasks_per_zone[machine.zone];
    if (single_attempt) return;
  }
}

void Placer::place_on_best(Shard& shard, Job& job, std::vector<FreeCapacity>& capacities,
                           TasksPerZone& tasks_per_zone) {
  struct Candidate {
    Preference preference;
    FreeCapacity* capacity;
  };
  std::vector<Candidate> candidates;
  for (FreeCapacity& capacity : capacities)
    if (is_candidate(shard, job, capacity, tasks_per_zone))
      candidates.push_back({preference(job, capacity), &capacity});
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.preference > b.preference; });
  for (const Candidate& candidate : candidates) {
    place_on(shard, job, *candidate.capacity, tasks_per_zone);
    if (job.waiting.empty() || job.quota_share_exhausted || job.is_suspect()) return;
  }
}

}  // namespace bendtide
