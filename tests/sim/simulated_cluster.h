// A complete simulated cluster: the cores of three controllers, a simulated key-value store, cloud, machines,
// network and users, and fault injection. It runs on a virtual clock and is deterministic: the same scenario
// always produces the same run.
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

  /// Sets an observer that is called with each action of a controller immediately before it is performed.
  void set_action_observer(SimulatedControllers::ActionObserver observer) {
    controllers_.set_action_observer(std::move(observer));
  }
  /// Runs the scenario from start to end. May be called only once.
  void run();

  const Checker& checker() const { return environment_.checker; }
  const SimulatedKeyValueStore& store() const { return environment_.store; }
  const LateStartCopies& late_start_copies() const { return environment_.late_start_copies; }
  /// Returns how often the given kind of evidence was recorded.
  std::size_t evidence_count(Evidence evidence) const { return environment_.evidence.count(evidence); }
  /// Returns a description of each job that has not reached its expected state by the end of the run.
  std::vector<std::string> unfinished_jobs() const { return users_.unfinished_jobs(); }
  /// Returns the number of proposals that were awarded.
  std::uint64_t award_count() const { return controllers_.award_count(); }
  /// Returns how often the incrementally updated sums of a shard differed from freshly computed ones.
  std::size_t inconsistent_sum_count() const { return controllers_.inconsistent_sum_count(); }
  /// Returns the ids of the jobs with tasks that have waited for free resources for a while, and for which no
  /// machine is being provisioned yet. Leaves out refused jobs and those whose shard's quota share is
  /// exhausted.
  std::set<std::string> unprovisioned_jobs() const;
  /// Returns the number of running machines that neither commands nor heartbeat responses reach.
  std::size_t unreachable_machine_count() const;
  /// Returns the highest number of tasks that failed on a single machine.
  std::size_t max_failures_on_a_machine() const { return max_failures_on_a_machine_; }

 private:
  /// Advances all machines to the current virtual time, and schedules itself again.
  void advance_machines();
  /// Delivers all late copies of start commands, and schedules itself again.
  void deliver_late_start_copies();
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
  std::size_t max_failures_on_a_machine_ = 0;
};

}  // namespace bendtide::sim
