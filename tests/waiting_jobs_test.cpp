// Jobs that wait although a machine has room for them. A decision that is based on what holds only for a
// while (an award, a machine that is left out, a share that is kept, a count of awards) must not outlast its
// reason.

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"
#include "sim/simulated_cluster.h"

namespace bendtide::sim {
namespace {

// ---- the simulated cluster -----------------------------------------------------------------------

/// Three controllers with one machine each. The cloud creates no machines, not even in place of lost ones.
FaultScenario cluster_without_spare_machines() {
  FaultScenario scenario;
  scenario.has_extended_faults = false;  // all controllers are in the zone of the machines
  scenario.initial_zones = {"east", "east", "east"};
  scenario.cloud_capacity = 0;
  scenario.faults_until = seconds(40);
  scenario.end = seconds(150);
  scenario.verbose = std::getenv("SIMULATION_VERBOSE") != nullptr;
  return scenario;
}

JobSpec job_of(const std::string& id, Shape shape, std::uint32_t tasks, std::int64_t cpu) {
  JobSpec job;
  job.id = id;
  job.team = "blue";
  job.job_class = "class";
  job.image = "image";
  job.image_gb = 0.1;
  job.shape = shape;
  job.priority = shape == Shape::service ? Priority::high : Priority::normal;
  job.tasks = tasks;
  job.task_resources = {cpu, 0, 1000};
  if (shape == Shape::array) job.estimated_task_duration = seconds(1);
  return job;
}

PlannedJob service_at(const std::string& id, double at, std::size_t controller,
                      std::optional<Micros> cancel_at = {}) {
  return {job_of(id, Shape::service, 1, 4000), seconds(at), controller, cancel_at};
}

void expect_all_jobs_served(const FaultScenario& scenario) {
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
  EXPECT_EQ(cluster.inconsistent_sum_count(), 0u);
  EXPECT_EQ(cluster.evidence_count(Evidence::error_logged), 0u);
  EXPECT_GT(cluster.award_count(), 0u);
}

// Guards against an award that is kept for good: a service that was awarded to another shard was never
// started again after that shard had lost its machine, although machines of two other shards had room.
TEST(AwardWithoutCapacity, ServiceRunsElsewhereAfterWinnerLostItsMachine) {
  FaultScenario scenario = cluster_without_spare_machines();
  // The machines n-000003, n-000001 and n-000002 belong to the controllers 0, 1 and 2.
  scenario.planned_jobs = {
      service_at("run-101", 4, 0), service_at("run-102", 4, 0, seconds(14)), service_at("run-103", 4, 1),
      service_at("run-104", 4, 2), service_at("run-105", 4, 2, seconds(14)), service_at("run-200", 9, 0)};
  scenario.faults = {{.at = seconds(22), .kind = FaultKind::machine_dies, .machine = "n-000001"}};
  expect_all_jobs_served(scenario);
}

// Guards against a count of awards that is never given back: an array was awarded to other shards ten times
// at most, and the rest of its tasks waited for good beside machines with room.
TEST(AwardCount, ArrayIsAwardedUntilAllTasksAreDone) {
  FaultScenario scenario = cluster_without_spare_machines();
  JobSpec array = job_of("run-200", Shape::array, 80, 2000);
  scenario.planned_jobs = {service_at("run-101", 4, 1), service_at("run-102", 4, 2), {array, seconds(14), 0}};
  scenario.faults = {{.at = seconds(12), .kind = FaultKind::machine_dies, .machine = "n-000003"}};
  expect_all_jobs_served(scenario);
}

// Guards against a machine that is left out for good: a job that had failed once on a machine was never
// started there again, although the fault of the machine had passed and no other machine had room.
TEST(FailedOnce, JobReturnsToMachineWhoseFaultHasPassed) {
  FaultScenario scenario = cluster_without_spare_machines();
  scenario.initial_zones = std::vector<std::string>(6, "east");
  scenario.faults_until = seconds(19);
  for (const auto& [id, controller] : std::map<std::string, std::size_t>{
           {"run-101", 0}, {"run-102", 1}, {"run-103", 1}, {"run-104", 2}, {"run-105", 2}, {"run-200", 0}})
    scenario.planned_jobs.push_back(
        {job_of(id, Shape::service, 1, 8000), seconds(id == "run-200" ? 16 : 12), controller});
  scenario.faults = {{.at = seconds(15), .kind = FaultKind::machine_fails_tasks, .machine = "n-000006"}};
  SimulatedCluster cluster(scenario);
  cluster.run();
  EXPECT_GT(cluster.max_failures_on_a_machine(), 0u);
  EXPECT_EQ(cluster.checker().summary(), "");
  EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{});
}

// ---- one controller ------------------------------------------------------------------------------

/// One shard, "a", and its peer "b", with a contract net that hears of the key-value store from the test.
struct AwardFixture : JobsFixture {
  Scheduler scheduler{state, fleet};
  ContractNet net{state, scheduler, {[] {}}};

