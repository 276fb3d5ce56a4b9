// Plays many days of the simulated cluster and prints, for each, a digest of every decision of every
// controller. Two versions of the sources that print the same lines decide the same.
//
//   bendtide_decision_digest [SEEDS]     seeds of each family of days; default 40

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

/// One kind of days; each is played with many seeds.
struct Family {
  const char* name;
  std::function<void(FaultScenario&)> prepare;
};

std::vector<Family> families() {
  return {
      {"all kinds of trouble", [](FaultScenario&) {}},
      {"no trouble", [](FaultScenario& plan) { plan.troubles = false; }},
      {"impatient users",
       [](FaultScenario& plan) {
         plan.hasty_users = true;
         plan.jobs = 60;
       }},
      {"tight limits", [](FaultScenario& plan) { plan.tight_limits = plan.odd_requests = true; }},
      {"zone-bound long tasks", [](FaultScenario& plan) { plan.zone_bound = plan.long_tasks = true; }},
      {"small values", [](FaultScenario& plan) { plan.small_values = true; }},
      {"slow reports", [](FaultScenario& plan) { plan.slow_reports = true; }},
      {"one kind of trouble",
       [](FaultScenario& plan) {
         const auto kinds = static_cast<std::uint64_t>(FaultKind::count);
         plan.only = {static_cast<FaultKind>(plan.seed % kinds)};
       }},
  };
}

struct PlayedDay {
  const Family* family;
  FaultScenario plan;
  ActionDigest digest;
};

void play(PlayedDay& played) {
  SimulatedCluster day(played.plan);
  day.observe([&played](const std::string& host, const Action& action) { played.digest.add(host, action); });
  day.play();
}

void play_all(std::vector<PlayedDay>& days) {
  std::atomic<std::size_t> next = 0;
  auto work = [&days, &next] {
    for (std::size_t i = next++; i < days.size(); i = next++) play(days[i]);
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i) threads.emplace_back(work);
}

}  // namespace
}  // namespace bendtide::sim

int main(int argc, char** argv) {
  using namespace bendtide::sim;
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 40;
  const std::vector<Family> all = families();
  std::vector<PlayedDay> days;
  for (const Family& family : all) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      FaultScenario plan;
      plan.seed = seed;
      plan.operators_ask = true;
      family.prepare(plan);
      days.push_back({&family, plan, {}});
    }
  }
  play_all(days);
  for (const PlayedDay& day : days)
    std::printf("%s, seed %llu: %016llx after %zu actions\n", day.family->name,
                static_cast<unsigned long long>(day.plan.seed),
                static_cast<unsigned long long>(day.digest.value()), day.digest.actions());
}
