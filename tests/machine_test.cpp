// What the leader of a shard concludes about one machine from each of a sequence of events, and what it
// replies.

#include <gtest/gtest.h>

#include "sim/held_shard.h"

namespace bendtide::sim {
namespace {

// Each reply to a heartbeat renews the worker's lease. A sequence of leaders used to keep the tasks of a
// cancelled job running: the first reply of a leader did not stop them, and each leader lost the shard before
// the worker's second heartbeat.
TEST(HeartbeatReply, FirstReplyStopsTasksOfUnknownJobs) {
  HeldShard t;
  const auto replies =
      t.call_at<AnswerHeartbeat>(101, [&] { t.fleet.on_heartbeat(1, t.heartbeat(5, 1, 4, true)); });
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].reply.status, 200);
  ASSERT_EQ(replies[0].reply.commands.size(), 1u);
  EXPECT_EQ(replies[0].reply.commands[0].kind, Command::Kind::stop);
  EXPECT_EQ(replies[0].reply.commands[0].task, kTask);
  EXPECT_EQ(replies[0].reply.commands[0].attempt, 7u);

  HeldShard with_job;
  with_job.add_job();
  const auto kept = with_job.call_at<AnswerHeartbeat>(
      101, [&] { with_job.fleet.on_heartbeat(1, with_job.heartbeat(5, 1, 4, true)); });
  ASSERT_EQ(kept.size(), 1u);
  EXPECT_TRUE(kept[0].reply.commands.empty());
}

// A worker that reaches no controller begins a new incarnation, in which commands still reach it. The leader
// used to give up the worker's tasks one lease after the shard was acquired and to start them elsewhere,
// although they ran on until the lease of the new incarnation expired.
TEST(WorkerIncarnation, TasksStayPlacedUntilItsLeaseExpires) {
  HeldShard t;
  Job& job = t.add_job();
  t.on_response(108, 1, CommandResponse::Outcome::refused, t.heartbeat(10, 2, 1, false));
  t.on_response(108, 2, CommandResponse::Outcome::executed, t.heartbeat(10, 2, 3, true));
  ASSERT_EQ(job.tasks[0].state, Task::State::placed);
  t.call_at<LogLine>(113, [&] { t.fleet.tick(); });
  EXPECT_EQ(job.tasks[0].state, Task::State::placed) << "the lease of the incarnation lasts until 120 s";
  t.call_at<LogLine>(121, [&] { t.fleet.tick(); });
  EXPECT_EQ(job.tasks[0].state, Task::State::waiting);
}

// Heartbeats delayed by a network partition arrive all at once, and count as one piece of evidence that no
// message reaches the machine. A machine that still does not acknowledge the leader's fencing token
// afterwards is unreachable.
TEST(DelayedHeartbeats, CountAsOnePieceOfEvidence) {
  HeldShard t;
  t.call_at<LogLine>(111, [&] {
    t.fleet.on_heartbeat(1, t.heartbeat(5, 1, 4, false));
    t.fleet.on_heartbeat(2, t.heartbeat(5, 1, 5, false));
    t.fleet.on_heartbeat(3, t.heartbeat(5, 1, 6, false));
    t.fleet.tick();
  });
  EXPECT_FALSE(t.machine().lifecycle.decommissioned);
  t.call_at<LogLine>(116, [&] {
    t.fleet.on_heartbeat(4, t.heartbeat(5, 1, 7, false));
    t.fleet.tick();
  });
  EXPECT_TRUE(t.machine().lifecycle.decommissioned);
}

// A network partition drops a push and delays the heartbeats that follow it. All these heartbeats were sent
// before any message of the leader could have reached the worker. Together with the lost push, they used to
// count as enough evidence to delete a healthy machine.
TEST(DelayedHeartbeats, AreNoEvidenceTogetherWithPushLostInSamePartition) {
  HeldShard t;
  t.shard.set_reconciled(t.machine(), true);
  t.call_at<LogLine>(101.5, [&] { t.fleet.on_command_response(1, {CommandResponse::Outcome::unknown, {}}); });
  t.call_at<LogLine>(111, [&] {
    for (std::uint64_t sequence_number = 4; sequence_number < 9; ++sequence_number)
      t.fleet.on_heartbeat(sequence_number, t.heartbeat(5, 1, sequence_number, false));
    t.fleet.tick();
  });
  EXPECT_EQ(t.machine().acknowledgements.evidence_weight(), 0);
  EXPECT_FALSE(t.machine().lifecycle.decommissioned);
}

