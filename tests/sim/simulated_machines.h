// The machines of a simulated cluster: the cloud that creates them, their boot and their workers.
#pragma once

#include <vector>

#include "sim/environment.h"
#include "sim/simulated_cloud.h"
#include "sim/simulated_worker.h"

namespace bendtide::sim {

class SimulatedMachines {
 public:
  explicit SimulatedMachines(Environment& environment);

  /// Adds the machines that exist before the first controller starts.
  void add_initial();

  SimulatedCloud& cloud() { return cloud_; }
  const SimulatedCloud& cloud() const { return cloud_; }
  /// Returns the worker of a machine, or null if the machine is deleted, dead or still booting.
  SimulatedWorker* running_worker(const std::string& machine) { return cloud_.running_worker(machine); }
  /// Returns the names of the machines that are up in a zone, or in all zones if `zone` is empty.
  std::vector<std::string> machines_up(const std::string& zone = "") const;
  /// Returns the name of a random machine that is up, or an empty string if there is none.
  std::string random_machine();
  /// Returns the names of up to `count` machines that are up, in descending order of their active tasks.
  std::vector<std::string> busiest(int count) const;

 private:
  /// Schedules the end of the boot of a new machine.
  void boot(const SimulatedCloud::Machine& machine);
  /// Ends the boot of a machine, unless it was deleted or died in the meantime.
  void start_worker(const std::string& machine);
  /// Returns the time that a task runs until it is done. It differs between the tasks of a job.
  Micros run_time(const TaskId& task) const;

  Environment& environment_;
  SimulatedCloud cloud_;
};

}  // namespace bendtide::sim
