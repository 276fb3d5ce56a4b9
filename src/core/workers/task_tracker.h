// Tracks the tasks on machines: applies the statuses that workers report, updates the job and the machine
// when an attempt ends, and releases attempts that are known to be off a machine.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

class TaskTracker {
 public:
  explicit TaskTracker(ControllerState& state) : state_(state) {}

  /// Applies the status of one task, from the machine status with this sequence number.
  void apply_status(Shard& shard, Machine& machine, const TaskStatus& status, std::uint64_t sequence_number);
  /// Removes an attempt that is known to be off the machine. If it is the current attempt of its task, the
  /// task waits to be placed again.
  void release(Shard& shard, Machine& machine, const AttemptId& id);
  void release_all(Shard& shard, Machine& machine);

 private:
  Placement& adopt(Shard& shard, Machine& machine, const TaskStatus& status, Job* job);
  void on_running(Machine& machine, Placement& placement, const Job* job) const;
  void on_attempt_ended(Shard& shard, Machine& machine, const AttemptId& id, Placement& placement);
  void on_attempt_succeeded(Machine& machine, const AttemptId& id, Job& job) const;
  void on_attempt_failed(Shard& shard, Machine& machine, Job& job);
  void quarantine(Shard& shard, Machine& machine);

  ControllerState& state_;
};

}  // namespace bendtide
