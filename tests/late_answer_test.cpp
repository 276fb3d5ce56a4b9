// Answers of the state service that arrive after other things were learned: none of them may bring back what
// is over, and no final state is written over another.

#include <gtest/gtest.h>

#include "sim/day.h"
#include "sim/held_part.h"

namespace bendtide::sim {
namespace {

using Outcome = StateAnswer::Outcome;

/// A controller whose calls to the state service are answered by hand, in any order.
struct HandAnswered : HeldPart {
  Jobs jobs{cluster, {[](Part&) {}, [] {}}};
  std::vector<StateCall> calls;
  std::vector<UserReply> replies;

  HandAnswered() {
    context.settings.teams = {{"t", {8000, 0}, {8000, 0}}};
    cluster.catalogue = {{"small", {8000, 0, 64000}, 50, 1, 1, 1, seconds(10), {"z"}}};
    cluster.routes["a"] = {"a", "life", 10, Micros{0}, true};
  }
  static JobSpec spec() {
    JobSpec out;
    out.id = kTask.job;
    out.team = "t";
    out.tasks = 1;
    out.each = {1000, 0, 1};
    return out;
  }
  void collect(const std::function<void()>& event) {
    context.actions.clear();
    event();
    for (const Action& action : context.actions) {
      if (auto* call = std::get_if<StateCall>(&action)) calls.push_back(*call);
      if (auto* answer = std::get_if<AnswerUser>(&action)) replies.push_back(answer->reply);
    }
  }
  void submit() {
    collect([&] { jobs.on_submit(1, spec()); });
  }
  void cancel() {
    collect([&] { jobs.on_cancel(2, kTask.job); });
  }
  void tick() {
    collect([&] { jobs.tick(); });
  }
  void answer(std::size_t call, const StateAnswer& with) {
    collect([&] { cluster.store.on_answer(calls.at(call).call, with); });
  }
  const StateCommit& commit(std::size_t call) const { return std::get<StateCommit>(calls.at(call).request); }
};

StateAnswer written(std::uint64_t revision) {
  StateAnswer answer;
  answer.outcome = Outcome::ok;
  answer.revision = revision;
  return answer;
}

StateAnswer found(const std::string& key, Value value, std::uint64_t stamp) {
  StateAnswer answer;
  answer.outcome = Outcome::ok;
  answer.rows = {{key, std::move(value), stamp}};
  return answer;
}

StateAnswer live_record() {
  const records::LiveJob record{"a", HandAnswered::spec(), seconds(1'000'000)};
  return found(records::live_key(kTask.job), records::to_json(record), 20);
}

// The incident: the job was accepted, found in the state service by its cancellation, cancelled, and
// forgotten here; then the answer to the write that had accepted it arrived. The job began anew and was done
// in the end.
TEST(LateAnswer, ToAnAcceptanceDoesNotBringBackACancelledJob) {
  HandAnswered t;
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
  ASSERT_FALSE(t.part.jobs.contains(kTask.job));

  t.answer(0, written(20));
  EXPECT_FALSE(t.part.jobs.contains(kTask.job));
  ASSERT_EQ(t.replies.size(), 2u);
  EXPECT_EQ(t.replies[1].status, 200);
  EXPECT_EQ(t.replies[1].phase, JobPhase::cancelled) << "nobody is told anything older";
}

/// A number from the environment, for longer runs than those of every day.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Controllers lose the state service one after the other, so that submissions are passed on to two peers at
/// once; users ask everywhere, submit again and cancel within 0.3 s of an acceptance.
DayPlan hasty_day(std::uint64_t seed) {
  using enum Trouble;
  DayPlan plan;
  plan.seed = seed;
  plan.jobs = 300;
  plan.end = seconds(420);
  plan.hasty_users = true;
  plan.odd_requests = true;
  plan.verbose = std::getenv("DAY_VERBOSE") != nullptr;
  plan.strikes = {{.at = seconds(5), .kind = state_answers_late, .span = seconds(140)},
                  {.at = seconds(15), .kind = lose_state, .span = seconds(25), .node = 0},
                  {.at = seconds(55), .kind = state_refuses, .span = seconds(25), .node = 1},
                  {.at = seconds(95), .kind = lose_state, .span = seconds(25), .node = 2},
                  {.at = seconds(130), .kind = crash, .span = seconds(4), .node = kLeader}};
  return plan;
}

// The incident in a simulated cluster. FIRST_SEED and SEEDS choose other and more days.
TEST(HastyUsers, AreNeverToldAnythingOlderWhileAnswersOfTheStateServiceAreLate) {
  const std::uint64_t first = from_environment("FIRST_SEED", 1);
  const std::uint64_t seeds = from_environment("SEEDS", 6);
  std::size_t failed = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    Day day(hasty_day(seed));
    day.play();
    EXPECT_EQ(day.checker().summary(), "") << "seed " << seed;
    EXPECT_EQ(day.unfinished(), std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(day.wrong_sums(), 0u) << "seed " << seed;
    EXPECT_EQ(day.checker().starts_after_cancel(), 0u) << "seed " << seed;
    for (const char* what : {"answers of the state service held up", "jobs cancelled at once", "parts taken"})
      EXPECT_GT(day.seen(what), 0u) << what << ", seed " << seed;
    failed += day.checker().summary().empty() ? 0 : 1;
  }
  RecordProperty("days_that_broke_a_rule", static_cast<int>(failed));
  EXPECT_EQ(failed, 0u) << "of " << seeds << " days broke a rule";
}

}  // namespace
}  // namespace bendtide::sim
