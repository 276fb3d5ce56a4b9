// Responses of the key-value store that arrive after the controller has received newer information. None of
// them may revive a job that has ended, and no final state may overwrite another one.

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"
#include "sim/simulated_cluster.h"

namespace bendtide::sim {
namespace {

using Outcome = StoreResponse::Outcome;

// A job was accepted, found in the key-value store by its cancellation, cancelled, and dropped from the
// shard. Then the response to the write that had accepted it arrived. The controller used to start the job
// again, and the job finished as done.
TEST(LateStoreResponse, DoesNotReviveCancelledJob) {
  JobsFixture t;
  t.submit();
  ASSERT_EQ(t.calls.size(), 1u);
  t.cancel();
  ASSERT_EQ(t.calls.size(), 2u) << "expected a read of the live record";
  t.respond(1, live_record());
  ASSERT_EQ(t.calls.size(), 3u) << "expected the write of the final state";
  t.respond(2, write_response(21));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::cancelled);
  t.tick();
  ASSERT_FALSE(t.shard.jobs.contains(kTask.job));

  t.respond(0, write_response(20));
  EXPECT_FALSE(t.shard.jobs.contains(kTask.job));
  ASSERT_EQ(t.replies.size(), 2u);
  EXPECT_EQ(t.replies[1].status, 200);
  EXPECT_EQ(t.replies[1].phase, JobPhase::cancelled) << "a user must not be told an older state";
}

// Like DoesNotReviveCancelledJob, for an awarded job whose end this controller knows only from a notice of
// its owner. The owner's final write removed the award, but the response to an earlier list request still
// contains it.
TEST(LateStoreResponse, DoesNotReviveAwardedJobThatItsOwnerEnded) {
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

// The winner of an award reads the job's final state because a user repeats the submission. The job was
// cancelled, and the notice of its owner has not arrived yet. The winner used to keep the job, so that only
// the last check before a start command prevented the placed task from starting.
TEST(FinalState, EndsAwardedJobWhenRead) {
  JobsFixture t;
  Job& job = t.add_job();
  job.owner = "b";
  t.shard.award_freshness.confirm(t.context.now, seconds(10));
  t.collect([&] { t.jobs.on_invalid_submission(1, kTask.job, "malformed repetition"); });
  StoreResponse absent;
  absent.outcome = Outcome::absent;
  t.respond(0, absent);
  t.respond(1, read_response(records::final_job_key(kTask.job),
                             records::to_json(records::FinalJob{JobPhase::cancelled, 1}), 15));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::cancelled);
  EXPECT_TRUE(job.ended);
}

// A record that was requested before the shard was acquired may be outdated: an earlier leader may have ended
// the job after the request.
TEST(LateStoreResponse, IsNotActedOnIfRequestedBeforeAcquisition) {
  JobsFixture t;
  t.cancel();
  ASSERT_EQ(t.calls.size(), 1u);
  t.shard.acquired_at = t.context.now + millis(1);
  t.respond(0, live_record());
  EXPECT_FALSE(t.shard.jobs.contains(kTask.job));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].status, 503);
}

// The controller remembers the ends of a limited number of jobs. If more jobs than that have ended since a
// request was made, the end of the job in its response may have been forgotten.
TEST(LateStoreResponse, IsUncertainIfLaterJobEndsAreForgotten) {
  JobsFixture t;
  const Micros requested_at = t.context.now;
  FinalStates& final_states = t.state.final_states;
  EXPECT_EQ(t.state.validity(t.shard, kTask.job, requested_at), Validity::current);
  for (std::size_t i = 0; i <= FinalStates::kMaxRemembered; ++i)
    final_states.record_final("run-" + std::to_string(1000 + i), {}, requested_at + millis(1));
  EXPECT_EQ(final_states.size(), FinalStates::kMaxRemembered);
  EXPECT_EQ(t.state.validity(t.shard, kTask.job, requested_at), Validity::uncertain);
  EXPECT_EQ(t.state.validity(t.shard, kTask.job, requested_at + millis(2)), Validity::current);
}

// The final write requires that the key-value store has no final state of the job yet. If it has one, the
// leader reads it and adopts it.
TEST(FinalState, StoredStateIsNotOverwritten) {
  JobsFixture t;
  Job& job = t.add_job();
  t.cancel();
  ASSERT_EQ(t.calls.size(), 1u);
  const std::vector<Compare>& compares = t.transaction_of(0).compares;
  EXPECT_TRUE(std::any_of(compares.begin(), compares.end(), [](const Compare& c) {
    return c.key == records::final_job_key(kTask.job) && c.revision == 0;
  }));
  StoreResponse refused;
  refused.outcome = Outcome::conflict;
  refused.failed = {records::final_job_key(kTask.job)};
  t.respond(0, refused);
  ASSERT_EQ(t.calls.size(), 2u) << "expected a read of the stored final state";
  EXPECT_TRUE(job.finalizing);
  t.respond(1, read_response(records::final_job_key(kTask.job),
                             records::to_json(records::FinalJob{JobPhase::done, 1}), 15));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::done);
  EXPECT_EQ(t.context.invariants.total(), 1u) << "the refused write had a different final state";
}

