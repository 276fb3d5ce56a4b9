// The tasks on machines: what statuses show of them, what the end of an attempt means for its job and its
// machine, and which attempts are surely off a machine.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

class TaskTracker {
 public:
  explicit TaskTracker(ControllerState& state) : state_(state) {}

  /// Applies what a status of the machine, with this sequence number, shows of one task.
  void apply_status(Shard& shard, Machine& machine, const TaskStatus& status, std::uint64_t sequence_number);
  /// The attempt is surely off the machine: if it counts, its task waits to be placed again.
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
