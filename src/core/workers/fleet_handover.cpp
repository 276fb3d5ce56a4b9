// What one holder of a shard tells the next about machines that are silent.
#include "core/workers/fleet.h"

namespace bendtide {

std::vector<UnreachableMachine> Fleet::unreachable_machines(const Shard& shard) const {
  std::vector<UnreachableMachine> out;
  std::size_t tasks = 0;
  const Micros now = state_.now();
  for (const auto& [name, m] : shard.machines) {
    if (!m.reconciled || !m.in_use ||
        now - m.last_status_at <= state_.context.settings.heartbeat_interval * 5 / 4)
      continue;
    if ((tasks += 1 + m.tasks.size()) > kHandoverTaskLimit) break;
    UnreachableMachine& s =
        out.emplace_back(UnreachableMachine{name, now - m.last_status_at, now - m.last_reply_at, {}});
    for (const auto& [id, p] : m.tasks)
      if (p.takes_room())
        s.tasks.push_back({id.task,
                           id.attempt,
                           p.seen == Placement::Seen::saving ? TaskPhase::saving : TaskPhase::running,
                           {}});
  }
  return out;
}

/// They are as if they had just reported: reconciled, and what may be on them is placed there until it is
/// proved to be off. The last leader did nothing with the shard after it said so, and we took it over its
/// very record.
void Fleet::restore_unreachable_machines(Shard& shard) {
  for (const UnreachableMachine& s : std::exchange(shard.handover, {})) {
    auto it = shard.machines.find(s.machine);
    if (it == shard.machines.end()) continue;
    Machine& m = it->second;
    for (const TaskStatus& t : s.tasks) note(shard, m, t, 0);
    m.last_status_at = m.last_heartbeat_at = shard.acquired_at - s.status_ago;
    m.last_reply_at = shard.acquired_at - s.reply_ago;
    shard.set_reconciled(m, true);
  }
}

}  // namespace bendtide
