#include "core/provisioning/scale_in.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr std::size_t kMaxMachinesPerDeletion = 100;
constexpr Micros kMinBilledTime = seconds(60);  ///< returning a machine earlier saves nothing

}  // namespace

void ScaleIn::scale_in(Shard& shard) {
  decommission_idle_machines(shard);
  decommission_silent_machines(shard);
  delete_decommissioned_machines(shard);
}

void ScaleIn::decommission_idle_machines(Shard& shard) const {
  // An idle machine is returned even while tasks wait that it does not suit, because it may block the
  // capacity in the cloud that those tasks need.
  for (auto& [name, machine] : shard.machines) {
    if (machine.lifecycle.decommissioned || !machine.liveness.status_received || !machine.reconciled)
      continue;
    // A machine behind a network partition is idle only because it can't be reached, and is needed again once
    // the partition has healed.
    if (machine.liveness.lease_expired || shard.unreachable_zones.contains(machine.zone)) continue;
    if (!machine.idle()) {
      drain_best_effort(shard, machine);
      continue;
    }
    if (!is_idle_long_enough(machine)) continue;
    machine.lifecycle.decommissioned = true;
    state_.context.debug([&shard, &machine = machine] {
      return LogMessage("machine decommissioned")
          .shard(shard.name)
          .machine(machine.name)
          .reason("idle longer than the configured time");
    });
  }
}

bool ScaleIn::is_idle_long_enough(const Machine& machine) const {
  return state_.now() - machine.idle_since >= seconds(state_.context.policy.idle_return_s) &&
         state_.context.wall - machine.created_at >= kMinBilledTime;
}

bool ScaleIn::has_only_best_effort(const Shard& shard, const Machine& machine) const {
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const Placement& placement = task.second;
    const auto job = shard.jobs.find(task.first.task.job);
    return placement.wanted && placement.takes_resources() && job != shard.jobs.end() &&
           state_.context.settings.is_best_effort(job->second.spec);
  });
}

void ScaleIn::drain_best_effort(Shard& shard, Machine& machine) const {
  if (machine.spot) return;
  if (!has_only_best_effort(shard, machine)) {
    machine.last_needed_at = state_.now();
    return;
  }
  if (state_.now() - machine.last_needed_at < seconds(state_.context.policy.idle_return_s)) return;
  for (auto& [id, placement] : machine.tasks) {
    const Job& job = shard.jobs.at(id.task.job);
    // The first task of a job is not stopped while its time to start has not passed: otherwise the job would
    // need another task to start elsewhere within that time.
    const bool first_task_due = state_.context.wall - job.accepted_at < Settings::kFirstTaskStartLimit;
    if (first_task_due && job.placement_count == 1) continue;
    shard.change_placement(machine, id, placement, [](Placement& changed) { changed.wanted = false; });
    shard.request_push(machine);
  }
}

void ScaleIn::decommission_silent_machines(Shard& shard) const {
  const Micros lease = state_.context.settings.worker_lease;
  for (auto& [name, machine] : shard.machines) {
    if (machine.liveness.status_received || machine.lifecycle.decommissioned ||
        fleet_.may_be_booting(machine))
      continue;
    // A machine behind a network partition may have been running before this leadership term began, so it
    // gets more time. The time is limited because machines that never booted look like a partition as well,
    // and no machine is created in their zone as long as they are kept.
    const Micros max_silence = shard.unreachable_zones.contains(machine.zone) ? lease * 3 / 2 : lease;
    // After a zone has become reachable again, its workers have the duration of a lease to send a heartbeat.
    if (state_.now() - std::max(shard.acquired_at, shard.last_zone_recovery_at) <= max_silence) continue;
    machine.lifecycle.decommissioned = true;
    state_.context.info(LogMessage("machine decommissioned")
                            .shard(shard.name)
                            .machine(name)
                            .reason("no status received after its expected boot time"));
  }
}

void ScaleIn::delete_decommissioned_machines(Shard& shard) {
  Deletion deletion{shard.name, shard.leadership_term, {}};
  for (const auto& [name, machine] : shard.machines)
    if (machine.lifecycle.decommissioned && !machine.lifecycle.deleting &&
        deletion.machines.size() < kMaxMachinesPerDeletion)
      deletion.machines.push_back(name);
  if (deletion.machines.empty()) return;
  const bool sent =
      cloud_.call(DeleteMachines{deletion.machines},
                  [this, deletion](const CloudResponse& response) { on_deleted(deletion, response); });
  if (!sent) return;
  for (const std::string& name : deletion.machines) shard.machines.at(name).lifecycle.deleting = true;
}

void ScaleIn::on_deleted(const Deletion& deletion, const CloudResponse& response) {
  Shard* shard = state_.shard_in_term(deletion.shard, deletion.leadership_term);
  if (shard == nullptr) return;
  for (const std::string& name : deletion.machines) {
    if (response.ok()) {
      // The response proves that the machine and all tasks on it no longer exist.
      fleet_.remove(*shard, name);
      continue;
    }
    if (auto machine = shard->machines.find(name); machine != shard->machines.end())
      machine->second.lifecycle.deleting = false;
  }
}

}  // namespace bendtide
