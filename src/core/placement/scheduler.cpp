#include "core/placement/scheduler.h"

#include <algorithm>
#include <tuple>

#include "core/placement/preemption.h"
#include "core/placement/queue_order.h"

namespace bendtide {

namespace {

constexpr Micros kPassInterval = millis(500);  ///< time between two passes while nothing changes
constexpr Micros kOfferHorizon = seconds(5);   ///< capacity released within this time may be offered to peers
constexpr Micros kAssumedFetchTime = seconds(2);  ///< assumed time for fetching an image, in offers

/// Removes the machines that have too few free CPUs for the smallest waiting task.
void remove_too_small(std::vector<FreeCapacity>& capacities, std::int64_t smallest_cpu) {
  std::erase_if(capacities, [&](const FreeCapacity& capacity) { return capacity.free.cpu < smallest_cpu; });
}

std::int64_t smallest_cpu(const std::vector<QueueEntry>& queue) {
  std::int64_t smallest = INT64_MAX;
  for (const QueueEntry& entry : queue) smallest = std::min(smallest, entry.job->spec.task_resources.cpu);
  return smallest;
}

std::uint32_t count_tasks_without_capacity(const Job& job) {
  // A job that is suspected to be faulty needs capacity for one attempt only. With a count of zero it
  // would never get a machine.
  if (job.is_suspect()) return job.placement_count == 0 && !job.waiting.empty() ? 1 : 0;
  return static_cast<std::uint32_t>(job.waiting.size());
}

bool have_equal_rank(const QueueEntry& a, const QueueEntry& b) {
  return std::tuple(a.job->spec.priority, a.missed_objectives, a.guaranteed) ==
         std::tuple(b.job->spec.priority, b.missed_objectives, b.guaranteed);
}

}  // namespace

void Scheduler::run_pass(Shard& shard) {
  if (state_.now() < shard.next_scheduling_pass_at) return;
  shard.next_scheduling_pass_at = state_.now() + kPassInterval;
  rebuild_queue(shard, state_.context);
  if (shard.queue.empty()) return;
  const std::int64_t smallest = smallest_cpu(shard.queue);
  std::vector<FreeCapacity> capacities = placer_.free_capacities(shard);
  PreemptionPass preemption(state_, shard, capacities);
  remove_too_small(capacities, smallest);
  for (const QueueEntry& entry : shard.queue) {
    Job& job = *entry.job;
    TasksPerZone tasks_per_zone = tasks_per_zone_of(shard, job);
    job.only_where_cached = preemption.starts_sooner_where_cached(job, tasks_per_zone);
    if (!capacities.empty()) placer_.place_on_best(shard, job, capacities, tasks_per_zone);
    remove_too_small(capacities, smallest);
    if (!job.waiting.empty() &&
        !quota_of(job.spec.task_resources).fits_in(shard.free_quota_share(job.spec.team)))
      job.quota_share_exhausted = true;
    job.tasks_without_capacity = count_tasks_without_capacity(job);
    if (job.tasks_without_capacity == 0) {
      job.without_capacity_since = Micros{0};
      job.needs_machines = false;
      job.no_offering = false;
      continue;
    }
    if (job.without_capacity_since == Micros{0}) job.without_capacity_since = state_.now();
    if (preemption.may_preempt_for(job)) preemption.preempt_for(entry, tasks_per_zone);
  }
}

bool Scheduler::may_start_on(const Shard& shard, const Job& job, const Machine& machine) const {
  return shard.may_start(job, state_.now()) && !job.avoids(machine.name, state_.now());
}

void Scheduler::fill_machine(Shard& shard, Machine& machine) {
  if (shard.queue.empty() || !fleet_.is_usable(machine)) return;
  const auto first = std::find_if(shard.queue.begin(), shard.queue.end(), [&](const QueueEntry& entry) {
    return may_start_on(shard, *entry.job, machine);
  });
  if (first == shard.queue.end()) return;
  FreeCapacity capacity{&machine, machine.free(), {}};
  // Among the first entry that may start here and the entries of equal rank, jobs whose image is cached on
  // the machine take precedence.
  for (const QueueEntry& entry : shard.queue)
    if (have_equal_rank(entry, *first)) fill_from(shard, entry, capacity, true);
  for (const QueueEntry& entry : shard.queue) fill_from(shard, entry, capacity, false);
}

void Scheduler::fill_from(Shard& shard, const QueueEntry& entry, FreeCapacity& capacity,
                          bool only_if_cached) {
  Job& job = *entry.job;
  const Machine& machine = *capacity.machine;
  if (!may_start_on(shard, job, machine)) return;
  if ((only_if_cached || job.only_where_cached) && !machine.images.contains(job.spec.image)) return;
  if (!job.spec.task_resources.fits_in(capacity.free)) return;
  TasksPerZone tasks_per_zone = tasks_per_zone_of(shard, job);
  placer_.place_on(shard, job, capacity, tasks_per_zone);
}

bool Scheduler::has_waiting_tasks(const Shard& shard, const CallForProposals& call) {
  return std::any_of(shard.jobs.begin(), shard.jobs.end(), [&](const auto& entry) {
    const Job& job = entry.second;
    return job.tasks_without_capacity > 0 && !job.quota_share_exhausted &&
           (!call.disclosed || job.spec.priority >= call.priority);
  });
}

Scheduler::CallCapacity Scheduler::capacity_for(const Shard& shard, const CallForProposals& call) const {
  Job probe;
  probe.spec.task_resources = call.task_resources;
  probe.spec.types = call.types;
  probe.spec.spot = call.spot;
  if (!call.zone.empty()) probe.spec.zone = call.zone;
  CallCapacity capacity;
  for (const auto& [name, machine] : shard.machines) {
    if (!fleet_.is_usable(machine) || !is_allowed_on(probe, machine, {})) continue;
    const Resources free = machine.free();
    const std::int64_t tasks = free.count_that_fit(call.task_resources);
    capacity.now += tasks;
    capacity.cached |= tasks > 0 && machine.images.contains(call.image);
    if (capacity.now < call.tasks)
      capacity.soon +=
          (free + machine.released_by(state_.now() + kOfferHorizon)).count_that_fit(call.task_resources) -
          tasks;
  }
  return capacity;
}

Scheduler::Offer Scheduler::offer(Shard& shard, const CallForProposals& call) const {
  const Quota quota = shard.free_quota_share(call.team) + call.spare_quota;
  const std::int64_t within_quota = quota.count_that_fit(quota_of(call.task_resources));
  if (within_quota <= 0) return {};
  const std::int64_t max_tasks = std::min(within_quota, std::int64_t{call.tasks});
  const CallCapacity capacity = capacity_for(shard, call);
  Offer out;
  if (capacity.now > 0 && max_tasks > 0) {
    out.tasks = static_cast<std::uint32_t>(std::min(capacity.now, max_tasks));
    out.delay = capacity.cached ? Micros{0} : kAssumedFetchTime;
  } else if (!has_waiting_tasks(shard, call)) {
    // Capacity that the last pass left free is of no use to this shard's waiting tasks and can always be
    // offered. Capacity that is released soon may be useful to them, so it is offered only if no such task
    // waits.
    out.tasks = static_cast<std::uint32_t>(std::min(capacity.soon, max_tasks));
    out.delay = kOfferHorizon + kAssumedFetchTime;
  }
  if (call.disclosed && call.time_to_deadline.count() > 0 && out.delay > call.time_to_deadline) out.tasks = 0;
  return out;
}

}  // namespace bendtide
