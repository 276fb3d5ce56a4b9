// Answers of the key-value store that arrive after other things were learned: none of them may bring back
// what is over, and no final state is written over another.

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"
#include "sim/simulated_cluster.h"

namespace bendtide::sim {
namespace {

using Outcome = StoreResponse::Outcome;

// The incident: the job was accepted, found in the key-value store by its cancellation, cancelled, and
// forgotten here; then the answer to the write that had accepted it arrived. The job began anew and was done
// in the end.
TEST(LateAnswer, ToAnAcceptanceDoesNotBringBackACancelledJob) {
  JobsFixture t;
  t.submit();
  ASSERT_EQ(t.calls.size(), 1u);
  t.cancel();
  ASSERT_EQ(t.calls.size(), 2u) << "whether the job is live";
  t.answer(1, live_record());
  ASSERT_EQ(t.calls.size(), 3u) << "the write that cancels it";
  t.answer(2, written(21));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::cancelled);
  t.tick();
  ASSERT_FALSE(t.shard.jobs.contains(kTask.job));

  t.answer(0, written(20));
  EXPECT_FALSE(t.shard.jobs.contains(kTask.job));
  ASSERT_EQ(t.replies.size(), 2u);
  EXPECT_EQ(t.replies[1].status, 200);
  EXPECT_EQ(t.replies[1].phase, JobPhase::cancelled) << "no user is answered with an older state";
}

// The same of a job that ended by the notice of a peer only: the final write of its owner removed the award,
// but a list that was requested before still shows it.
TEST(LateAnswer, WithAnAwardDoesNotBringBackAJobThatItsOwnerHasEnded) {
  JobsFixture t;
  Scheduler scheduler(t.state, t.fleet);
  ContractNet net(t.state, scheduler, {[] {}});
  const records::Award award{"b", {{0, 1}}, {"b", JobsFixture::spec(), seconds(1'000'000)}};
  const KeyValue entry{records::award_key("a", kTask.job, 1), records::to_json(award), 19};
  for (const bool has_ended : {true, false}) {
    if (has_ended) net.on_job_end_notice({kTask.job});
    net.load_awards(t.shard, {entry}, t.context.now);
    EXPECT_EQ(t.shard.jobs.contains(kTask.job), !has_ended);
    t.state.final_states = {};
  }
}

// Found by the soak: the winner of an award read, for a repeated submission, that the job is cancelled,
// before its owner's notice arrived; only the last check of starts kept the task placed here from starting.
TEST(FinalState, ThatIsReadEndsWhatWasAwardedHere) {
  JobsFixture t;
  Job& job = t.add_job();
  job.owner = "b";
  t.shard.award_freshness.confirm(t.context.now, seconds(10));
  t.collect([&] { t.jobs.on_invalid_submission(1, kTask.job, "a repeat"); });
  StoreResponse absent;
  absent.outcome = Outcome::absent;
  t.answer(0, absent);
  t.answer(1, found(records::final_job_key(kTask.job),
                    records::to_json(records::FinalJob{JobPhase::cancelled, 1}), 15));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::cancelled);
  EXPECT_TRUE(job.ended);
}

// A record that was requested before the shard was acquired: an earlier leader may have ended the job since.
TEST(LateAnswer, FromBeforeTheShardWasAcquiredIsNotActedOn) {
  JobsFixture t;
  t.cancel();
  ASSERT_EQ(t.calls.size(), 1u);
  t.shard.acquired_at = t.context.now + millis(1);
  t.answer(0, live_record());
  EXPECT_FALSE(t.shard.jobs.contains(kTask.job));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].status, 503);
}

// So many jobs have ended since the request that the end of this one may have been forgotten.
TEST(LateAnswer, FromBeforeTheOldestRememberedEndIsNotActedOn) {
  JobsFixture t;
  const Micros asked = t.context.now;
  FinalStates& final_states = t.state.final_states;
  EXPECT_EQ(t.state.validity(t.shard, kTask.job, asked), Validity::current);
  for (std::size_t i = 0; i <= FinalStates::kMaxRemembered; ++i)
    final_states.record_final("run-" + std::to_string(1000 + i), {}, asked + millis(1));
  EXPECT_EQ(final_states.size(), FinalStates::kMaxRemembered);
  EXPECT_EQ(t.state.validity(t.shard, kTask.job, asked), Validity::uncertain);
  EXPECT_EQ(t.state.validity(t.shard, kTask.job, asked + millis(2)), Validity::current);
}

// The second line of defence: the key-value store itself refuses a final state over another.
TEST(FinalState, IsWrittenOnceAndTheStoredOneCounts) {
  JobsFixture t;
  Job& job = t.add_job();
  t.cancel();
  ASSERT_EQ(t.calls.size(), 1u);
  const std::vector<Compare>& compares = t.commit(0).compares;
  EXPECT_TRUE(std::any_of(compares.begin(), compares.end(), [](const Compare& c) {
    return c.key == records::final_job_key(kTask.job) && c.revision == 0;
  }));
  StoreResponse refused;
  refused.outcome = Outcome::conflict;
  refused.failed = {records::final_job_key(kTask.job)};
  t.answer(0, refused);
  ASSERT_EQ(t.calls.size(), 2u) << "the read of the stored final state";
  EXPECT_TRUE(job.finalizing);
  t.answer(1, found(records::final_job_key(kTask.job), records::to_json(records::FinalJob{JobPhase::done, 1}),
                    15));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::done);
  EXPECT_EQ(t.context.invariants.total(), 1u) << "this leader was to write another final state";
}

