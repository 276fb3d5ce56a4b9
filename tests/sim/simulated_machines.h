// The machines of a simulated cluster: the cloud that provisions them, and how they boot.
#pragma once

#include <vector>

#include "sim/environment.h"
#include "sim/simulated_cloud.h"
#include "sim/simulated_worker.h"

namespace bendtide::sim {

class SimulatedMachines {
 public:
  explicit SimulatedMachines(Environment& environment);

  /// Adds the machines that are there before any controller runs.
  void add_initial();

  SimulatedCloud& cloud() { return cloud_; }
  const SimulatedCloud& cloud() const { return cloud_; }
  /// Null if the machine is gone, dead or not up yet.
  SimulatedWorker* running_worker(const std::string& machine) { return cloud_.running_worker(machine); }
  /// Names of the machines that are up, in one zone or, if that is empty, in all.
  std::vector<std::string> up(const std::string& zone = "") const;
  /// The name of a machine that is up, drawn at random; empty if there is none.
  std::string random();
  /// Names of up to `count` machines that are up, those with most tasks first.
  std::vector<std::string> busiest(int count) const;

 private:
  void boot(const SimulatedCloud::Machine& machine);
  void start_worker(const std::string& machine);
  Micros run_time(const TaskId& task) const;

  Environment& environment_;
  SimulatedCloud cloud_;
};

}  // namespace bendtide::sim
