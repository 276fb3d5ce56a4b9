// Complete runs of the simulated cluster under faults, and tests of the checker itself: each of its rules
// must detect a planted defect.

#include "sim/simulated_cluster.h"

#include <gtest/gtest.h>

namespace bendtide::sim {
namespace {

/// Whether to print the controllers' logs and the faults: set by the environment variable SIMULATION_VERBOSE.
bool verbose() { return std::getenv("SIMULATION_VERBOSE") != nullptr; }

/// One past the last seed. The environment variable SEEDS sets the number of seeds; the default is 40.
std::uint64_t seeds_end() {
  const char* text = std::getenv("SEEDS");
  return text == nullptr ? 41 : std::strtoull(text, nullptr, 10) + 1;
}

/// Runs the scenario, and expects that no rule of the checker is violated and that all jobs finish.
void expect_rules_kept(FaultScenario scenario) {
  scenario.verbose = verbose();
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
  EXPECT_EQ(cluster.store().oversized_requests(), 0u);
  EXPECT_EQ(cluster.inconsistent_sum_count(), 0u);
  EXPECT_EQ(cluster.evidence_count(Evidence::error_logged), 0u);
}

class RandomFaults : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomFaults, RulesHoldAndAllJobsFinish) {
  FaultScenario scenario;
  scenario.seed = GetParam();
  expect_rules_kept(scenario);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range<std::uint64_t>(1, seeds_end()));

// Scenarios that once violated a rule or left jobs unfinished. The commits that fixed these defects explain
// the causes.
class RegressionScenario : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RegressionScenario, RulesHoldAndAllJobsFinish) {
  FaultScenario scenario;
  scenario.seed = GetParam();
  scenario.has_extended_faults = false;
  expect_rules_kept(scenario);
}

INSTANTIATE_TEST_SUITE_P(Regressions, RandomFaults, testing::Values(255, 668, 789, 9112, 2783));

INSTANTIATE_TEST_SUITE_P(Seeds, RegressionScenario,
                         testing::Values(57, 204, 241, 262, 283, 312, 344, 399, 409, 412, 460, 479, 616,
                                         721));

// One kind of fault that is injected repeatedly, together with duplicated messages that arrive late.
class OneFaultKind : public testing::TestWithParam<int> {};

TEST_P(OneFaultKind, RulesHoldAndAllJobsFinish) {
  FaultScenario scenario;
  scenario.seed = 1000 + static_cast<std::uint64_t>(GetParam());
  scenario.kinds = {static_cast<FaultKind>(GetParam())};
  expect_rules_kept(scenario);
}

// Two kinds of faults that overlap in time. Every kind is combined with several others.
class TwoFaultKinds : public testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(TwoFaultKinds, RulesHoldAndAllJobsFinish) {
  const auto [kind, distance] = GetParam();
  // The second kind lies `distance` places after the first one, and wraps around among the first `end` kinds.
  // Kinds added later are combined with all kinds; the pairs of the earlier kinds stay unchanged.
  FaultKind end = FaultKind::count;
  for (const FaultKind first_of_later : {FaultKind::late_store_responses, FaultKind::late_transactions})
    if (kind < static_cast<int>(first_of_later)) end = first_of_later;
  const int other = (kind + distance) % static_cast<int>(end);
  FaultScenario scenario;
  scenario.seed = 2000 + static_cast<std::uint64_t>(kind * 100 + distance);
  scenario.kinds = {static_cast<FaultKind>(kind), static_cast<FaultKind>(other)};
  expect_rules_kept(scenario);
}

INSTANTIATE_TEST_SUITE_P(Kinds, TwoFaultKinds,
                         testing::Combine(testing::Range(0, static_cast<int>(FaultKind::count)),
                                          testing::Values(1, 4, 9)));

// Two machines that fail every task used to make healthy jobs look faulty, as these failed on one machine and
// then on the other. Both machines received tasks for as long as they existed.
TEST(FaultyMachines, FailuresPerMachineAreBounded) {
  FaultScenario scenario;
  scenario.seed = 5;
  scenario.kinds = {FaultKind::machine_fails_tasks};
  scenario.jobs = 60;
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  // Eight tasks fit on a machine at once: allows for those of two jobs, and of a third one placed meanwhile.
  EXPECT_LE(cluster.max_failures_on_a_machine(), 24u);
}