// Heartbeats that were delayed together were all sent before the reply to the first one. They cannot show
// whether the start command in that reply has reached the worker.
TEST(DelayedHeartbeats, AreNoEvidenceOfLostStartCommand) {
  for (const auto& [next_heartbeat_at, evidence] : {std::pair(101.1, 0), std::pair(106.0, 1)}) {
    HeldShard t;
    Job& job = t.add_job();
    t.call_at<LogLine>(100.5, [&] { t.fleet.on_heartbeat(1, t.heartbeat(10, 1, 4, false)); });
    t.shard.add_placement(t.machine(), {kTask, 7}, &job);
    job.leave_waiting(0, {Task::State::placed, &t.machine(), 7});
    t.call_at<LogLine>(101, [&] { t.fleet.on_heartbeat(2, t.heartbeat(10, 1, 5, false)); });
    t.call_at<LogLine>(next_heartbeat_at, [&] { t.fleet.on_heartbeat(3, t.heartbeat(10, 1, 6, false)); });
    EXPECT_EQ(t.machine().acknowledgements.evidence_weight(), evidence)
        << "next heartbeat at " << next_heartbeat_at << " s";
  }
}

// After a lost push, the machine gets another push as soon as its next heartbeat arrives. Only if that push
// is lost as well do the lost pushes count as evidence.
TEST(LostPushes, AreEvidenceIfHeartbeatsArriveInBetween) {
  HeldShard t;
  t.call_at<LogLine>(101, [&] { t.fleet.on_heartbeat(4, t.heartbeat(10, 1, 4, false)); });
  std::uint64_t call = 1;
  for (const auto& step : {std::pair(107.0, 0), std::pair(112.0, 2)}) {
    const double moment = step.first;
    const int evidence = step.second;
    t.call_at<LogLine>(moment - 4, [&] {
      t.fleet.on_command_response(call, {CommandResponse::Outcome::unknown, {}});
    });
    const auto calls = t.call_at<WorkerCall>(moment, [&] {
      t.fleet.on_heartbeat(call, t.heartbeat(10, 1, static_cast<std::uint64_t>(moment), false));
      t.fleet.push_commands(t.shard);
    });
    EXPECT_EQ(t.machine().acknowledgements.evidence_weight(), evidence) << "at " << moment << " s";
    ASSERT_EQ(calls.size(), 1u) << "at " << moment << " s";
    call = calls[0].call;
  }
  t.call_at<LogLine>(117, [&] {
    t.fleet.on_command_response(call, {CommandResponse::Outcome::unknown, {}});
    t.fleet.on_heartbeat(call, t.heartbeat(10, 1, 117, false));
    t.fleet.tick();
  });
  EXPECT_TRUE(t.machine().lifecycle.decommissioned);
}

// A leader whose lease was renewed after a store outage used to start tasks that had been awarded to it
// before the outage, and to keep such tasks running, although their job had been cancelled meanwhile.
TEST(StaleAwards, AreNeitherStartedNorKeptRunning) {
  HeldShard t;
  Scheduler scheduler(t.state, t.fleet);
  ContractNet net(t.state, scheduler, {[] {}});
  Job& job = t.add_job();
  t.shard.award_freshness.confirm(seconds(100), seconds(10));
  EXPECT_TRUE(t.shard.may_start(job, seconds(200))) << "the shard owns the job";
  job.owner = "b";
  EXPECT_TRUE(t.shard.may_start(job, seconds(109)));
  EXPECT_FALSE(t.shard.may_start(job, seconds(110)));

  t.call_at<AnswerHeartbeat>(105, [&] { t.fleet.on_heartbeat(1, t.heartbeat(10, 1, 4, true)); });
  ASSERT_EQ(job.tasks[0].state, Task::State::placed);
  for (const auto& step : {std::pair(109.0, 0u), std::pair(111.0, 1u)}) {
    const double moment = step.first;
    const unsigned stops = step.second;
    const auto replies = t.call_at<AnswerHeartbeat>(moment, [&] {
      net.stop_stale_awards(t.shard, t.machine());
      t.fleet.on_heartbeat(2, t.heartbeat(10, 1, static_cast<std::uint64_t>(moment), true));
    });
    ASSERT_EQ(replies.size(), 1u);
    EXPECT_EQ(replies[0].reply.commands.size(), stops) << "at " << moment << " s";
  }
}

}  // namespace
}  // namespace bendtide::sim
