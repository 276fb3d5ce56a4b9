// Builds the commands for one machine from the difference between its wanted and its reported tasks.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

class CommandBuilder {
 public:
  explicit CommandBuilder(ControllerState& state) : state_(state) {}

  /// Returns the commands that the machine needs now. The caller must send them immediately, because the
  /// stops, and the starts sent in a reply, are recorded as sent. `replied_heartbeat` is the sequence number
  /// of the heartbeat whose reply carries the commands, or 0 if they are pushed. The caller records pushed
  /// starts.
  std::vector<Command> commands_for(Shard& shard, Machine& machine, std::uint64_t replied_heartbeat);
  /// Returns stops for the reported tasks whose jobs this shard does not have. Those jobs have ended,
  /// whatever the age of the status. Every reply must include these stops because every reply renews the
  /// lease of the worker: otherwise a sequence of leaders within a few seconds would keep the tasks of a
  /// cancelled job running.
  static std::vector<Command> stops_for_unknown_tasks(const Shard& shard, const Heartbeat& heartbeat);
  /// Logs each command at debug level. `replied_heartbeat` is the same as for commands_for().
  void log(const Shard& shard, const Machine& machine, const std::vector<Command>& commands,
           std::uint64_t replied_heartbeat) const;

 private:
  static bool may_be_forgotten(const Job* job, const AttemptId& id, const Placement& placement);
  bool may_send_start(Shard& shard, Job* job, const AttemptId& id);
  Command stop_command(const Shard& shard, const Job* job, const AttemptId& id, Placement& placement);
  Micros stop_grace_period(const Shard& shard, const Job& job) const;

  ControllerState& state_;
};

}  // namespace bendtide