  AwardFixture() {
    state.routes["b"] = {"b", "life", 10, Micros{0}, true, true};
    shard.quota.load({{"t", {8000, 0}}}, 5);
  }
  static JobSpec array(std::uint32_t tasks) {
    JobSpec spec = JobsFixture::spec();
    spec.tasks = tasks;
    return spec;
  }
  static KeyValue award_of(const std::string& owner, const std::string& winner, std::uint64_t number,
                           std::vector<records::TaskRange> ranges, std::uint64_t revision,
                           std::uint32_t tasks = 4) {
    const records::Award award{owner, std::move(ranges), {owner, array(tasks), seconds(1'000'000)}};
    return {records::award_key(winner, kTask.job, number), records::to_json(award), revision};
  }
  Job& job() { return shard.jobs.at(kTask.job); }
  void at(double moment, const std::function<void()>& event) {
    context.now = seconds(moment);
    collect(event);
  }
  /// The index of the last call that commits a transaction; fails the test if there is none.
  std::size_t last_transaction() const {
    for (std::size_t i = calls.size(); i-- > 0;)
      if (std::holds_alternative<Transaction>(calls[i].request)) return i;
    ADD_FAILURE() << "no transaction was committed";
    return 0;
  }
  std::size_t transactions() const {
    return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [](const StoreCall& call) {
      return std::holds_alternative<Transaction>(call.request);
    }));
  }
  /// The index of the last call that lists the entries under `prefix`.
  std::size_t last_list(const std::string& prefix) const {
    for (std::size_t i = calls.size(); i-- > 0;)
      if (const auto* list = std::get_if<ListPrefix>(&calls[i].request);
          list != nullptr && list->prefix == prefix)
        return i;
    ADD_FAILURE() << "no list of " << prefix;
    return 0;
  }
  static StoreResponse list_response(std::vector<KeyValue> entries) {
    StoreResponse response = write_response(50);
    response.entries = std::move(entries);
    return response;
  }
  static StoreResponse conflict_on(const std::string& key) {
    StoreResponse response;
    response.outcome = StoreResponse::Outcome::conflict;
    response.failed = {key};
    return response;
  }
};

bool compares(const Transaction& transaction, const std::string& key, Revision revision) {
  return std::any_of(transaction.compares.begin(), transaction.compares.end(), [&](const Compare& compare) {
    return compare.key == key && compare.revision == revision;
  });
}

/// Shard "a" is the winner of an award of two tasks, for which it has no capacity and the cloud no machine.
struct WinnerWithoutCapacity : AwardFixture {
  const std::string key = records::award_key("a", kTask.job, 1);

  WinnerWithoutCapacity() {
    shard.award_freshness.confirm(context.now, seconds(100));
    net.load_awards(shard, {award_of("b", "a", 1, {{1, 2}}, 19)}, context.now);
    job().may_be_on_unreconciled_machines = false;
    scheduler.run_pass(shard);
    EXPECT_EQ(job().tasks_without_capacity, 2u);
    job().no_offering = true;
  }
  void tick_at(double moment) {
    at(moment, [&] { net.tick(); });
  }
};

TEST(AwardReturns, WinnerReturnsTasksThatItCannotStart) {
  WinnerWithoutCapacity t;
  t.tick_at(105);
  EXPECT_EQ(t.transactions(), 0u) << "capacity may still be released";
  t.tick_at(110);
  ASSERT_EQ(t.transactions(), 1u);
  const std::size_t write = t.last_transaction();
  const Transaction& transaction = t.transaction_of(write);
  ASSERT_EQ(transaction.writes.size(), 1u);
  EXPECT_EQ(transaction.writes[0].key, t.key);
  EXPECT_FALSE(transaction.writes[0].value) << "all tasks are returned, and none is done";
  EXPECT_TRUE(compares(transaction, t.key, 19));
  EXPECT_TRUE(t.job().waiting.empty()) << "a task must not start while it is being returned";
  t.respond(write, write_response(30));
  EXPECT_TRUE(t.job().ended);
  EXPECT_EQ(t.net.counters().tasks_returned, 2u);
}

TEST(AwardReturns, WinnerKeepsTasksWhileMachineMayComeOrOwnerDoesNotNotice) {
  WinnerWithoutCapacity t;
  t.job().no_offering = false;
  t.tick_at(144);
  EXPECT_EQ(t.transactions(), 0u);
  t.state.routes["b"].accepts_returned_tasks = false;
  t.tick_at(190);
  EXPECT_EQ(t.transactions(), 0u) << "the owner runs a version that does not read its awards";
  t.state.routes["b"].accepts_returned_tasks = true;
  t.tick_at(191);
  EXPECT_EQ(t.transactions(), 1u);
}

