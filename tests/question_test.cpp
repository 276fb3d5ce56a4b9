// Questions about jobs: what they cost, and that none is answered with something older than was told before.

#include <gtest/gtest.h>

#include "core/jobs/jobs.h"
#include "sim/held_shard.h"

namespace bendtide::sim {
namespace {

/// A controller that is asked by users; the key-value store's and peers' answers are given by hand.
struct AskedController : HeldShard {
  Jobs jobs{state, {[](Shard&) {}, [] {}}};
  std::uint64_t next_request = 1;
  std::vector<StoreCall> reads;
  std::vector<JobQuery> redirected_heartbeats;
  std::vector<UserReply> answers;

  AskedController() {
    context.settings.peers = {{"b", "z", "b:1"}};
    state.peers["b"].heard_at = context.now;
  }
  void collect(const std::function<void()>& what) {
    context.actions.clear();
    what();
    for (const Action& action : context.actions) {
      if (auto* call = std::get_if<StoreCall>(&action)) reads.push_back(*call);
      if (auto* answer = std::get_if<AnswerUser>(&action)) answers.push_back(answer->reply);
      if (auto* send = std::get_if<PeerSend>(&action))
        if (auto* query = std::get_if<JobQuery>(&send->message)) redirected_heartbeats.push_back(*query);
    }
  }
  void poll(int times) {
    collect([&] {
      for (int i = 0; i < times; ++i) jobs.on_poll(next_request++, kTask.job);
    });
  }
  /// The key-value store answers the read sent last.
  void read_answered(const StoreResponse& answer) {
    const std::uint64_t call = reads.back().call;
    collect([&] { state.store.on_answer(call, answer); });
  }
};

StoreResponse absent() {
  StoreResponse answer;
  answer.outcome = StoreResponse::Outcome::absent;
  return answer;
}

StoreResponse live() {
  records::LiveJob record;
  record.shard = "b";
  record.spec.id = kTask.job;
  record.spec.tasks = 1;
  StoreResponse answer;
  answer.outcome = StoreResponse::Outcome::ok;
  answer.entries = {{records::live_key(kTask.job), records::to_json(record), 7}};
  return answer;
}

TEST(ManyQuestions, AboutAJobHeldHereReadNothing) {
  AskedController t;
  t.add_job();
  t.poll(1000);
  EXPECT_EQ(t.answers.size(), 1000u);
  EXPECT_TRUE(t.reads.empty());
  EXPECT_TRUE(t.redirected_heartbeats.empty());
}

// Users that ask eight times as often once caused eight times the reads.
TEST(ManyQuestions, AboutAnUnknownJobShareTheirReads) {
  AskedController t;
  t.poll(100);
  EXPECT_EQ(t.reads.size(), 1u);
  t.read_answered(absent());  // not live; now whether it is over
  t.read_answered(absent());
  EXPECT_EQ(t.answers.size(), 1u);
  EXPECT_EQ(t.answers[0].status, 404);
  EXPECT_EQ(t.reads.size(), 3u) << "one more for all that asked meanwhile";
  t.read_answered(absent());
  t.read_answered(absent());
  EXPECT_EQ(t.answers.size(), 100u);
  EXPECT_EQ(t.reads.size(), 4u);
}

TEST(ManyQuestions, AboutAPeersJobShareOneQuestionToIt) {
  AskedController t;
  t.state.routes["b"].host = "b";
  records::LiveJob record;
  record.shard = "b";
  record.spec.id = kTask.job;
  t.jobs.learn_shard(record);
  t.poll(100);
  EXPECT_EQ(t.redirected_heartbeats.size(), 1u);
  t.collect([&] { t.jobs.on_reply({t.redirected_heartbeats.back().id, 200, JobPhase::running, 0, 1}); });
  EXPECT_EQ(t.answers.size(), 1u);
  EXPECT_EQ(t.redirected_heartbeats.size(), 2u);
  t.collect([&] { t.jobs.on_reply({t.redirected_heartbeats.back().id, 200, JobPhase::done, 1, 0}); });
  EXPECT_EQ(t.answers.size(), 100u);
  EXPECT_TRUE(t.reads.empty());
}

// A user that was told at another node that the job is accepted, after the read under way was made, must not
// be told by it that there is none.
TEST(ManyQuestions, AreNotAnsweredByAReadFromBeforeTheyWereAsked) {
  AskedController t;
  t.poll(1);
  t.poll(1);
  t.read_answered(absent());
  t.read_answered(absent());
  ASSERT_EQ(t.answers.size(), 1u);
  EXPECT_EQ(t.answers[0].status, 404);
  t.read_answered(live());
  t.collect([&] {
    for (const JobQuery& query : t.redirected_heartbeats)
      t.jobs.on_reply({query.id, 503, JobPhase::pending, 0, 0});
  });
  ASSERT_EQ(t.answers.size(), 2u);
  EXPECT_EQ(t.answers[1].status, 200);
}

}  // namespace
}  // namespace bendtide::sim
