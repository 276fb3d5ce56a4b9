// Whether a machine may be given tasks, and whether it is on its way out.
#pragma once

#include <optional>

#include "core/model/time.h"

namespace bendtide {

/// Times are of the steady clock. A machine that is quarantined, decommissioned or about to be preempted
/// never gets tasks again; one that is cordoned gets none for a while.
struct MachineLifecycle {
  bool quarantined = false;                       ///< taken to be faulty
  Micros cordoned_until{0};                       ///< it refused a task lately
  std::optional<Micros> preemption_notice_until;  ///< the cloud takes it away then
  bool decommissioned = false;                    ///< to be deleted
  bool deleting = false;                          ///< the call that deletes it is under way

  bool accepts_tasks(Micros now) const {
    return !decommissioned && !quarantined && !preemption_notice_until && now >= cordoned_until;
  }
};

}  // namespace bendtide