// The first forty jobs of a queue used to call for proposals repeatedly, and no machine was provisioned for
// the others. At any moment, a few jobs have just begun to wait and have not called for proposals yet. No job
// may be among them at two moments that lie further apart than the pause between two calls.
TEST(JobBurst, EveryQueuedJobCallsForProposals) {
  std::set<std::string> unprovisioned_before;
  for (const double end : {12.0, 14.5, 17.0, 19.5, 22.0}) {
    FaultScenario scenario;
    scenario.inject_faults = false;
    scenario.submit_at_once = true;
    scenario.jobs = 400;
    scenario.end = seconds(end);
    SimulatedCluster cluster(scenario);
    cluster.run();
    const std::set<std::string> unprovisioned = cluster.unprovisioned_jobs();
    EXPECT_LE(unprovisioned.size(), 20u) << "after " << end << " s";
    std::vector<std::string> still_unprovisioned;
    std::set_intersection(unprovisioned.begin(), unprovisioned.end(), unprovisioned_before.begin(),
                          unprovisioned_before.end(), std::back_inserter(still_unprovisioned));
    EXPECT_EQ(still_unprovisioned, std::vector<std::string>{}) << "after " << end << " s";
    unprovisioned_before = unprovisioned;
  }
}

TEST(SmallStoreLimits, OversizedWritesAreSplit) {
  FaultScenario scenario;
  scenario.seed = 7;
  scenario.jobs = 50;
  scenario.small_store_limits = true;
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
  EXPECT_EQ(cluster.store().oversized_requests(), 0u);
}

// A machine that is unreachable inbound is never silent long enough to be replaced for its silence, because
// its heartbeats still arrive in between the worker's attempts to reach other controllers. In addition, a
// shard whose machines were all unreachable when it was acquired used to change its leader endlessly.
class UnreachableMachines : public testing::TestWithParam<std::uint64_t> {};

TEST_P(UnreachableMachines, EachIsReplaced) {
  FaultScenario scenario;
  scenario.seed = GetParam();
  scenario.kinds = {FaultKind::machine_unreachable_inbound};
  scenario.slow_heartbeats = true;
  scenario.machines_stay_unreachable = true;
  scenario.verbose = verbose();
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
  EXPECT_EQ(cluster.unreachable_machine_count(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UnreachableMachines, testing::Range<std::uint64_t>(1, 10));

INSTANTIATE_TEST_SUITE_P(Kinds, OneFaultKind, testing::Range(0, static_cast<int>(FaultKind::count)));

TEST(NoFaults, FinishesAllJobsAndAwardsProposals) {
  FaultScenario scenario;
  scenario.inject_faults = false;
  scenario.jobs = 40;
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
  EXPECT_EQ(cluster.store().rate_limited_requests(), 0u);
  EXPECT_GT(cluster.award_count(), 0u);
}

struct PlantedDefectCase {
  PlantedDefect planted_defect;
  const char* rule;
};

class PlantedDefectIsDetected : public testing::TestWithParam<PlantedDefectCase> {};

TEST_P(PlantedDefectIsDetected, ByExpectedRule) {
  FaultScenario scenario;
  scenario.inject_faults = false;
  scenario.end = seconds(200);
  scenario.jobs = 60;
  scenario.planted_defect = GetParam().planted_defect;
  scenario.users_submit_invalid_jobs = scenario.planted_defect == PlantedDefect::accept_unfit;
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_TRUE(cluster.checker().violations().contains(GetParam().rule)) << cluster.checker().summary();
}

INSTANTIATE_TEST_SUITE_P(Rules, PlantedDefectIsDetected,
                         testing::Values(PlantedDefectCase{PlantedDefect::start_twice, "ran_twice"},
                                         PlantedDefectCase{PlantedDefect::ignore_quota, "quota"},
                                         PlantedDefectCase{PlantedDefect::start_anywhere, "wrong_place"},
                                         PlantedDefectCase{PlantedDefect::keep_cancelled, "ran_cancelled"},
                                         PlantedDefectCase{PlantedDefect::deny_jobs, "forgotten"},
                                         PlantedDefectCase{PlantedDefect::confirm_anything, "invented"},
                                         PlantedDefectCase{PlantedDefect::call_done_early, "not_done"},
                                         PlantedDefectCase{PlantedDefect::take_back, "went_back"},
                                         PlantedDefectCase{PlantedDefect::start_nothing, "nothing_ran"},
                                         PlantedDefectCase{PlantedDefect::starve_team, "starved"},
                                         PlantedDefectCase{PlantedDefect::starve_large, "starved"},
                                         PlantedDefectCase{PlantedDefect::ignore_one, "forgotten"},
                                         PlantedDefectCase{PlantedDefect::starve_team, "neglected"},
                                         PlantedDefectCase{PlantedDefect::accept_unfit, "accepted_unfit"}),
                         [](const auto& info) {
                           return std::string(info.param.rule) + "_" +
                                  std::to_string(static_cast<int>(info.param.planted_defect));
                         });

TEST(PlantedDefects, StartsOfCancelledJobsAreCounted) {
  FaultScenario scenario;
  scenario.inject_faults = false;
  scenario.end = seconds(200);
  scenario.jobs = 60;
  scenario.planted_defect = PlantedDefect::start_cancelled;
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_GT(cluster.checker().starts_after_cancel(), 0u);
}

}  // namespace
}  // namespace bendtide::sim
