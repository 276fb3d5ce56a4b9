// Finds jobs with pending tasks that a machine could run.
#pragma once

#include "sim/environment.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_users.h"

namespace bendtide::sim {

class NeglectCheck {
 public:
  NeglectCheck(Environment& environment, const SimulatedMachines& machines, const SimulatedUsers& users)
      : environment_(environment), machines_(machines), users_(users) {}

  /// Runs the check, and schedules it again every second. Once all faults are over, it tells the checker
  /// which jobs have a pending task although their team is below its limit and a machine has free resources
  /// for it.
  void run_periodically();

 private:
  bool is_runnable(const User& user) const;
  /// Whether a machine can take one more task of the job.
  bool has_machine_for(const JobSpec& job) const;
  /// Whether the machine is healthy, is allowed for the job and has the resources of one task free.
  static bool fits(const JobSpec& job, const SimulatedCloud::Machine& machine);
  /// Whether the constraints of the job on zones allow one more task in `zone`.
  static bool allows_zone(const JobSpec& job, const std::string& zone,
                          const std::vector<std::string>& zones_of_tasks);

  Environment& environment_;
  const SimulatedMachines& machines_;
  const SimulatedUsers& users_;
};

}  // namespace bendtide::sim
