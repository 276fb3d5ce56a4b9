#include "core/provisioning/demand.h"

#include <algorithm>

namespace bendtide {

namespace {

/// A booting machine is overdue after 8/5 of the usual boot time of its type plus this margin.
constexpr Micros kBootMargin = seconds(2);

}  // namespace

void pack(Bin& bin, Demand& demand) {
  const JobSpec& spec = demand.job->spec;
  if (demand.tasks <= 0 || bin.free.cpu < spec.task_resources.cpu || !suits(spec, bin.offering)) return;
  const std::int64_t tasks = std::min(demand.tasks, bin.free.count_that_fit(spec.task_resources));
  bin.free -= spec.task_resources * tasks;
  demand.tasks -= tasks;
}

DemandEstimate::NewestRunning DemandEstimate::newest_running(const Shard& shard) {
  NewestRunning newest;
  for (const auto& [name, machine] : shard.machines)
    if (machine.liveness.status_received)
      newest[machine.type] = std::max(newest[machine.type], machine.created_at);
  return newest;
}

bool DemandEstimate::is_expected_to_boot(const Machine& machine, const MachineType& type,
                                         const NewestRunning& newest) const {
  const Micros age = state_.context.wall - machine.created_at;
  if (age <= type.boot * 8 / 5 + kBootMargin) return true;
  if (!fleet_.may_be_booting(machine)) return false;
  const auto newest_of_type = newest.find(machine.type);
  return newest_of_type == newest.end() || newest_of_type->second < machine.created_at;
}

std::vector<Bin> DemandEstimate::future_bins(const Shard& shard) const {
  const NewestRunning newest = newest_running(shard);
  std::vector<Bin> bins;
  for (const auto& [name, machine] : shard.machines) {
    const MachineType* type = state_.machine_type(machine.type);
    if (machine.lifecycle.decommissioned || type == nullptr) continue;
    const Offering offering{machine.type, machine.zone, machine.spot};
    if (machine.liveness.status_received) {
      if (fleet_.is_usable(machine))
        bins.push_back({offering, machine.released_by(state_.now() + type->boot)});
    } else if (!shard.unreachable_zones.contains(machine.zone) &&
               is_expected_to_boot(machine, *type, newest)) {
      bins.push_back({offering, machine.size});
    }
  }
  return bins;
}

Demand DemandEstimate::demand_of(Job& job, const Quota& free_quota) const {
  Demand demand{&job, std::min<std::int64_t>(job.tasks_without_capacity,
                                             free_quota.count_that_fit(quota_of(job.spec.task_resources)))};
  if (!state_.context.settings.is_best_effort(job.spec)) return demand;
  demand.best_effort = true;
  const Micros waiting_for = state_.context.wall - job.accepted_at;
  const bool overdue = !job.has_begun() && waiting_for > Settings::kFirstTaskOverdueAfter;
  demand.spot_only = !overdue;
  // Best-effort jobs must begin in time, too: an overdue first task gets a machine at any price.
  if (overdue) demand.tasks = std::min<std::int64_t>(demand.tasks, 1);
  return demand;
}

std::vector<Demand> DemandEstimate::unmet_demands(Shard& shard, std::vector<Bin>& bins) const {
  std::vector<Demand> demands;
  std::map<std::string, Quota> free_quotas;  // by team
  for (auto& [id, job] : shard.jobs) {
    // The shard's own jobs need a machine only once all peers have refused them.
    if (job.tasks_without_capacity == 0 || !(job.needs_machines || !job.owner.empty())) continue;
    const auto [free_quota, inserted] = free_quotas.try_emplace(job.spec.team);
    if (inserted) free_quota->second = shard.free_quota_share(job.spec.team);
    Demand demand = demand_of(job, free_quota->second);
    free_quota->second -= quota_of(job.spec.task_resources) * demand.tasks;
    for (Bin& bin : bins) pack(bin, demand);
    if (demand.tasks > 0) demands.push_back(demand);
  }
  std::stable_sort(demands.begin(), demands.end(), [](const Demand& a, const Demand& b) {
    return a.job->spec.priority > b.job->spec.priority;
  });
  return demands;
}

}  // namespace bendtide
