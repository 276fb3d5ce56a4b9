// Polls of jobs: how many store reads and peer queries they cost, and that no reply is older than what the
// user was told before.

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"

namespace bendtide::sim {
namespace {

struct JobsWithPeer : JobsFixture {
  JobsWithPeer() { add_peer("b"); }
};

TEST(JobPolls, ReadNothingForJobOfOwnShard) {
  JobsWithPeer fixture;
  fixture.add_job();
  fixture.poll(1000);
  EXPECT_EQ(fixture.replies.size(), 1000u);
  EXPECT_TRUE(fixture.calls.empty());
  EXPECT_TRUE(fixture.queries.empty());
}

// Every poll of an unknown job used to cause reads of its own: eight times the polls caused eight times the
// reads.
TEST(JobPolls, ShareReadsForUnknownJob) {
  JobsWithPeer fixture;
  fixture.poll(100);
  EXPECT_EQ(fixture.calls.size(), 1u);
  fixture.respond_to_last(absent_response());  // no live record; the final state is read next
  fixture.respond_to_last(absent_response());
  ASSERT_EQ(fixture.replies.size(), 1u);
  EXPECT_EQ(fixture.replies[0].status, 404);
  EXPECT_EQ(fixture.calls.size(), 3u) << "expected one more read, shared by all polls that came meanwhile";
  fixture.respond_to_last(absent_response());
  fixture.respond_to_last(absent_response());
  EXPECT_EQ(fixture.replies.size(), 100u);
  EXPECT_EQ(fixture.calls.size(), 4u);
}

TEST(JobPolls, ShareQueryForJobOfPeer) {
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

// After a read was requested, another controller may tell a user that the job is accepted. If this user then
// polls here, the response to the earlier read must not be used to reply that there is no such job.
TEST(JobPolls, AreNotAnsweredByEarlierRead) {
  JobsWithPeer fixture;
  fixture.poll(1);
  fixture.poll(1);
  fixture.respond_to_last(absent_response());
  fixture.respond_to_last(absent_response());
  ASSERT_EQ(fixture.replies.size(), 1u);
  EXPECT_EQ(fixture.replies[0].status, 404);
  fixture.respond_to_last(live_record("b"));
  const std::vector<JobQuery> queries = fixture.queries;
  fixture.collect([&] {
    for (const JobQuery& query : queries) fixture.jobs.on_reply({query.id, 503, JobPhase::pending, 0, 0});
  });
  ASSERT_EQ(fixture.replies.size(), 2u);
  EXPECT_EQ(fixture.replies[1].status, 200);
}

}  // namespace
}  // namespace bendtide::sim