// The records of finished tasks are dropped with the last award of a job, so the award stays.
TEST(AwardReturns, WinnerKeepsAwardOfJobWithFinishedTasks) {
  WinnerWithoutCapacity t;
  t.job().mark_done(1, true);
  t.tick_at(110);
  ASSERT_EQ(t.transactions(), 1u);
  const Transaction& transaction = t.transaction_of(t.last_transaction());
  ASSERT_TRUE(transaction.writes[0].value);
  const auto award = records::read_award(*transaction.writes[0].value);
  EXPECT_EQ(award->ranges, (std::vector<records::TaskRange>{{1, 1}}));
  t.respond(t.last_transaction(), write_response(30));
  EXPECT_FALSE(t.job().ended);
}

// Guards against a task in two shards: the write of a return that got no response may still be applied, so
// the tasks stay where they are until the record shows whether it was.
TEST(AwardReturns, ReturnWithUnknownOutcomeIsRepeatedUntilRecordChanges) {
  WinnerWithoutCapacity t;
  t.tick_at(110);
  t.respond(t.last_transaction(), {});
  EXPECT_TRUE(t.job().waiting.empty());
  ASSERT_EQ(t.context.timers.size(), 1u);
  t.at(110.3, [&] { t.context.run_due_timers(); });
  ASSERT_EQ(t.transactions(), 2u);
  StoreResponse refused;
  refused.outcome = StoreResponse::Outcome::refused;
  t.respond(t.last_transaction(), refused);
  EXPECT_TRUE(t.job().waiting.empty()) << "the first write may still be applied";
  t.at(110.6, [&] { t.context.run_due_timers(); });
  t.respond(t.last_transaction(), AwardFixture::conflict_on(t.key));
  EXPECT_TRUE(t.job().waiting.empty()) << "only a read shows whether the first write was applied";
  t.tick_at(111);
  t.respond(t.last_list(records::award_prefix("a")), AwardFixture::list_response({}));
  EXPECT_TRUE(t.job().ended);
}

// The owner replaces the award, with further tasks, while the winner returns its tasks: all of them stay with
// the winner. A read that was requested before the return ended must not be acted on.
TEST(AwardReturns, TasksStayWithWinnerIfOwnerReplacedTheAward) {
  WinnerWithoutCapacity t;
  t.tick_at(110);
  const std::size_t early_read = t.last_list(records::award_prefix("a"));
  const std::vector<KeyValue> replaced{AwardFixture::award_of("b", "a", 2, {{0, 3}}, 25)};
  t.at(110.1, [&] {
    t.state.store.on_response(t.calls.at(t.last_transaction()).call, AwardFixture::conflict_on(t.key));
  });
  t.respond(early_read, AwardFixture::list_response(replaced));
  EXPECT_FALSE(t.job().ended);
  EXPECT_TRUE(t.job().waiting.empty()) << "the read may be older than the return";
  t.tick_at(110.2);
  t.respond(t.last_list(records::award_prefix("a")), AwardFixture::list_response(replaced));
  EXPECT_EQ(t.job().waiting.size(), 3u);
}

/// Shard "a" owns a job of four tasks and has awarded two of them to shard "b".
struct OwnerOfAward : AwardFixture {
  const std::string key = records::award_key("b", kTask.job, 1);

  OwnerOfAward() {
    Jobs::load(shard, {"a", array(4), seconds(1'000'000)});
    net.load_awards(shard, {award_of("a", "b", 1, {{2, 2}}, 19)}, context.now);
    shard.award_freshness.confirm(context.now, seconds(100));
    EXPECT_EQ(job().waiting.size(), 2u);
  }
  /// Lets the owner read the awards that it has made, and answers with `entries`.
  void read_awards_at(double moment, std::vector<KeyValue> entries) {
    at(moment, [&] { net.tick(); });
    respond(last_list(records::kAwardPrefix), list_response(std::move(entries)));
  }
};

TEST(AwardReturns, OwnerTakesBackReturnedTasks) {
  OwnerOfAward t;
  t.read_awards_at(101, {AwardFixture::award_of("a", "b", 1, {{2, 2}}, 19)});
  EXPECT_EQ(t.job().waiting.size(), 2u);
  t.read_awards_at(112, {AwardFixture::award_of("a", "b", 1, {{2, 1}}, 30)});
  EXPECT_EQ(t.job().waiting.size(), 3u);
  EXPECT_EQ(t.job().tasks[3].state, Task::State::waiting);
  t.read_awards_at(123, {});
  EXPECT_EQ(t.job().waiting.size(), 4u);
  EXPECT_TRUE(t.job().awards.empty());
  EXPECT_EQ(t.net.counters().tasks_taken_back, 2u);
}

