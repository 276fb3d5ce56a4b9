// Defects planted in what passes between the controllers and the others, to show that the checker finds them.
#pragma once

#include <map>
#include <string>

#include "core/model/user_messages.h"
#include "core/model/worker_messages.h"
#include "sim/fault_scenario.h"
#include "sim/simulated_cloud.h"

namespace bendtide::sim {

/// Every function returns what it is given if the scenario plants no defect that concerns it.
class PlantedDefects {
 public:
  /// `jobs` has to outlive this object.
  PlantedDefects(PlantedDefect planted, const std::map<std::string, JobSpec>& jobs)
      : planted_(planted), jobs_(jobs) {}

  /// What a controller is configured with.
  Settings controller_settings(Settings settings) const;
  /// The commands that reach a worker, directly or with the answer to a heartbeat.
  std::vector<Command> delivered(std::vector<Command> commands) const;
  /// Commands that are added to the answer to a heartbeat.
  std::vector<Command> added(const std::vector<Command>& commands) const;
  /// Starts on other machines what `reply` starts on `machine`.
  void start_elsewhere(const HeartbeatReply& reply, const std::string& machine, SimulatedCloud& cloud,
                       Micros now) const;

  bool ignores_polls_for_one_job() const { return planted_ == PlantedDefect::ignore_one; }
  /// `last`: the phase that the user was answered before.
  UserReply poll_reply(UserReply reply, std::optional<JobPhase> last) const;
  int unknown_job_status(int status) const;
  int invalid_submission_status(int status) const;

 private:
  bool loses_start(const Command& command) const;
  bool starts_on(const SimulatedCloud::Machine& machine, const Command& command) const;

  PlantedDefect planted_;
  const std::map<std::string, JobSpec>& jobs_;
};

}  // namespace bendtide::sim
