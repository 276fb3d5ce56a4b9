// Whether a machine may be given tasks, and whether it is being removed.
#pragma once

#include <optional>

#include "core/model/time.h"

namespace bendtide {

/// A machine that is quarantined, decommissioned or about to be preempted never gets tasks again; a cordoned
/// machine gets none until the cordon ends. Times are on the steady clock.
struct MachineLifecycle {
  bool quarantined = false;             ///< presumed faulty
  Micros cordoned_until{0};             ///< end of the cordon that was set when the machine refused a task
  std::optional<Micros> preemption_at;  ///< when the cloud will preempt the machine, if announced
  bool decommissioned = false;          ///< the machine is to be deleted
  bool deleting = false;                ///< the deletion request to the cloud is in flight

  bool accepts_tasks(Micros now) const {
    return !decommissioned && !quarantined && !preemption_at && now >= cordoned_until;
  }
};

}  // namespace bendtide
