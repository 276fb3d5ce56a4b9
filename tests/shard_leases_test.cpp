// Which shards a controller leads after each of a sequence of events.

#include "core/leases/shard_leases.h"

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"

namespace bendtide::sim {
namespace {

using Outcome = StoreResponse::Outcome;

StoreResponse granted(std::uint64_t lease) {
  StoreResponse response;
  response.outcome = Outcome::ok;
  response.lease = lease;
  return response;
}

/// Makes the key-value store respond that store lease 7 has ended, and then grant store lease 8.
void replace_store_lease(JobsFixture& t, ShardLeases& leases) {
  t.context.now += t.context.settings.lease_term() / 6;
  t.collect([&] { leases.tick(); });
  const auto renewal = std::find_if(t.calls.begin(), t.calls.end(), [](const StoreCall& call) {
    return std::holds_alternative<RenewLease>(call.request);
  });
  ASSERT_NE(renewal, t.calls.end());
  StoreResponse ended;
  ended.outcome = Outcome::absent;
  t.respond(static_cast<std::size_t>(renewal - t.calls.begin()), ended);
  t.collect([&] { leases.tick(); });
  const auto next = std::find_if(t.calls.rbegin(), t.calls.rend(), [](const StoreCall& call) {
    return std::holds_alternative<GrantLease>(call.request);
  });
  ASSERT_NE(next, t.calls.rend());
  const std::uint64_t call = next->call;
  t.collect([&] { t.state.store.on_response(call, granted(8)); });
  ASSERT_TRUE(t.state.lease_valid());
}

// A lease record is deleted when the store lease that it is attached to ends. The response to an acquisition
// used to be accepted even if it arrived under the next store lease. The controller then acted for the shard
// without any lease record.
TEST(ShardLeases, IgnoreAcquisitionUnderEndedStoreLease) {
  for (const bool store_lease_ends : {true, false}) {
    JobsFixture t;
    t.context.settings.peers = {{"b", "z", "b:1"}};
    ShardLeases leases(
        t.state, t.fleet, [](Shard&) {}, [](const std::string&) {});
    t.collect([&] { leases.tick(); });
    ASSERT_TRUE(std::holds_alternative<GrantLease>(t.calls.at(0).request));
    t.respond(0, granted(7));
    t.collect([&] { leases.on_lease_transfer({"b", 30, false, {}}); });
    const std::size_t acquisition = t.calls.size() - 1;
    ASSERT_TRUE(std::holds_alternative<Transaction>(t.calls.at(acquisition).request));
    if (store_lease_ends) {
      ASSERT_NO_FATAL_FAILURE(replace_store_lease(t, leases));
    }
    t.respond(acquisition, write_response(31));
    EXPECT_EQ(t.state.shards.contains("b"), !store_lease_ends);
  }
}

TEST(TokenAdvance, IsDueWhenRequestedAndNoWriteIsInFlight) {
  TokenAdvance advance;
  EXPECT_FALSE(advance.due(seconds(100)));
  advance.request_soon();
  EXPECT_TRUE(advance.due(seconds(100)));
  advance.begin(seconds(100));
  advance.request_soon();
  EXPECT_FALSE(advance.due(seconds(110))) << "a write is in flight";
  advance.succeed();
  EXPECT_FALSE(advance.due(seconds(100.999)));
  EXPECT_TRUE(advance.due(seconds(101))) << "it was requested again during the write";
}

TEST(TokenAdvance, EventualRequestWaitsEightSecondsLonger) {
  TokenAdvance advance;
  advance.begin(seconds(100));
  advance.succeed();
  advance.request_eventually();
  EXPECT_FALSE(advance.due(seconds(108.999)));
  EXPECT_TRUE(advance.due(seconds(109)));
}

TEST(TokenAdvance, RetriesSoonAfterFailureAndLaterAfterConflict) {
  for (const bool conflict : {false, true}) {
    TokenAdvance advance;
    advance.request_soon();
    advance.begin(seconds(100));
    advance.fail(conflict);
    EXPECT_EQ(advance.due(seconds(101)), !conflict);
    EXPECT_TRUE(advance.due(seconds(109)));
  }
}

}  // namespace
}  // namespace bendtide::sim
