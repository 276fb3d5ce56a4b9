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

struct FixtureWithPeer : JobsFixture {
  FixtureWithPeer() { add_peer("b"); }
};

/// A controller on host "a" that holds store lease 7 and leads shard "a". Shard "b" is that of its peer.
struct LeasesFixture : FixtureWithPeer {
  ShardLeases leases{state, fleet, [](Shard&) {}, [](const std::string&) {}};

  LeasesFixture() {
    collect([&] { leases.tick(); });
    respond_to<GrantLease>(granted(7));
  }
  /// The latest request of one kind to the key-value store. Null if there is none since the last response.
  template <class Request>
  const Request* latest() const {
    const auto found = find_latest<Request>();
    return found == calls.rend() ? nullptr : &std::get<Request>(found->request);
  }
  /// Responds to the latest request of one kind, and forgets it and all earlier requests of that kind.
  template <class Request>
  void respond_to(const StoreResponse& response) {
    const auto found = find_latest<Request>();
    ASSERT_NE(found, calls.rend());
    const std::uint64_t call = found->call;
    std::erase_if(calls, [](const StoreCall& c) { return std::holds_alternative<Request>(c.request); });
    collect([&] { state.store.on_response(call, response); });
  }
  void tick_after(Micros pause) {
    context.now += pause;
    collect([&] { leases.tick(); });
  }
  /// Lists the lease records: that of shard "b", written by `host` at `revision`, and that of shard "a".
  void list(const std::string& host, std::uint64_t revision) {
    leases.invalidate();
    tick_after(millis(1));
    respond_to<ListPrefix>(listed({lease_record("a", "a", 10), lease_record("b", host, revision)}));
  }
  static KeyValue lease_record(const std::string& shard, const std::string& host, std::uint64_t revision) {
    return {records::lease_key(shard), records::to_json(records::LeaseRecord{host, "life"}), revision};
  }
  static StoreResponse listed(std::vector<KeyValue> entries) {
    StoreResponse response;
    response.outcome = Outcome::ok;
    response.revision = 10;
    for (const KeyValue& entry : entries) response.revision = std::max(response.revision, entry.revision);
    response.entries = std::move(entries);
    return response;
  }
  static StoreResponse read(const std::string& host, std::uint64_t revision) {
    return listed({lease_record("b", host, revision)});
  }
  static StoreResponse no_response() { return {}; }
  bool leads_b() const { return state.shards.contains("b"); }
  /// Acquires shard "b", whose leader released it at `released`, with a write that gets revision `token`.
  void acquire_b(std::uint64_t released, std::uint64_t token) {
    collect([&] { leases.on_lease_transfer({"b", released, false, {}}); });
    respond_to<Transaction>(write_response(token));
    ASSERT_TRUE(leads_b());
  }
  /// Returns shard "b" to its home host, and waits until this controller may acquire it again.
  void release_b() {
    collect([&] { leases.transfer_to_home_host("b"); });
    ASSERT_FALSE(leads_b());
    context.now += seconds(6);
    state.lease_valid_until = context.now + seconds(10);
  }

 private:
  template <class Request>
  std::vector<StoreCall>::const_reverse_iterator find_latest() const {
    return std::find_if(calls.rbegin(), calls.rend(),
                        [](const StoreCall& call) { return std::holds_alternative<Request>(call.request); });
  }
};

// A leader released its shard to a peer, wanted it back, and got no response to its transaction. It took its
// own lease record from before the release as proof that the transaction had been applied. The peer's late
// transaction, which replaces that record, was then applied too: both led the shard, under one fencing token.
TEST(ShardLeases, RecordOfReleasedTermDoesNotProveReacquisition) {
  LeasesFixture t;
  t.acquire_b(20, 30);
  t.release_b();
  t.list("a", 30);
  ASSERT_NE(t.latest<Transaction>(), nullptr) << "expected an acquisition";
  t.respond_to<Transaction>(LeasesFixture::no_response());
  t.respond_to<GetKey>(LeasesFixture::read("a", 30));
  EXPECT_FALSE(t.leads_b());

  t.list("a", 30);
  ASSERT_NE(t.latest<Transaction>(), nullptr) << "expected another acquisition";
  EXPECT_EQ(t.latest<Transaction>()->compares.at(0).revision, Revision(30));
  t.respond_to<Transaction>(LeasesFixture::no_response());
  t.respond_to<GetKey>(LeasesFixture::read("a", 41));
  ASSERT_TRUE(t.leads_b()) << "the record was rewritten since the release";
  EXPECT_EQ(t.state.shards.at("b").fencing_token, FencingToken(41));
}

// Like RecordOfReleasedTermDoesNotProveReacquisition, for an acquisition that expects an older record still,
// because the message that caused it was delayed.
TEST(ShardLeases, RecordOfReleasedTermDoesNotProveAcquisitionOfOlderRecord) {
  LeasesFixture t;
  t.acquire_b(20, 30);
  t.release_b();
  t.collect([&] { t.leases.on_lease_transfer({"b", 20, false, {}}); });
  t.respond_to<Transaction>(LeasesFixture::no_response());
  t.respond_to<GetKey>(LeasesFixture::read("a", 30));
  EXPECT_FALSE(t.leads_b());
}

// A controller to which a shard was released got no response to its acquisition, which was not applied, and
// never tried again. Nobody led the shard until its former leader took it back.
TEST(ShardLeases, AcquisitionOfReleasedShardIsRepeatedWhileRecordIsUnchanged) {
  for (const std::uint64_t revision : {30, 31}) {
    LeasesFixture t;
    t.collect([&] { t.leases.on_lease_transfer({"b", 30, false, {}}); });
    t.respond_to<Transaction>(LeasesFixture::no_response());
    t.respond_to<GetKey>(LeasesFixture::read("b", revision));
    EXPECT_FALSE(t.leads_b());
    t.tick_after(millis(250));
    t.respond_to<ListPrefix>(LeasesFixture::listed(
        {LeasesFixture::lease_record("a", "a", 10), LeasesFixture::lease_record("b", "b", revision)}));
    const bool is_still_released = revision == 30;
    ASSERT_EQ(t.latest<Transaction>() != nullptr, is_still_released);
    if (!is_still_released) continue;
    t.respond_to<Transaction>(write_response(32));
    EXPECT_TRUE(t.leads_b());
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
