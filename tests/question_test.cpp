// Polls: how many reads they cost, and that no reply is older than what the user was told before.

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"

namespace bendtide::sim {
namespace {

struct JobsWithPeer : JobsFixture {
  JobsWithPeer() { add_peer("b"); }
};

TEST(ManyQuestions, AboutAJobHeldHereReadNothing) {
  JobsWithPeer fixture;
  fixture.add_job();
  fixture.poll(1000);
  EXPECT_EQ(fixture.replies.size(), 1000u);
  EXPECT_TRUE(fixture.calls.empty());
  EXPECT_TRUE(fixture.queries.empty());
}

// Users that ask eight times as often once caused eight times the reads.
TEST(ManyQuestions, AboutAnUnknownJobShareTheirReads) {
  JobsWithPeer fixture;
  fixture.poll(100);
  EXPECT_EQ(fixture.calls.size(), 1u);
  fixture.answer_last(absent());  // not unfinished; next whether it has a final state
  fixture.answer_last(absent());
  ASSERT_EQ(fixture.replies.size(), 1u);
  EXPECT_EQ(fixture.replies[0].status, 404);
  EXPECT_EQ(fixture.calls.size(), 3u) << "one more for all that asked meanwhile";
  fixture.answer_last(absent());
  fixture.answer_last(absent());
  EXPECT_EQ(fixture.replies.size(), 100u);
  EXPECT_EQ(fixture.calls.size(), 4u);
}

TEST(ManyQuestions, AboutAPeersJobShareOneQuestionToIt) {
  JobsWithPeer fixture;
  fixture.state.routes["b"].host = "b";
  records::LiveJob record;
  record.shard = "b";
  record.spec.id = kTask.job;
  fixture.jobs.remember_shard(record);
  fixture.poll(100);
  ASSERT_EQ(fixture.queries.size(), 1u);
  fixture.collect([&] { fixture.jobs.on_reply({fixture.queries.back().id, 200, JobPhase::running, 0, 1}); });
  EXPECT_EQ(fixture.replies.size(), 1u);
  ASSERT_EQ(fixture.queries.size(), 2u);
  fixture.collect([&] { fixture.jobs.on_reply({fixture.queries.back().id, 200, JobPhase::done, 1, 0}); });
  EXPECT_EQ(fixture.replies.size(), 100u);
  EXPECT_TRUE(fixture.calls.empty());
}

// A user that was told at another node that the job is accepted, after the read in flight was made, must not
// be told by that read that there is no such job.
TEST(ManyQuestions, AreNotAnsweredByAReadFromBeforeTheyWereAsked) {
  JobsWithPeer fixture;
  fixture.poll(1);
  fixture.poll(1);
  fixture.answer_last(absent());
  fixture.answer_last(absent());
  ASSERT_EQ(fixture.replies.size(), 1u);
  EXPECT_EQ(fixture.replies[0].status, 404);
  fixture.answer_last(live_record("b"));
  const std::vector<JobQuery> queries = fixture.queries;
  fixture.collect([&] {
    for (const JobQuery& query : queries) fixture.jobs.on_reply({query.id, 503, JobPhase::pending, 0, 0});
  });
  ASSERT_EQ(fixture.replies.size(), 2u);
  EXPECT_EQ(fixture.replies[1].status, 200);
}

}  // namespace
}  // namespace bendtide::sim
