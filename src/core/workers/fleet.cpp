#include "core/workers/fleet.h"

namespace bendtide {

namespace {

constexpr Micros kCheckInterval = millis(250);

}  // namespace

Fleet::Fleet(ControllerState& state, Hooks hooks)
    : state_(state),
      hooks_(std::move(hooks)),
      ownership_(state, {[this](Shard& shard, const Machine& machine, bool reconciled) {
                           add(shard, machine, reconciled);
                         },
                         [this] { router_.resume_deferred(); }, hooks_.invalidate_leases}),
      router_(state, ownership_,
              [this](std::uint64_t request, Shard& shard, const Heartbeat& heartbeat) {
                on_own_heartbeat(request, shard, heartbeat);
              }),
      tasks_(state),
      commands_(state),
      calls_(state),
      failures_(state, tasks_) {}

void Fleet::tick() {
  router_.resume_deferred();
  router_.expire_deferred();
  ownership_.tick();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready() || state_.now() < shard.next_failure_check_at) continue;
    shard.next_failure_check_at = state_.now() + kCheckInterval;
    failures_.check(shard);
    if (shard.has_unreconciled_jobs && shard.all_reconciled()) finish_reconciliation(shard);
  }
}

void Fleet::on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
  router_.on_heartbeat(request, heartbeat);
}

void Fleet::on_shard_ready(Shard& shard) {
  for (auto& [name, machine] : shard.machines)
    if (!machine.reconciled) shard.request_push(machine);
  router_.resume_deferred();
}

/// Called when all machines are reconciled, so that every task of the loaded jobs is known.
void Fleet::finish_reconciliation(Shard& shard) {
  shard.has_unreconciled_jobs = false;
  state_.context.info(LogMessage("shard reconciled").shard(shard.name));
  for (auto& [id, job] : shard.jobs) job.may_be_on_unreconciled_machines = false;
  shard.request_scheduling_pass();
}

Machine& Fleet::add(Shard& shard, const Machine& machine, bool reconciled) {
  auto [found, is_new] = shard.machines.try_emplace(machine.name, machine);
  Machine& added = found->second;
  if (!is_new) return added;
  if (const MachineType* type = state_.machine_type(added.type)) added.size = type->size;
  added.liveness.last_status_at = state_.now();
  added.liveness.last_heartbeat_at = state_.now();
  added.liveness.last_reply_at = state_.now();
  added.idle_since = state_.now();
  added.reconciled = reconciled;
  shard.count_usage(added, 1);
  return added;
}

void Fleet::remove(Shard& shard, const std::string& name) {
  const auto found = shard.machines.find(name);
  if (found == shard.machines.end()) return;
  tasks_.release_all(shard, found->second);
  shard.count_usage(found->second, -1);
  ownership_.remove(shard, found->second);
  shard.machines.erase(found);
  router_.on_machine_deleted(name);
}

}  // namespace bendtide
