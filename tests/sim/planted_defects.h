// Plants defects in the messages to and from controllers, to show that the checker finds them.
#pragma once

#include <map>
#include <string>

#include "core/model/user_messages.h"
#include "core/model/worker_messages.h"
#include "sim/fault_scenario.h"
#include "sim/simulated_cloud.h"

namespace bendtide::sim {

/// A function has no effect, or returns its argument, unless the scenario plants a defect that it implements.
class PlantedDefects {
 public:
  /// `jobs` has to outlive this object.
  PlantedDefects(PlantedDefect planted, const std::map<std::string, JobSpec>& jobs)
      : planted_(planted), jobs_(jobs) {}

  /// The settings that a controller is configured with.
  Settings controller_settings(Settings settings) const;
  /// The commands that reach a worker, in a command request or with the reply to a heartbeat.
  std::vector<Command> commands_to_deliver(std::vector<Command> commands) const;
  /// Commands to add to the reply to a heartbeat that carries `commands`; none without a defect.
  std::vector<Command> added(const std::vector<Command>& commands) const;
  /// Executes the start commands of a reply to `machine` on another machine too.
  void start_elsewhere(const HeartbeatReply& reply, const std::string& machine, SimulatedCloud& cloud,
                       Micros now) const;

  bool ignores_polls_for_one_job() const { return planted_ == PlantedDefect::ignore_one; }
  /// The reply to a poll; `last` is the phase in the previous reply to the user.
  UserReply poll_reply(UserReply reply, std::optional<JobPhase> last) const;
  int unknown_job_status(int status) const;
  int invalid_submission_status(int status) const;

 private:
  bool drops_start(const Command& command) const;
  /// Whether the command is also to be executed on `machine`.
  bool also_starts_on(const SimulatedCloud::Machine& machine, const Command& command) const;

  PlantedDefect planted_;
  const std::map<std::string, JobSpec>& jobs_;
};

}  // namespace bendtide::sim
