// A leader whose writes of its lease record get no response, against the simulated key-value store.

#include <gtest/gtest.h>

#include "core/leases/shard_leases.h"
#include "sim/jobs_fixture.h"
#include "sim/simulated_key_value_store.h"

namespace bendtide::sim {
namespace {

constexpr Micros kStoreTimeout = seconds(1);
constexpr Micros kStep = millis(50);

/// A controller that leads its own shard, with every request served by the simulated key-value store.
struct LeaderWithStore : JobsFixture {
  SimulatedKeyValueStore store{context.settings};
  ShardLeases leases{state, fleet, [](Shard& acquired) { acquired.stage = Shard::Stage::ready; },
                     [](const std::string&) {}};
  bool lose_lease_write_responses = false;

  LeaderWithStore() {
    state.shards.clear();
    state.routes["a"] = {};
    state.lease_valid_until = Micros{0};
    run_for(seconds(3));
  }
  /// Runs the controller, and serves its requests without delay. The store executes a write of the lease
  /// record even if its response is lost.
  void run_for(Micros span) {
    for (const Micros end = context.now + span; context.now < end; context.now += kStep) {
      context.run_due_timers();
      collect([&] {
        leases.tick();
        jobs.tick();
        state.store.send_queued();
      });
      serve_all();
    }
  }
  /// Serves all requests, and those that the responses give rise to.
  void serve_all() {
    while (!calls.empty())
      for (const StoreCall& call : std::exchange(calls, {})) serve(call);
  }
  Shard& own_shard() { return state.shards.at("a"); }
  /// Adds a job all of whose tasks are done, but whose final state is not written yet.
  void add_finished_job(const std::string& id) {
    records::LiveJob record{"a", spec(), context.wall};
    record.spec.id = id;
    Jobs::load(own_shard(), record).mark_done(0, true);
  }
  std::optional<JobPhase> final_phase(const std::string& job) const {
    const auto final_state = state.final_states.final_state(job);
    return final_state ? std::optional(final_state->phase) : std::nullopt;
  }

 private:
  static bool writes_lease_record(const StoreCall& call) {
    const auto* transaction = std::get_if<Transaction>(&call.request);
    return transaction != nullptr && transaction->writes.at(0).key == records::lease_key("a");
  }
  void serve(const StoreCall& call) {
    const wire::HttpRequest http = wire::request_of(call.request);
    const Response response = store.handle(http, context.now);
    if (lose_lease_write_responses && writes_lease_record(call)) {
      context.run_after(kStoreTimeout, [this, id = call.call] { state.store.on_response(id, {}); });
      return;
    }
    const StoreResponse parsed = wire::parse_store_response(call.request, response.status, response.body);
    collect([&] { state.store.on_response(call.call, parsed); });
  }
};

StoreResponse conflict_at(const std::string& key) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::conflict;
  response.failed = {key};
  return response;
}

/// The revision of the lease record that each transaction sent so far compares.
std::vector<Revision> fences(const JobsFixture& fixture) {
  std::vector<Revision> revisions;
  for (const StoreCall& call : fixture.calls)
    if (const auto* transaction = std::get_if<Transaction>(&call.request))
      revisions.push_back(transaction->compares.at(0).revision);
  return revisions;
}

// The response to the write that advances a fencing token was lost while several jobs completed. The
// controller did not read the new token from the lease record, because another advance was queued, and that
// was never sent: the final states, which conflicted and were repeated, took the whole write budget.
TEST(FencingToken, IsReadFromLeaseRecordAfterLostResponse) {
  LeaderWithStore t;
  ASSERT_TRUE(t.state.shards.contains("a"));
  const FencingToken first_token = t.own_shard().fencing_token;
  t.lose_lease_write_responses = true;
  t.own_shard().token_advance.request_soon();
  t.run_for(kStep);
  for (int i = 0; i < 8; ++i) t.add_finished_job("run-" + std::to_string(i));
  t.run_for(seconds(3));
  EXPECT_GT(t.own_shard().fencing_token, first_token);
  for (int i = 0; i < 8; ++i) EXPECT_EQ(t.final_phase("run-" + std::to_string(i)), JobPhase::done) << i;
  EXPECT_EQ(t.context.invariants.total(), 0u);
}

// While every response to a write of the lease record is lost, the other writes for the shard go on.
TEST(FencingToken, AdvancesThoughNoResponseArrives) {
  LeaderWithStore t;
  t.lose_lease_write_responses = true;
  FencingToken previous = t.own_shard().fencing_token;
  for (int i = 0; i < 5; ++i) {
    t.own_shard().token_advance.request_soon();
    t.add_finished_job("run-" + std::to_string(i));
    t.run_for(seconds(3));
    EXPECT_GT(t.own_shard().fencing_token, previous);
    EXPECT_EQ(t.final_phase("run-" + std::to_string(i)), JobPhase::done) << i;
    previous = t.own_shard().fencing_token;
  }
  EXPECT_EQ(t.context.invariants.total(), 0u);
}

// After a conflict at the lease record, the same transactions used to be sent again and again, although they
// could not succeed before the lease record was read.
TEST(FencingToken, ConflictingWritesAreNotRepeatedBeforeLeaseRecordIsRead) {
  JobsFixture t;
  t.add_job().mark_done(0, true);
  t.tick();
  ASSERT_EQ(fences(t), std::vector<Revision>{10});
  t.respond(0, conflict_at(records::lease_key("a")));
  JobSpec other = JobsFixture::spec();
  other.id = "run-2";
  t.collect([&] { t.jobs.on_submit(t.next_request++, other); });
  for (int i = 0; i < 10; ++i) {
    t.context.now += seconds(1);
    t.tick();
  }
  EXPECT_EQ(fences(t), std::vector<Revision>{10});
  EXPECT_TRUE(t.replies.empty()) << "the submission waits";

  t.shard.fencing_token = 12;
  t.context.now += seconds(1);
  t.tick();
  EXPECT_EQ(fences(t), (std::vector<Revision>{10, 12, 12})) << "expected a submission and a final state";
}

// A submission conflicted because its controller had advanced its fencing token while it was in flight. The
// user was told to try again.
TEST(Submission, IsWrittenAgainAfterItsControllerAdvancedTheFencingToken) {
  JobsFixture t;
  t.submit();
  ASSERT_EQ(t.calls.size(), 1u);
  t.shard.fencing_token = 12;
  t.respond(0, conflict_at(records::lease_key("a")));
  EXPECT_TRUE(t.replies.empty());
  ASSERT_EQ(t.calls.size(), 2u);
  EXPECT_EQ(t.transaction_of(1).compares.at(0).revision, Revision(12));
  t.respond(1, write_response(20));
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].status, 201);
}

}  // namespace
}  // namespace bendtide::sim