// Guards against a task in two shards: a list that was requested before an award was written does not show
// the award, and a final write that got no response may have removed it.
TEST(AwardReturns, OwnerTakesNothingBackOnOldReadOrDuringOtherWrites) {
  for (const char* what : {"old read", "award in flight", "final write in flight"}) {
    OwnerOfAward t;
    const std::string situation = what;
    t.at(101, [&] { t.net.tick(); });
    if (situation == "old read") t.job().awards.at(t.key).known_since = seconds(101.5);
    if (situation == "award in flight") t.job().tasks_in_award = 1;
    if (situation == "final write in flight") t.job().finalizing = true;
    t.respond(t.last_list(records::kAwardPrefix), AwardFixture::list_response({}));
    EXPECT_EQ(t.job().waiting.size(), 2u) << what;
  }
}

TEST(AwardReturns, OwnerIgnoresAwardThatItCannotRead) {
  OwnerOfAward t;
  t.read_awards_at(101, {{t.key, Value("damaged"), 30}});
  EXPECT_EQ(t.job().waiting.size(), 2u);
}

/// Lets shard "b" propose to take `tasks` tasks in response to the last call for proposals, and answers the
/// reads and writes of the resulting award with success.
void propose_and_award(AwardFixture& t, double moment, std::uint32_t tasks) {
  std::optional<CallForProposals> call;
  t.at(moment, [&] {
    t.scheduler.run_pass(t.shard);
    t.net.tick();
    for (const Action& action : t.context.actions)
      if (const auto* send = std::get_if<PeerSend>(&action))
        if (const auto* sent = std::get_if<CallForProposals>(&send->message)) call = *sent;
  });
  ASSERT_TRUE(call) << "no call for proposals at " << moment;
  Proposal proposal{call->id, call->round, "b", tasks, {}, 0, 7, {4000, 0}};
  t.at(moment + 0.1, [&] {
    t.net.on_proposal(proposal);
    t.net.tick();
  });
  const records::QuotaAllocation allocation{{{"t", {4000, 0}}}};
  t.respond_to_last(read_response(records::quota_key("b"), records::to_json(allocation), 7));
}

// An award to a shard that has one already replaces it, so that the final write of a job can remove all its
// awards however often tasks are awarded. Tasks that are done are left out.
TEST(AwardCount, FurtherAwardToSameShardReplacesTheFirst) {
  OwnerOfAward t;
  t.add_peer("b");
  t.job().mark_done(2, true);
  propose_and_award(t, 101, 1);
  const std::size_t write = t.last_transaction();
  const Transaction& transaction = t.transaction_of(write);
  ASSERT_EQ(transaction.writes.size(), 4u);
  const auto award = records::read_award(*transaction.writes[2].value);
  ASSERT_TRUE(award);
  EXPECT_EQ(award->ranges, (std::vector<records::TaskRange>{{0, 1}, {3, 1}}));
  EXPECT_EQ(transaction.writes[3].key, t.key);
  EXPECT_FALSE(transaction.writes[3].value);
  EXPECT_TRUE(compares(transaction, t.key, 19)) << "the winner may have returned tasks";
  t.respond(write, write_response(31));
  ASSERT_EQ(t.job().awards.size(), 1u);
  EXPECT_EQ(t.job().awards.begin()->first, transaction.writes[2].key);
  EXPECT_LT(t.key, transaction.writes[2].key) << "a list read page by page must show one of the two";
}

// Guards against a share that is kept for good: the unused share of a team was kept for an older job that was
// too large for it, and a younger job of another shard waited although it would have fit.
TEST(QuotaReservation, EndsIfOlderJobCannotObtainTheRest) {
  AwardFixture t;
  t.shard.quota.load({{"t", {800, 0}}}, 5);
  Jobs::load(t.shard, {"a", JobsFixture::spec(), seconds(900'000)});  // needs a share of 1000
  const QuotaTransferRequest request{"a", "b", "t", {500, 0}, seconds(950'000)};
  for (const auto& [moment, expected_reads] : {std::pair{101.0, 0}, {120.0, 0}, {131.5, 1}}) {
    t.at(moment, [&] {
      t.job().may_be_on_unreconciled_machines = false;
      t.shard.request_scheduling_pass();
      t.scheduler.run_pass(t.shard);
    });
    t.calls.clear();
    t.at(moment, [&] { t.net.on_quota_transfer_request(request); });
    EXPECT_EQ(t.calls.size(), static_cast<std::size_t>(expected_reads)) << "after " << moment << " s";
  }
}

}  // namespace
}  // namespace bendtide::sim
