// The order in which requests to the key-value store are sent when the rate budget is short.

#include "core/kvstore/key_value_client.h"

#include <gtest/gtest.h>

#include "sim/held_shard.h"

namespace bendtide::sim {
namespace {

constexpr Micros kStep = millis(20);

/// A client with a budget of 54 writes a second. Every request that is sent succeeds at once.
struct BusyClient {
  Context context{HeldShard::settings(), {}, "life", std::mt19937_64(1), seconds(100),
                  seconds(1'000'000),    {}, {}};
  KeyValueClient client{context};
  std::vector<std::string> succeeded;  ///< key of each successful transaction
  std::vector<std::string> refused;    ///< key of each refused transaction

  void commit(const std::string& key, RequestPriority priority, std::size_t writes = 1,
              KeyValueClient::BeforeSend before_send = nullptr) {
    Transaction transaction;
    for (std::size_t i = 0; i < writes; ++i) transaction.writes.push_back({key, Value(1), 0});
    client.commit(
        std::move(transaction),
        [this, key](const StoreResponse& response) { (response.ok() ? succeeded : refused).push_back(key); },
        priority, std::move(before_send));
  }
  void respond_to_all() {
    for (const Action& action : std::exchange(context.actions, {})) {
      StoreResponse response;
      response.outcome = StoreResponse::Outcome::ok;
      if (const auto* call = std::get_if<StoreCall>(&action)) client.on_response(call->call, response);
    }
  }
  /// Keeps more transactions of high priority queued than the budget allows.
  void run_saturated_for(Micros span) {
    for (const Micros end = context.now + span; context.now < end; context.now += kStep) {
      while (client.queued_transactions(RequestPriority::high) < 20) commit("high", RequestPriority::high, 2);
      client.send_queued();
      respond_to_all();
    }
  }
  auto successes(const std::string& key) const { return std::count(succeeded.begin(), succeeded.end(), key); }
};

// Transactions of high priority that came faster than the budget allowed used to keep all others from being
// sent, for as long as they came.
TEST(KeyValueClient, HighPriorityDelaysOthersOnlyForLimitedTime) {
  BusyClient t;
  t.run_saturated_for(seconds(1));
  t.commit("normal", RequestPriority::normal, 12);
  t.commit("low", RequestPriority::low, 4);
  t.run_saturated_for(seconds(3));
  EXPECT_EQ(t.successes("normal"), 1);
  EXPECT_EQ(t.successes("low"), 0);
  t.run_saturated_for(seconds(8));
  EXPECT_EQ(t.successes("low"), 1);
}

// Overdue transactions must not take the budget from those that users wait for.
TEST(KeyValueClient, HighPriorityKeepsMostOfTheBudget) {
  BusyClient t;
  t.run_saturated_for(seconds(1));
  for (int i = 0; i < 100; ++i) t.commit("normal", RequestPriority::normal, 12);
  const auto before = t.successes("high");
  t.run_saturated_for(seconds(10));
  EXPECT_LE(t.successes("normal"), 5);
  EXPECT_GE(2 * (t.successes("high") - before), 54 * 10 - 5 * 12 - 2);
}

TEST(KeyValueClient, LeaseRequestsAreSentFirst) {
  BusyClient t;
  t.run_saturated_for(seconds(1));
  for (int i = 0; i < 1000; ++i) t.client.get("key", [](const StoreResponse&) {});
  t.commit("lease", RequestPriority::lease);
  bool listed = false;
  t.client.list(
      "hold/", [&](const StoreResponse& response) { listed = response.ok(); }, ReadKind::lease);
  t.run_saturated_for(millis(200));
  EXPECT_EQ(t.successes("lease"), 1);
  EXPECT_TRUE(listed);
}

// Users may ask about any number of jobs, also about jobs that nobody submitted. Their reads used to fill the
// queue of all reads, so that a controller that took over a shard could hardly load it.
TEST(KeyValueClient, ReadsForUsersDoNotDelayOtherReadsForLong) {
  BusyClient t;
  const auto ignore = [](const StoreResponse&) {};
  std::size_t listed = 0;
  const auto count = [&](const StoreResponse& response) { listed += response.ok() ? 1 : 0; };
  for (int step = 0; step < 100; ++step) {
    for (int i = 0; i < 20; ++i) t.client.get("job", ignore, ReadKind::user);
    if (step == 50)
      for (int i = 0; i < 4; ++i) t.client.list("live/", count);
    t.client.send_queued();
    t.respond_to_all();
    t.context.now += kStep;
    if (step >= 60) {
      EXPECT_EQ(listed, 4u);
    }
  }
}

TEST(KeyValueClient, TransactionThatMustNotBeSentIsRefused) {
  BusyClient t;
  t.run_saturated_for(seconds(1));
  bool valid = true;
  const auto is_valid = [&](Transaction&) { return valid; };
  t.commit("stale", RequestPriority::high, 12, is_valid);
  EXPECT_TRUE(t.refused.empty()) << "it waits for the budget";
  valid = false;
  t.run_saturated_for(seconds(2));
  EXPECT_EQ(t.refused, std::vector<std::string>{"stale"});
  EXPECT_EQ(t.successes("stale"), 0);
}

}  // namespace
}  // namespace bendtide::sim
