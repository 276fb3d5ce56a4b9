// Whole days of a simulated cluster, and the checkers' own test: each has to see a planted fault.

#include "sim/simulated_cluster.h"

#include <gtest/gtest.h>

namespace bendtide::sim {
namespace {

/// Plays the day, which has to keep every rule and to end with all work done.
void expect_good(FaultScenario plan) {
  plan.verbose = std::getenv("DAY_VERBOSE") != nullptr;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_EQ(day.checker().summary(), "");
  EXPECT_EQ(day.unfinished(), std::vector<std::string>{});
  EXPECT_EQ(day.state().too_large(), 0u);
  EXPECT_EQ(day.wrong_sums(), 0u);
  EXPECT_EQ(day.seen("errors in the log"), 0u);
}

class TroubledDay : public testing::TestWithParam<std::uint64_t> {};

TEST_P(TroubledDay, KeepsEveryRuleAndFinishesTheWork) {
  FaultScenario plan;
  plan.seed = GetParam();
  expect_good(plan);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TroubledDay,
                         testing::Range<std::uint64_t>(1,
                                                       std::getenv("DAYS") != nullptr
                                                           ? std::strtoull(std::getenv("DAYS"), nullptr, 10)
                                                           : 41));

// Days that once broke a rule or left work undone; the commits that mended them say how.
class FoundDay : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FoundDay, KeepsEveryRuleAndFinishesTheWork) {
  FaultScenario plan;
  plan.seed = GetParam();
  plan.wide = false;
  expect_good(plan);
}

INSTANTIATE_TEST_SUITE_P(Found, TroubledDay, testing::Values(255, 668, 789));

INSTANTIATE_TEST_SUITE_P(Seeds, FoundDay,
                         testing::Values(57, 204, 241, 262, 283, 312, 344, 399, 409, 412, 460, 479, 616,
                                         721));

// One kind of trouble again and again, beside copies of messages that come late.
class DayOfOneTrouble : public testing::TestWithParam<int> {};

TEST_P(DayOfOneTrouble, KeepsEveryRuleAndFinishesTheWork) {
  FaultScenario plan;
  plan.seed = 1000 + static_cast<std::uint64_t>(GetParam());
  plan.only = {static_cast<FaultKind>(GetParam())};
  expect_good(plan);
}

// Two kinds, one on top of the other: every kind meets several others.
class DayOfTwoTroubles : public testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(DayOfTwoTroubles, KeepsEveryRuleAndFinishesTheWork) {
  const auto [kind, distance] = GetParam();
  // The kinds that came later go round all: the pairs of the others stay what they were.
  FaultKind ring = FaultKind::count;
  for (const FaultKind first_of_later : {FaultKind::state_answers_late, FaultKind::late_transactions})
    if (kind < static_cast<int>(first_of_later)) ring = first_of_later;
  const int other = (kind + distance) % static_cast<int>(ring);
  FaultScenario plan;
  plan.seed = 2000 + static_cast<std::uint64_t>(kind * 100 + distance);
  plan.only = {static_cast<FaultKind>(kind), static_cast<FaultKind>(other)};
  expect_good(plan);
}

INSTANTIATE_TEST_SUITE_P(Kinds, DayOfTwoTroubles,
                         testing::Combine(testing::Range(0, static_cast<int>(FaultKind::count)),
                                          testing::Values(1, 4, 9)));

// Two faulty machines once took turns in making jobs look faulty, and drew in tasks for as long as they
// stood.
TEST(FaultyMachines, AreToldFromFaultyJobs) {
  FaultScenario plan;
  plan.seed = 5;
  plan.only = {FaultKind::machine_sick};
  plan.jobs = 60;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_EQ(day.checker().summary(), "");
  // Eight tasks fit on a machine at once; it takes those of two jobs, and of one more that came meanwhile.
  EXPECT_LE(day.most_failures(), 24u);
}

// The first forty of a queue once called for proposals again and again, and no machine was rented for the
// others. At any one moment a few jobs have just come to wait and not called yet; none may be among them
// twice, longer apart than the pause between two calls.
TEST(Rush, EveryJobGetsItsTurnToCall) {
  std::set<std::string> passed_over_before;
  for (const double end : {12.0, 14.5, 17.0, 19.5, 22.0}) {
    FaultScenario plan;
    plan.troubles = false;
    plan.rush = true;
    plan.jobs = 400;
    plan.end = seconds(end);
    SimulatedCluster day(plan);
    day.play();
    const std::set<std::string> passed_over = day.passed_over();
    EXPECT_LE(passed_over.size(), 20u) << end;
    std::vector<std::string> still;
    std::set_intersection(passed_over.begin(), passed_over.end(), passed_over_before.begin(),
                          passed_over_before.end(), std::back_inserter(still));
    EXPECT_EQ(still, std::vector<std::string>{}) << end;
    passed_over_before = passed_over;
  }
}

TEST(SmallLimits, WhatWouldExceedThemIsSplit) {
  FaultScenario plan;
  plan.seed = 7;
  plan.jobs = 50;
  plan.small_values = true;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_EQ(day.checker().summary(), "");
  EXPECT_EQ(day.unfinished(), std::vector<std::string>{});
  EXPECT_EQ(day.state().too_large(), 0u);
}

// They heartbeat between the silences of their worker's other tries, and so are never silent for long enough.
// And a part all of whose machines were deaf when it was taken was once handed round among the controllers
// for ever.
class DeafMachines : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DeafMachines, AreReplaced) {
  FaultScenario plan;
  plan.seed = GetParam();
  plan.only = {FaultKind::machine_deaf};
  plan.slow_reports = plan.deaf_for_good = true;
  plan.verbose = std::getenv("DAY_VERBOSE") != nullptr;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_EQ(day.checker().summary(), "");
  EXPECT_EQ(day.unfinished(), std::vector<std::string>{});
  EXPECT_EQ(day.deaf_machines(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DeafMachines, testing::Range<std::uint64_t>(1, 10));

INSTANTIATE_TEST_SUITE_P(Kinds, DayOfOneTrouble, testing::Range(0, static_cast<int>(FaultKind::count)));

TEST(QuietDay, FinishesEverythingAndNegotiates) {
  FaultScenario plan;
  plan.troubles = false;
  plan.jobs = 40;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_EQ(day.checker().summary(), "");
  EXPECT_EQ(day.unfinished(), std::vector<std::string>{});
  EXPECT_EQ(day.state().refused(), 0u);
  EXPECT_GT(day.awards(), 0u);
}

struct PlantedDefectCase {
  PlantedDefect planted_defect;
  const char* rule;
};

class PlantedFault : public testing::TestWithParam<PlantedDefectCase> {};

TEST_P(PlantedFault, IsSeen) {
  FaultScenario plan;
  plan.troubles = false;
  plan.end = seconds(200);
  plan.jobs = 60;
  plan.planted_defect = GetParam().planted_defect;
  plan.odd_requests = plan.planted_defect == PlantedDefect::accept_unfit;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_TRUE(day.checker().broken().contains(GetParam().rule)) << day.checker().summary();
}

INSTANTIATE_TEST_SUITE_P(Rules, PlantedFault,
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

TEST(PlantedStart, OfACancelledJobIsCounted) {
  FaultScenario plan;
  plan.troubles = false;
  plan.end = seconds(200);
  plan.jobs = 60;
  plan.planted_defect = PlantedDefect::start_cancelled;
  SimulatedCluster day(plan);
  day.play();
  EXPECT_GT(day.checker().starts_after_cancel(), 0u);
}

}  // namespace
}  // namespace bendtide::sim
