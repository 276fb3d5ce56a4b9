// Commands for one machine: the difference between what is wanted on it and what its worker reports.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

class CommandBuilder {
 public:
  explicit CommandBuilder(ControllerState& state) : state_(state) {}

  /// The commands that the machine needs by now. The caller has to send them at once: starts and stops are
  /// noted as sent. `replied_heartbeat`: the heartbeat whose reply carries them, 0 if they are pushed; the
  /// caller notes pushed starts itself.
  std::vector<Command> commands_for(Shard& shard, Machine& machine, std::uint64_t replied_heartbeat);
  /// Stops for the tasks of jobs that this shard does not have, as these are over. That holds for any status,
  /// however old. They go with every reply, as each renews the lease: leaders that follow one another within
  /// seconds would otherwise keep the tasks of a cancelled job alive.
  static std::vector<Command> stops_for_unknown_tasks(const Shard& shard, const Heartbeat& heartbeat);
  /// Writes a debug line for each command. `replied_heartbeat`: as above.
  void log(const Shard& shard, const Machine& machine, const std::vector<Command>& commands,
           std::uint64_t replied_heartbeat) const;

 private:
  static bool may_be_forgotten(const Job* job, const AttemptId& id, const Placement& placement);
  bool may_send_start(Shard& shard, Job* job, const AttemptId& id);
  Command stop_command(const Shard& shard, const Job* job, const AttemptId& id, Placement& placement);
  Micros time_to_save(const Shard& shard, const Job& job) const;

  ControllerState& state_;
};

}  // namespace bendtide
