// Finds jobs that wait although a machine could run them.
#pragma once

#include "sim/environment.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_users.h"

namespace bendtide::sim {

class NeglectCheck {
 public:
  NeglectCheck(Environment& environment, const SimulatedMachines& machines, const SimulatedUsers& users)
      : environment_(environment), machines_(machines), users_(users) {}

  /// Tells the checker, every second once all faults are over, which jobs wait although their team is under
  /// its limit and a machine that fits them has free resources.
  void repeat();

 private:
  bool could_run(const User& user) const;
  bool has_machine_for(const JobSpec& job) const;
  static bool fits(const JobSpec& job, const SimulatedCloud::Machine& machine);
  /// Whether the job's rule of zones allows one more task in that zone.
  static bool allows_zone(const JobSpec& job, const std::string& zone,
                          const std::vector<std::string>& zones_of_tasks);

  Environment& environment_;
  const SimulatedMachines& machines_;
  const SimulatedUsers& users_;
};

}  // namespace bendtide::sim
