// Runs many scenarios of the simulated cluster and prints, for each scenario, a digest of all actions of all
// controllers. If two versions of the sources print the same lines, their controllers make the same
// decisions.
//
//   bendtide_decision_digest [SEEDS]     number of seeds for each family of scenarios; default: 40

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <thread>
#include <vector>

#include "sim/action_digest.h"
#include "sim/simulated_cluster.h"

namespace bendtide::sim {
namespace {

/// A family of scenarios that differ only in their seeds. Its name is part of the printed lines, which are
/// compared with recorded ones.
struct Family {
  const char* name;
  std::function<void(FaultScenario&)> prepare;
};

std::vector<Family> families() {
  return {
      {"all kinds of trouble", [](FaultScenario&) {}},
      {"no trouble", [](FaultScenario& scenario) { scenario.inject_faults = false; }},
      {"impatient users",
       [](FaultScenario& scenario) {
         scenario.impatient_users = true;
         scenario.jobs = 60;
       }},
      {"tight limits",
       [](FaultScenario& scenario) {
         scenario.tight_limits = true;
         scenario.users_submit_invalid_jobs = true;
       }},
      {"zone-bound long tasks",
       [](FaultScenario& scenario) {
         scenario.zone_bound = true;
         scenario.long_tasks = true;
       }},
      {"small values", [](FaultScenario& scenario) { scenario.small_store_limits = true; }},
      {"slow reports", [](FaultScenario& scenario) { scenario.slow_heartbeats = true; }},
      {"one kind of trouble",
       [](FaultScenario& scenario) {
         const auto kinds = static_cast<std::uint64_t>(FaultKind::count);
         scenario.kinds = {static_cast<FaultKind>(scenario.seed % kinds)};
       }},
  };
}

struct ScenarioRun {
  const Family* family;
  FaultScenario scenario;
  ActionDigest digest;
};

void execute(ScenarioRun& run) {
  SimulatedCluster cluster(run.scenario);
  cluster.set_action_observer(
      [&run](const std::string& host, const Action& action) { run.digest.add(host, action); });
  cluster.run();
}

/// Executes all runs in parallel, with one thread for each hardware thread.
void execute_all(std::vector<ScenarioRun>& runs) {
  std::atomic<std::size_t> next = 0;
  auto work = [&runs, &next] {
    for (std::size_t i = next++; i < runs.size(); i = next++) execute(runs[i]);
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i) threads.emplace_back(work);
}

}  // namespace
}  // namespace bendtide::sim

int main(int argc, char** argv) {
  using namespace bendtide::sim;
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 40;
  const std::vector<Family> all_families = families();
  std::vector<ScenarioRun> runs;
  for (const Family& family : all_families) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      FaultScenario scenario;
      scenario.seed = seed;
      scenario.operators_poll = true;
      family.prepare(scenario);
      runs.push_back({&family, scenario, {}});
    }
  }
  execute_all(runs);
  for (const ScenarioRun& run : runs)
    std::printf("%s, seed %llu: %016llx after %zu actions\n", run.family->name,
                static_cast<unsigned long long>(run.scenario.seed),
                static_cast<unsigned long long>(run.digest.value()), run.digest.actions());
}
