#include "core/provisioning/scale_in.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr std::size_t kMachinesPerDeletion = 100;
constexpr Micros kShortestPaid = seconds(60);  ///< a machine returned earlier costs as much

}  // namespace

void ScaleIn::scale_in(Shard& shard) {
  decommission_idle_machines(shard);
  decommission_silent_machines(shard);
  delete_decommissioned_machines(shard);
}

void ScaleIn::decommission_idle_machines(Shard& shard) const {
  // Returned also while tasks wait that it does not suit: it could block the capacity in the cloud that these
  // need.
  for (auto& [name, machine] : shard.machines) {
    if (machine.lifecycle.decommissioned || !machine.liveness.status_received || !machine.reconciled)
      continue;
    // Behind a network cut they are idle because nothing reaches them, and are needed once it is over.
    if (machine.liveness.lease_expired || shard.cut_zones.contains(machine.zone)) continue;
    if (!machine.idle()) {
      drain_best_effort(shard, machine);
      continue;
    }
    if (!is_idle_for_long(machine)) continue;
    machine.lifecycle.decommissioned = true;
    state_.context.debug([&shard, &machine = machine] {
      return LogMessage("machine decommissioned").shard(shard.name).machine(machine.name).why("idle");
    });
  }
}

bool ScaleIn::is_idle_for_long(const Machine& machine) const {
  return state_.now() - machine.idle_since >= seconds(state_.context.policy.idle_return_s) &&
         state_.context.wall - machine.rented_at >= kShortestPaid;
}

bool ScaleIn::has_only_best_effort(const Shard& shard, const Machine& machine) const {
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const Placement& placement = task.second;
    const auto job = shard.jobs.find(task.first.task.job);
    return placement.wanted && placement.takes_resources() && job != shard.jobs.end() &&
           state_.context.settings.best_effort(job->second.spec);
  });
}

void ScaleIn::drain_best_effort(Shard& shard, Machine& machine) const {
  if (machine.spot) return;
  if (!has_only_best_effort(shard, machine)) {
    machine.needed_at = state_.now();
    return;
  }
  if (state_.now() - machine.needed_at < seconds(state_.context.policy.idle_return_s)) return;
  for (auto& [id, placement] : machine.tasks) {
    const Job& job = shard.jobs.at(id.task.job);
    // The first task of a job goes on: another would have to begin elsewhere within its time.
    const bool first_task_due = state_.context.wall - job.accepted < Settings::kFirstTaskWithin;
    if (first_task_due && job.present == 1) continue;
    shard.change(machine, id, placement, [](Placement& changed) { changed.wanted = false; });
    shard.request_push(machine);
  }
}

void ScaleIn::decommission_silent_machines(Shard& shard) const {
  const Micros lease = state_.context.settings.worker_lease;
  for (auto& [name, machine] : shard.machines) {
    if (machine.liveness.status_received || machine.lifecycle.decommissioned || fleet_.booting(machine))
      continue;
    // Behind a network cut it may have been up before this leadership began, so it gets more time. But
    // machines that never came up look like a cut, too, and nothing is created in their zone for as long as
    // they are kept.
    const Micros allowed = shard.cut_zones.contains(machine.zone) ? lease * 3 / 2 : lease;
    // Once a zone can be reached again, all its workers have the time of a lease for a heartbeat.
    if (state_.now() - std::max(shard.acquired_at, shard.cut_over) <= allowed) continue;
    machine.lifecycle.decommissioned = true;
    state_.context.info(LogMessage("machine decommissioned")
                            .shard(shard.name)
                            .machine(name)
                            .why("it should be up, but has sent no status"));
  }
}

void ScaleIn::delete_decommissioned_machines(Shard& shard) {
  Deletion deletion{shard.name, shard.leadership_term, {}};
  for (const auto& [name, machine] : shard.machines)
    if (machine.lifecycle.decommissioned && !machine.lifecycle.deleting &&
        deletion.machines.size() < kMachinesPerDeletion)
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
      // The response proves that the machine is gone, with everything on it.
      fleet_.remove(*shard, name);
      continue;
    }
    if (auto machine = shard->machines.find(name); machine != shard->machines.end())
      machine->second.lifecycle.deleting = false;
  }
}

}  // namespace bendtide
