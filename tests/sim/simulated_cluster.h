// A whole simulated cluster: the cores of three controllers, simulated services and machines, a network that
// cuts and delays, users and faults; on a virtual clock, and the same in every run with the same scenario.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "sim/environment.h"
#include "sim/fault_injector.h"
#include "sim/heartbeat_exchange.h"
#include "sim/neglect_check.h"
#include "sim/simulated_controllers.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_network.h"
#include "sim/simulated_users.h"

namespace bendtide::sim {

class SimulatedCluster {
 public:
  explicit SimulatedCluster(const FaultScenario& scenario);

  /// The observer is called with every action of a controller, right before it is performed.
  void observe(SimulatedControllers::ActionObserver observer) { controllers_.observe(std::move(observer)); }
  /// Runs the scenario from its beginning to its end; to be called once.
  void run();

  const Checker& checker() const { return environment_.checker; }
  const SimulatedKeyValueStore& store() const { return environment_.store; }
  std::size_t seen(Evidence evidence) const { return environment_.evidence.count(evidence); }
  /// What should have been reached by the end of the run and was not.
  std::vector<std::string> unfinished() const { return users_.unfinished(); }
  /// How many proposals were awarded.
  std::uint64_t awards() const { return controllers_.awards(); }
  /// How often a shard's sums differed from what they sum up.
  std::size_t inconsistent_sums() const { return controllers_.inconsistent_sums(); }
  /// Jobs that have waited for free resources for a while, and for which no machine is to be provisioned yet.
  std::set<std::string> unprovisioned_jobs() const;
  /// Machines that nothing reaches, still there at the end.
  std::size_t unreachable_machines() const;
  /// The most tasks that failed on one machine.
  std::size_t most_failures_on_a_machine() const { return most_failures_; }

 private:
  /// Lets time pass for the machines; every 100 ms.
  void advance_machines();
  void count_teams_at_limit();
  void send_admin_requests();
  void print_states() const;

  Environment environment_;
  SimulatedMachines machines_;
  SimulatedNetwork network_;
  SimulatedControllers controllers_;
  HeartbeatExchange heartbeats_;
  SimulatedUsers users_;
  NeglectCheck neglect_check_;
  FaultInjector fault_injector_;
  std::size_t most_failures_ = 0;
};

}  // namespace bendtide::sim
