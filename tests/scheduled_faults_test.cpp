// Scenarios with faults at fixed times. Each scenario provokes one particular situation. Its test requires
// evidence that the situation occurred, that no rule of the checker was violated, and that all jobs finished.

#include <gtest/gtest.h>

#include "sim/simulated_cluster.h"

namespace bendtide::sim {
namespace {

using enum FaultKind;

struct NamedScenario {
  const char* name;
  std::vector<ScheduledFault> faults;
  std::vector<Evidence> required_evidence;     ///< events that must occur at least once
  void (*prepare)(FaultScenario&) = nullptr;   ///< changes the defaults of the scenario
  std::vector<Evidence> forbidden_evidence{};  ///< events that must not occur
};
using NamedScenarios = std::vector<NamedScenario>;

/// Crashes the controller whose shards have the most machines, and restarts it after `down_for`.
ScheduledFault crash_busiest_controller(Micros at, Micros down_for) {
  return {.at = at, .kind = controller_crashes, .duration = down_for, .controller = kBusiestController};
}

/// Users cancel `count` running jobs at once. The machines of these jobs do not hang meanwhile.
ScheduledFault cancel_jobs(Micros at, int count) {
  return {.at = at, .kind = cancel_together, .duration = Micros{0}, .count = count};
}

void with_long_tasks(FaultScenario& scenario) { scenario.long_tasks = true; }

void with_tight_limits(FaultScenario& scenario) {
  scenario.tight_limits = true;
  scenario.jobs = 40;
}

void with_zone_bound_long_tasks(FaultScenario& scenario) {
  scenario.zone_bound = true;
  scenario.long_tasks = true;
}

void with_overload(FaultScenario& scenario) {
  scenario.submit_at_once = true;
  scenario.jobs = 50;
}

NamedScenarios worker_partitions() {
  return {
      {"DelayedHeartbeatsReachNewLeader",
       {{.at = seconds(40),
         .kind = workers_unreachable,
         .duration = seconds(9),
         .controller = kBusiestController,
         .hold = true},
        {.at = seconds(70),
         .kind = workers_unreachable,
         .duration = seconds(22),
         .controller = kBusiestController,
         .hold = true}},
       {Evidence::message_held, Evidence::shard_acquired}},
      {"CommandsAndResponsesAreDelayed",
       {{.at = seconds(40), .kind = machine_hangs_long, .duration = seconds(7), .count = 4},
        {.at = seconds(60), .kind = machine_partitioned, .duration = seconds(9), .count = 4, .hold = true},
        cancel_jobs(seconds(62), 4),
        {.at = seconds(90), .kind = machine_hangs_long, .duration = seconds(11), .count = 4}},
       {Evidence::message_held}},
      {"MachinesUnreachableOutboundStillExecuteCommands",
       {{.at = seconds(35), .kind = machines_unreachable_outbound, .duration = seconds(30), .count = 20},
        crash_busiest_controller(seconds(45), seconds(4)),
        {.at = seconds(85), .kind = machines_unreachable_outbound, .duration = seconds(45), .count = 4},
        cancel_jobs(seconds(86), 4)},
       {Evidence::heartbeat_lost, Evidence::worker_lease_expired}},
      {"OverloadWithSlowStoreAndUnreachableZone",
       {{.at = seconds(20), .kind = store_slow, .duration = seconds(60)},
        {.at = seconds(40), .kind = west_workers_unreachable, .duration = seconds(20)}},
       {Evidence::team_at_limit},
       with_overload},
  };
}

NamedScenarios zone_partitions() {
  return {
      {"ZonePartitionedWithItsController",
       {{.at = seconds(40), .kind = zone_partitioned, .duration = seconds(20), .hold = true},
        {.at = seconds(90), .kind = zone_partitioned, .duration = seconds(16)}},
       {Evidence::message_held, Evidence::shard_acquired}},
      // The heartbeats delayed by the partition all arrive at the next leader at once. A leader used to
      // conclude from such a burst that the machine was unreachable.
      {"ShardsAcquiredDuringZonePartition",
       {{.at = seconds(40), .kind = zone_partitioned, .duration = seconds(11), .hold = true},
        {.at = seconds(41), .kind = controller_crashes, .duration = seconds(4), .controller = 0}},
       {Evidence::message_held, Evidence::shard_acquired},
       nullptr,
       {Evidence::machine_found_unreachable}},
      {"ZoneBoundJobsLoseMachines",
       {{.at = seconds(40), .kind = machine_dies, .count = 3},
        {.at = seconds(60), .kind = machine_partitioned, .duration = seconds(14), .count = 2},
        {.at = seconds(75), .kind = machine_dies, .count = 3},
        {.at = seconds(90), .kind = machine_dies, .count = 3},
        crash_busiest_controller(seconds(91), seconds(5))},
       {Evidence::zone_bound_task_lost},
       with_zone_bound_long_tasks},
  };
}

std::vector<ScheduledFault> ten_leader_crashes_and_store_outage() {
  std::vector<ScheduledFault> faults{{.at = seconds(75), .kind = store_outage, .duration = seconds(25)}};
  for (int i = 0; i < 10; ++i)
    faults.push_back({.at = seconds(30 + 12 * i),
                      .kind = controller_crashes,
                      .duration = i % 2 == 0 ? millis(100) : seconds(4),
                      .controller = kBusiestController});
  return faults;
}

NamedScenarios leader_changes() {
  return {
      {"LeadershipMovesAwayAndBackWithinASecond",
       {{.at = seconds(40), .kind = store_unreachable, .duration = seconds(4), .controller = 0},
        {.at = seconds(45), .kind = controller_crashes, .duration = millis(200), .controller = 1},
        {.at = seconds(70), .kind = all_controllers_crash, .duration = seconds(3)},
        {.at = seconds(73), .kind = controller_crashes, .duration = millis(50), .controller = 2},
        {.at = seconds(90), .kind = store_refuses, .duration = seconds(3), .controller = kBusiestController},
        crash_busiest_controller(seconds(93), millis(300))},
       {Evidence::shard_acquired}},
      {"TenLeaderCrashesAndStoreOutage", ten_leader_crashes_and_store_outage(), {Evidence::shard_acquired}},
      {"LeaderCrashesWhileMachinesAreUnreachable",
       {{.at = seconds(40), .kind = machine_partitioned, .duration = seconds(25), .count = 3, .hold = true},
        {.at = seconds(41), .kind = machine_unreachable_inbound, .duration = seconds(25), .count = 5},
        crash_busiest_controller(seconds(42), seconds(5)),
        cancel_jobs(seconds(45), 3)},
       {Evidence::message_held, Evidence::shard_acquired},
       with_long_tasks},
      {"AllControllersDownLongerThanALease",
       {{.at = seconds(45), .kind = cancel_together, .duration = seconds(5), .count = 3},
        {.at = seconds(46), .kind = all_controllers_crash, .duration = seconds(16)},
        {.at = seconds(90), .kind = all_controllers_crash, .duration = millis(200)}},
       {Evidence::shard_acquired}},
      {"OneControllerLeadsAllShards",
       {{.at = seconds(40), .kind = controller_crashes, .duration = seconds(70), .controller = 0},
        {.at = seconds(40), .kind = controller_crashes, .duration = seconds(71), .controller = 1},
        cancel_jobs(seconds(60), 4)},
       {Evidence::shard_acquired, Evidence::cancelled_together},
       with_long_tasks},
  };
}

NamedScenarios jobs_during_leader_changes() {
  return {
      {"LongTasksAcrossLeaderChanges",
       {crash_busiest_controller(seconds(50), seconds(6)),
        crash_busiest_controller(seconds(75), millis(150)),
        {.at = seconds(76), .kind = machine_dies},
        {.at = seconds(100),
         .kind = store_unreachable,
         .duration = seconds(15),
         .controller = kBusiestController}},
       {Evidence::shard_acquired},
       with_long_tasks},
      {"TeamAtItsLimitDuringLeaderChange",
       {{.at = seconds(50), .kind = machine_partitioned, .duration = seconds(18), .count = 2},
        crash_busiest_controller(seconds(51), seconds(5)),
        cancel_jobs(seconds(53), 4),
        {.at = seconds(80),
         .kind = store_and_peers_unreachable,
         .duration = seconds(20),
         .controller = kBusiestController}},
       {Evidence::team_at_limit, Evidence::cancelled_during_partition},
       with_tight_limits},
      {"LeaderReachesOnlyItsWorkers",
       {{.at = seconds(40),
         .kind = store_and_peers_unreachable,
         .duration = seconds(30),
         .controller = kBusiestController,
         .hold = true},
        cancel_jobs(seconds(41), 4),
        cancel_jobs(seconds(55), 4),
        {.at = seconds(90),
         .kind = store_and_peers_unreachable,
         .duration = seconds(6),
         .controller = kBusiestController}},
       {Evidence::cancelled_during_partition, Evidence::shard_acquired}},
      // The workers of a paused controller used to wait for it until their leases expired, and its peers
      // redirected workers to it.
      {"BusiestControllerPauses",
       {{.at = seconds(45),
         .kind = controller_pauses,
         .duration = seconds(10),
         .controller = kBusiestController},
        {.at = seconds(85),
         .kind = controller_pauses,
         .duration = seconds(30),
         .controller = kBusiestController}},
       {Evidence::shard_acquired},
       with_long_tasks,
       {Evidence::worker_lease_expired}},
  };
}

NamedScenarios late_messages() {
  return {
      {"HeartbeatsArriveOutOfOrder",
       {{.at = seconds(25), .kind = late_heartbeats, .duration = seconds(110)},
        crash_busiest_controller(seconds(45), millis(100)),
        {.at = seconds(60), .kind = worker_restarts, .count = 2},
        crash_busiest_controller(seconds(80), seconds(5))},
       {Evidence::heartbeat_duplicated}},
      {"TransactionsExecuteOutOfOrder",
       {{.at = seconds(10), .kind = late_transactions, .duration = seconds(120)},
        crash_busiest_controller(seconds(50), millis(100)),
        crash_busiest_controller(seconds(70), seconds(8)),
        cancel_jobs(seconds(80), 4)},
       {Evidence::transaction_executed_late}},
  };
}

NamedScenarios cancellations_during_store_refusals() {
  return {
      {"StoreRefusesLeaderBeforeOutage",
       {{.at = seconds(40), .kind = store_refuses, .duration = seconds(14), .controller = kBusiestController},
        cancel_jobs(seconds(41), 4),
        {.at = seconds(42), .kind = store_outage, .duration = seconds(48)},
        {.at = seconds(110),
         .kind = store_refuses,
         .duration = seconds(30),
         .controller = kBusiestController},
        cancel_jobs(seconds(121), 4),
        {.at = seconds(122), .kind = store_outage, .duration = seconds(20)}},
       {Evidence::cancelled_during_store_refusal, Evidence::shard_acquired},
       with_long_tasks},
      {"JobsCancelledWhenStoreStartsRefusing",
       {{.at = seconds(50), .kind = store_refuses, .duration = seconds(14), .controller = kBusiestController},
        cancel_jobs(seconds(50), 8),
        {.at = seconds(51), .kind = store_outage, .duration = seconds(48)}},
       {Evidence::cancelled_during_store_refusal, Evidence::cancelled_together},
       with_long_tasks},
      // After an outage, a leader used to act on data that it had read before the outage, until its next
      // read.
      {"JobsCancelledDuringRefusalBeforeMachinePartition",
       {{.at = seconds(50), .kind = store_refuses, .duration = seconds(25), .controller = 1},
        {.at = seconds(50), .kind = machine_unreachable_inbound, .duration = seconds(50), .count = 4},
        cancel_jobs(seconds(50), 8),
        {.at = seconds(51), .kind = store_outage, .duration = seconds(30)},
        {.at = millis(81'300), .kind = machine_partitioned, .duration = seconds(9), .count = 10}},
       {Evidence::cancelled_during_store_refusal},
       with_long_tasks},
  };
}

NamedScenarios user_request_races() {
  return {
      {"JobsCancelledWhileMachinesHang",
       {{.at = seconds(40), .kind = cancel_together, .duration = seconds(7), .count = 5},
        {.at = seconds(60), .kind = cancel_together, .duration = seconds(20), .count = 5},
        crash_busiest_controller(seconds(61), seconds(4)),
        {.at = seconds(90), .kind = cancel_together, .duration = seconds(11), .count = 5},
        {.at = seconds(92), .kind = store_outage, .duration = seconds(45)}},
       {Evidence::machine_hung_at_cancellation, Evidence::cancelled_together},
       with_long_tasks},
      {"UserRequestsWhileLastTaskEnds",
       {{.at = seconds(5), .kind = race_job_ends, .duration = seconds(140)}},
       {Evidence::job_end_raced}},
  };
}

const NamedScenarios& all_scenarios() {
  static const NamedScenarios all = [] {
    NamedScenarios scenarios;
    for (const auto& group :
         {worker_partitions(), zone_partitions(), leader_changes(), jobs_during_leader_changes(),
          late_messages(), cancellations_during_store_refusals(), user_request_races()})
      scenarios.insert(scenarios.end(), group.begin(), group.end());
    return scenarios;
  }();
  return all;
}

FaultScenario make_scenario(const NamedScenario& named, std::uint64_t seed) {
  FaultScenario scenario;
  scenario.seed = 3000 + seed;
  scenario.faults = named.faults;
  scenario.users_submit_invalid_jobs = true;
  scenario.jobs = 30;
  scenario.end = seconds(420);
  scenario.verbose = std::getenv("SIMULATION_VERBOSE") != nullptr;
  if (named.prepare != nullptr) named.prepare(scenario);
  return scenario;
}

void expect_situation_occurred(const SimulatedCluster& cluster, const NamedScenario& named) {
  EXPECT_EQ(cluster.evidence_count(Evidence::scheduled_fault_injected), named.faults.size());
  for (const Evidence evidence : named.forbidden_evidence)
    EXPECT_EQ(cluster.evidence_count(evidence), 0u) << evidence;
  for (const Evidence evidence : named.required_evidence)
    EXPECT_GT(cluster.evidence_count(evidence), 0u) << evidence;
}

class ScheduledFaults : public testing::TestWithParam<std::tuple<std::size_t, std::uint64_t>> {};

TEST_P(ScheduledFaults, RulesHoldAndAllJobsFinish) {
  const auto& [index, seed] = GetParam();
  const NamedScenario& named = all_scenarios()[index];
  SimulatedCluster cluster(make_scenario(named, seed));
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
  EXPECT_EQ(cluster.inconsistent_sum_count(), 0u);
  EXPECT_EQ(cluster.evidence_count(Evidence::error_logged), 0u);
  EXPECT_EQ(cluster.checker().starts_after_cancel(), 0u);
  expect_situation_occurred(cluster, named);
}

/// One past the last seed. The environment variable SEEDS sets the number of seeds; the default is 5.
std::uint64_t seeds_end() {
  const char* text = std::getenv("SEEDS");
  return text == nullptr ? 6 : std::strtoull(text, nullptr, 10) + 1;
}

INSTANTIATE_TEST_SUITE_P(Seeds, ScheduledFaults,
                         testing::Combine(testing::Range<std::size_t>(0, all_scenarios().size()),
                                          testing::Range<std::uint64_t>(1, seeds_end())),
                         [](const auto& info) {
                           return std::string(all_scenarios()[std::get<0>(info.param)].name) + "_" +
                                  std::to_string(std::get<1>(info.param));
                         });

}  // namespace
}  // namespace bendtide::sim
