#include "recorded_cases.h"
#include "sim/simulated_cluster.h"

namespace bendtide::recorded {

nlohmann::json store_snapshot_mid_run() {
  sim::FaultScenario scenario;
  scenario.seed = 3;
  scenario.inject_faults = false;
  scenario.jobs = 60;
  scenario.end = seconds(60);
  sim::SimulatedCluster cluster(scenario);
  cluster.run();
  return cluster.store().snapshot();
}

}  // namespace bendtide::recorded
