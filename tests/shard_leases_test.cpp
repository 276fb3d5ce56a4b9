// Which shards a controller holds, event by event.

#include "core/leases/shard_leases.h"

#include <gtest/gtest.h>

#include "sim/jobs_fixture.h"

namespace bendtide::sim {
namespace {

using Outcome = StoreResponse::Outcome;

// The record of a holding goes with the lease that it was written under. A taking that was carried out, while
// only its answer was late, once counted under the next lease: the shard was acted for without any record.
TEST(LateAnswer, ToATakingUnderALeaseThatHasEndedTakesNothing) {
  for (const bool lease_ends : {true, false}) {
    JobsFixture t;
    t.context.settings.peers = {{"b", "z", "b:1"}};
    ShardLeases holdings(
        t.state, t.fleet, [](Shard&) {}, [](const std::string&) {});
    StoreResponse lease;
    lease.outcome = Outcome::ok;
    lease.lease = 7;
    t.collect([&] { holdings.tick(); });
    ASSERT_TRUE(std::holds_alternative<GrantLease>(t.calls.at(0).request));
    t.answer(0, lease);
    t.collect([&] { holdings.on_lease_transfer({"b", 30, false, {}}); });
    const std::size_t taking = t.calls.size() - 1;
    ASSERT_TRUE(std::holds_alternative<Transaction>(t.calls.at(taking).request));
    if (lease_ends) {
      t.context.now += t.context.settings.lease_term() / 6;
      t.collect([&] { holdings.tick(); });
      const auto renewal = std::find_if(t.calls.begin(), t.calls.end(), [](const StoreCall& call) {
        return std::holds_alternative<RenewLease>(call.request);
      });
      ASSERT_NE(renewal, t.calls.end());
      StoreResponse ended;
      ended.outcome = Outcome::absent;
      t.answer(static_cast<std::size_t>(renewal - t.calls.begin()), ended);
      t.collect([&] { holdings.tick(); });
      const auto next = std::find_if(t.calls.rbegin(), t.calls.rend(), [](const StoreCall& call) {
        return std::holds_alternative<GrantLease>(call.request);
      });
      lease.lease = 8;
      t.collect([&] { t.state.store.on_answer(next->call, lease); });
      ASSERT_TRUE(t.state.lease_valid());
    }
    t.answer(taking, written(31));
    EXPECT_EQ(t.state.shards.contains("b"), !lease_ends);
  }
}

}  // namespace
}  // namespace bendtide::sim