// Like StoredStateIsNotOverwritten, but without an invariant violation: the lease record has changed as well,
// so this controller is no longer the leader, and the next one has ended the job. An error used to be logged.
TEST(FinalState, StoredStateOfNextLeaderIsNoViolation) {
  JobsFixture t;
  t.add_job();
  t.cancel();
  StoreResponse refused;
  refused.outcome = Outcome::conflict;
  refused.failed = {records::lease_key("a"), records::final_job_key(kTask.job)};
  t.respond(0, refused);
  t.respond(1, read_response(records::final_job_key(kTask.job),
                             records::to_json(records::FinalJob{JobPhase::done, 1}), 15));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].phase, JobPhase::done);
  EXPECT_EQ(t.context.invariants.total(), 0u);
}

// Like StoredStateIsNotOverwritten, but without an invariant violation: the first write was executed and only
// its response was lost, so the retry finds the final state that the first write stored.
TEST(FinalState, RetryFindsStateOfUnconfirmedWrite) {
  JobsFixture t;
  t.add_job();
  t.cancel();
  t.respond(0, {});
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].status, 503);
  ASSERT_EQ(t.context.timers.size(), 1u);
  t.collect([&] { t.context.timers.begin()->second(); });
  StoreResponse refused;
  refused.outcome = Outcome::conflict;
  refused.failed = {records::final_job_key(kTask.job)};
  t.respond(1, refused);
  t.respond(2, read_response(records::final_job_key(kTask.job),
                             records::to_json(records::FinalJob{JobPhase::cancelled, 1}), 15));
  EXPECT_EQ(t.context.invariants.total(), 0u);
  t.cancel();
  EXPECT_EQ(t.replies.back().phase, JobPhase::cancelled);
}

// A job may have ended before its leader knows: a peer that has read the final state may tell a user about it
// before the leader receives the response to its final write.
TEST(StartCommand, IsNotSentOnceJobMayHaveEnded) {
  for (const char* what :
       {"final write in flight", "ended", "known to have ended", "awarded, and the award is stale"}) {
    JobsFixture t;
    Job& job = t.add_job();
    t.call_at<LogLine>(100.5, [&] { t.fleet.on_heartbeat(1, t.heartbeat(10, 1, 4, false)); });
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
        t.call_at<AnswerHeartbeat>(102, [&] { t.fleet.on_heartbeat(2, t.heartbeat(10, 1, 5, false)); });
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_TRUE(answers[0].reply.commands.empty()) << what;
    t.machine().push_in_flight = false;
    t.machine().acknowledgements.count_lost_push();  // evidence of a lost message makes the leader push
    t.shard.request_push(t.machine());
    const auto calls = t.call_at<WorkerCall>(102.1, [&] { t.fleet.push_commands(t.shard); });
    ASSERT_EQ(calls.size(), 1u);
    EXPECT_TRUE(calls[0].request.commands.empty()) << what;
    EXPECT_EQ(t.context.invariants.total(), state == "known to have ended" ? 1u : 0u);
  }
}

/// The value of an environment variable, or `default_value` if it is not set. Allows longer runs than the
/// default.
std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// The controllers lose the key-value store one after the other, so that submissions are forwarded to two
/// peers at once. Users poll all controllers, repeat submissions, and cancel within 0.3 s of an acceptance.
FaultScenario impatient_users_scenario(std::uint64_t seed) {
  using enum FaultKind;
  FaultScenario scenario;
  scenario.seed = seed;
  scenario.jobs = 300;
  scenario.end = seconds(420);
  scenario.impatient_users = true;
  scenario.users_submit_invalid_jobs = true;
  scenario.verbose = std::getenv("SIMULATION_VERBOSE") != nullptr;
  scenario.faults = {{.at = seconds(5), .kind = late_store_responses, .duration = seconds(140)},
                     {.at = seconds(15), .kind = store_unreachable, .duration = seconds(25), .controller = 0},
                     {.at = seconds(55), .kind = store_refuses, .duration = seconds(25), .controller = 1},
                     {.at = seconds(95), .kind = store_unreachable, .duration = seconds(25), .controller = 2},
                     {.at = seconds(130),
                      .kind = controller_crashes,
                      .duration = seconds(4),
                      .controller = kBusiestController}};
  return scenario;
}

// Reproduces, in a simulated cluster, the conditions under which a late store response revived a cancelled
// job. The environment variables FIRST_SEED and SEEDS set the first seed and the number of seeds.
TEST(ImpatientUsers, NeverSeeOlderStateWhenStoreResponsesAreLate) {
  const std::uint64_t first = number_from_environment("FIRST_SEED", 1);
  const std::uint64_t seeds = number_from_environment("SEEDS", 6);
  std::size_t failed_seeds = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    SimulatedCluster cluster(impatient_users_scenario(seed));
    cluster.run();
    EXPECT_EQ(cluster.checker().summary(), "") << "seed " << seed;
    EXPECT_EQ(cluster.unfinished_jobs(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(cluster.inconsistent_sum_count(), 0u) << "seed " << seed;
    EXPECT_EQ(cluster.evidence_count(Evidence::error_logged), 0u) << "seed " << seed;
    EXPECT_EQ(cluster.checker().starts_after_cancel(), 0u) << "seed " << seed;
    for (const Evidence evidence :
         {Evidence::store_response_delayed, Evidence::job_cancelled_at_acceptance, Evidence::shard_acquired})
      EXPECT_GT(cluster.evidence_count(evidence), 0u) << evidence << ", seed " << seed;
    failed_seeds += cluster.checker().summary().empty() ? 0 : 1;
  }
  RecordProperty("seeds_with_violations", static_cast<int>(failed_seeds));
  EXPECT_EQ(failed_seeds, 0u) << "rules were violated with " << failed_seeds << " of " << seeds << " seeds";
}

}  // namespace
}  // namespace bendtide::sim
