// What one holder of a part tells the next about machines that are silent.
#include "core/fleet.h"

namespace bendtide {

std::vector<SilentMachine> Fleet::silent(const Part& part) const {
  std::vector<SilentMachine> out;
  std::size_t tasks = 0;
  const Micros now = cluster_.now();
  for (const auto& [name, m] : part.machines) {
    if (!m.settled || !m.in_use || now - m.last_heard <= cluster_.context.settings.report_every * 5 / 4)
      continue;
    if ((tasks += 1 + m.tasks.size()) > kTold) break;
    SilentMachine& s = out.emplace_back(SilentMachine{name, now - m.last_heard, now - m.last_answered, {}});
    for (const auto& [id, p] : m.tasks)
      if (p.takes_room())
        s.tasks.push_back({id.task,
                           id.attempt,
                           p.seen == Placement::Seen::saving ? TaskPhase::saving : TaskPhase::running,
                           {}});
  }
  return out;
}

/// They are as if they had just reported: settled, and what may be on them is placed there until it is proved
/// to be off. The last holder did nothing with the part after it said so, and we took it over its very
/// record.
void Fleet::recall(Part& part) {
  for (const SilentMachine& s : std::exchange(part.told, {})) {
    auto it = part.machines.find(s.machine);
    if (it == part.machines.end()) continue;
    Machine& m = it->second;
    for (const ReportedTask& t : s.tasks) note(part, m, t, 0);
    m.last_heard = m.last_reported = part.taken_at - s.heard_ago;
    m.last_answered = part.taken_at - s.answered_ago;
    part.settle(m, true);
  }
}

}  // namespace bendtide
