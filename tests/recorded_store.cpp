#include "recorded_cases.h"
#include "sim/simulated_cluster.h"

namespace bendtide::recorded {

nlohmann::json store_in_the_middle_of_a_day() {
  sim::FaultScenario plan;
  plan.seed = 3;
  plan.troubles = false;
  plan.jobs = 60;
  plan.end = seconds(60);
  sim::SimulatedCluster day(plan);
  day.play();
  return day.state().snapshot();
}

}  // namespace bendtide::recorded
