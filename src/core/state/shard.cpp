#include "core/state/shard.h"

namespace bendtide {

namespace {

bool machine_sums_are_consistent(const Machine& machine) {
  Resources used;
  Resources being_released;
  int services = 0;
  for (const auto& [id, placement] : machine.tasks) {
    if (!placement.takes_resources()) continue;
    used += placement.resources;
    if (!placement.wanted) being_released += placement.resources;
    if (placement.of_service) ++services;
  }
  return used == machine.used && being_released == machine.being_released && services == machine.services;
}

QuotaUsage recompute_usage(const Shard& shard) {
  QuotaUsage usage;
  for (const auto& [name, machine] : shard.machines) {
    if (!machine.reconciled) {
      usage.unreconciled += quota_of(machine.size);
      continue;
    }
    for (const auto& [id, placement] : machine.tasks) {
      if (!placement.takes_resources()) continue;
      const auto job = shard.jobs.find(id.task.job);
      const bool team_known = placement.of_known_job && job != shard.jobs.end();
      Quota& sum = team_known ? usage.by_team[job->second.spec.team] : usage.by_unknown_jobs;
      sum += quota_of(placement.resources);
    }
  }
  return usage;
}

/// Counts the placements of known jobs that take resources, by job id.
std::map<std::string, std::uint32_t> count_placements_by_job(const Shard& shard) {
  std::map<std::string, std::uint32_t> present;
  for (const auto& [name, machine] : shard.machines)
    for (const auto& [id, placement] : machine.tasks)
      if (placement.takes_resources() && placement.of_known_job) ++present[id.task.job];
  return present;
}

}  // namespace

bool Shard::sums_are_consistent() const {
  for (const auto& [name, machine] : machines)
    if (!machine_sums_are_consistent(machine)) return false;
  std::map<std::string, std::uint32_t> present = count_placements_by_job(*this);
  for (const auto& [id, job] : jobs)
    if (job.placement_count != present[id]) return false;
  QuotaUsage usage = recompute_usage(*this);
  for (const auto& [team, sum] : quota.usage.by_team)
    if (sum != usage.by_team[team]) return false;
  return usage.by_unknown_jobs == quota.usage.by_unknown_jobs &&
         usage.unreconciled == quota.usage.unreconciled;
}

}  // namespace bendtide