// The same without a violation: the first try got no answer, and was carried out.
TEST(FinalState, OfAWriteWithoutAnswerIsFoundByTheNextTry) {
  JobsFixture t;
  t.add_job();
  t.cancel();
  t.answer(0, {});
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].status, 503);
  ASSERT_EQ(t.context.timers.size(), 1u);
  t.collect([&] { t.context.timers.begin()->second(); });
  StoreResponse refused;
  refused.outcome = Outcome::conflict;
  refused.failed = {records::final_job_key(kTask.job)};
  t.answer(1, refused);
  t.answer(2, found(records::final_job_key(kTask.job),
                    records::to_json(records::FinalJob{JobPhase::cancelled, 1}), 15));
  EXPECT_EQ(t.context.invariants.total(), 0u);
  t.cancel();
  EXPECT_EQ(t.replies.back().phase, JobPhase::cancelled);
}

// A peer that read the record may have answered its user before the response to the write is here.
TEST(Start, IsNotSentOnceItsJobMayBeOver) {
  for (const char* what :
       {"final write in flight", "ended", "known to have ended", "awarded, and the award is stale"}) {
    JobsFixture t;
    Job& job = t.add_job();
    t.at<LogLine>(100.5, [&] { t.fleet.on_heartbeat(1, t.heartbeat(10, 1, 4, false)); });
    t.shard.add_placement(t.machine(), {kTask, 7}, &job);
    job.leave_waiting(0, {Task::State::placed, &t.machine(), 7});
    const std::string state = what;
    if (state == "final write in flight") job.finalizing = true;
    if (state == "ended") t.shard.mark_ended(job);
    if (state == "awarded, and the award is stale") {
      job.owner = "b";
      t.shard.award_freshness.confirm(seconds(91), seconds(10));
    }
    if (state == "known to have ended") t.state.final_states.record_final(kTask.job, {}, t.context.now);
    const auto answers =
        t.at<AnswerHeartbeat>(102, [&] { t.fleet.on_heartbeat(2, t.heartbeat(10, 1, 5, false)); });
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_TRUE(answers[0].reply.commands.empty()) << what;
    t.machine().push_in_flight = false;
    t.machine().acknowledgements.count_lost_push();  // so that commands are pushed to it
    t.shard.request_push(t.machine());
    const auto calls = t.at<WorkerCall>(102.1, [&] { t.fleet.push_commands(t.shard); });
    ASSERT_EQ(calls.size(), 1u);
    EXPECT_TRUE(calls[0].request.commands.empty()) << what;
    EXPECT_EQ(t.context.invariants.total(), state == "known to have ended" ? 1u : 0u);
  }
}

/// A number from the environment, for longer runs than the usual ones.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Controllers lose the key-value store one after the other, so that submissions are passed on to two peers
/// at once; users ask everywhere, submit again and cancel within 0.3 s of an acceptance.
FaultScenario impatient_users_scenario(std::uint64_t seed) {
  using enum FaultKind;
  FaultScenario plan;
  plan.seed = seed;
  plan.jobs = 300;
  plan.end = seconds(420);
  plan.impatient_users = true;
  plan.invalid_requests = true;
  plan.verbose = std::getenv("SIMULATION_VERBOSE") != nullptr;
  plan.faults = {{.at = seconds(5), .kind = late_store_responses, .duration = seconds(140)},
                 {.at = seconds(15), .kind = store_unreachable, .duration = seconds(25), .controller = 0},
                 {.at = seconds(55), .kind = store_refuses, .duration = seconds(25), .controller = 1},
                 {.at = seconds(95), .kind = store_unreachable, .duration = seconds(25), .controller = 2},
                 {.at = seconds(130),
                  .kind = controller_crashes,
                  .duration = seconds(4),
                  .controller = kBusiestController}};
  return plan;
}

// The incident in a simulated cluster. FIRST_SEED and SEEDS choose other and more days.
TEST(ImpatientUsers, NeverGetAnOlderAnswerWhileStoreResponsesAreLate) {
  const std::uint64_t first = from_environment("FIRST_SEED", 1);
  const std::uint64_t seeds = from_environment("SEEDS", 6);
  std::size_t failed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    SimulatedCluster cluster(impatient_users_scenario(seed));
    cluster.run();
    EXPECT_EQ(cluster.checker().summary(), "") << "seed " << seed;
    EXPECT_EQ(cluster.unfinished(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(cluster.inconsistent_sums(), 0u) << "seed " << seed;
    EXPECT_EQ(cluster.seen(Evidence::error_logged), 0u) << "seed " << seed;
    EXPECT_EQ(cluster.checker().starts_after_cancel(), 0u) << "seed " << seed;
    for (const Evidence what :
         {Evidence::store_response_delayed, Evidence::job_cancelled_at_acceptance, Evidence::shard_acquired})
      EXPECT_GT(cluster.seen(what), 0u) << what << ", seed " << seed;
    failed += cluster.checker().summary().empty() ? 0 : 1;
  }
  RecordProperty("days_that_broke_a_rule", static_cast<int>(failed));
  EXPECT_EQ(failed, 0u) << "of " << seeds << " days broke a rule";
}

}  // namespace
}  // namespace bendtide::sim
