// The information about silent machines that one leader of a shard passes to the next.
#include "core/workers/fleet.h"

namespace bendtide {

namespace {

constexpr std::size_t kHandoverLimit = 1500;  ///< machines and tasks together, in one message

/// Returns statuses of the tasks that may use resources of the machine.
std::vector<TaskStatus> statuses_of(const Machine& machine) {
  std::vector<TaskStatus> statuses;
  for (const auto& [id, placement] : machine.tasks) {
    if (!placement.takes_resources()) continue;
    const bool saving = placement.reported_state == Placement::ReportedState::saving;
    statuses.push_back({id.task, id.attempt, saving ? TaskPhase::saving : TaskPhase::running, {}});
  }
  return statuses;
}

}  // namespace

std::vector<UnreachableMachine> Fleet::unreachable_machines(const Shard& shard) const {
  const Micros now = state_.now();
  const Micros longest_pause = state_.context.settings.heartbeat_interval * 5 / 4;
  std::vector<UnreachableMachine> unreachable;
  std::size_t size = 0;
  for (const auto& [name, machine] : shard.machines) {
    const Liveness& liveness = machine.liveness;
    if (!machine.reconciled || !machine.in_use || now - liveness.last_status_at <= longest_pause) continue;
    size += 1 + machine.tasks.size();
    if (size > kHandoverLimit) break;
    unreachable.push_back(
        {name, now - liveness.last_status_at, now - liveness.last_reply_at, statuses_of(machine)});
  }
  return unreachable;
}

/// Treats each machine as if it had sent a status: it is reconciled, and the tasks that may be on it
/// stay placed there until they are known to be gone. This is safe because the previous leader stopped acting
/// for the shard before it sent the handover, and this controller replaced exactly that leader's lease
/// record.
void Fleet::restore_unreachable_machines(Shard& shard) {
  for (const UnreachableMachine& unreachable : std::exchange(shard.unreachable_at_handover, {})) {
    const auto found = shard.machines.find(unreachable.machine);
    if (found == shard.machines.end()) continue;
    Machine& machine = found->second;
    for (const TaskStatus& status : unreachable.tasks) tasks_.apply_status(shard, machine, status, 0);
    machine.liveness.last_status_at = shard.acquired_at - unreachable.since_last_status;
    machine.liveness.last_heartbeat_at = shard.acquired_at - unreachable.since_last_status;
    machine.liveness.last_reply_at = shard.acquired_at - unreachable.since_last_reply;
    shard.set_reconciled(machine, true);
  }
}

}  // namespace bendtide
