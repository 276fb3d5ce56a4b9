// How much of a team's quota a shard may use, during and after the transfer of a share.

#include "core/state/quota_ledger.h"

#include <gtest/gtest.h>

#include "core/state/periodic_request.h"

namespace bendtide {
namespace {

QuotaLedger loaded_ledger() {
  QuotaLedger ledger;
  ledger.load({{"t", {10'000, 2'000}}}, 7);
  return ledger;
}

TEST(QuotaLedger, IsCurrentFromLoadUntilMarkedStale) {
  QuotaLedger ledger;
  EXPECT_FALSE(ledger.is_current());
  ledger.load({{"t", {10'000, 0}}}, 7);
  EXPECT_TRUE(ledger.is_current());
  ledger.mark_stale();
  EXPECT_FALSE(ledger.is_current());
  ASSERT_TRUE(ledger.needs_read());
  ledger.begin_read();
  EXPECT_FALSE(ledger.needs_read()) << "only one read may be in flight";
  ledger.finish_read();
  EXPECT_TRUE(ledger.needs_read()) << "the read failed and must be repeated";
  ledger.load({{"t", {9'000, 0}}}, 8);
  EXPECT_TRUE(ledger.is_current());
  EXPECT_EQ(ledger.share("t"), (Quota{9'000, 0}));
}

TEST(QuotaLedger, ExcludesShareInTransferFromFreeQuota) {
  QuotaLedger ledger = loaded_ledger();
  ledger.usage.by_team["t"] = {1'000, 0};
  ledger.begin_transfer("t", {4'000, 1'000});
  EXPECT_FALSE(ledger.is_current()) << "only one transfer may be under way";
  EXPECT_EQ(ledger.free("t"), (Quota{5'000, 1'000}));
  EXPECT_EQ(ledger.shares().at("t"), (Quota{10'000, 2'000})) << "the shares in the record are unchanged";
}

TEST(QuotaLedger, LosesShareOnlyWhenTransferCompletes) {
  for (const bool completed : {true, false}) {
    QuotaLedger ledger = loaded_ledger();
    ledger.begin_transfer("t", {4'000, 1'000});
    if (completed)
      ledger.complete_transfer("t", {4'000, 1'000});
    else
      ledger.cancel_transfer("t", {4'000, 1'000});
    EXPECT_TRUE(ledger.is_current());
    EXPECT_EQ(ledger.share("t"), (completed ? Quota{6'000, 1'000} : Quota{10'000, 2'000}));
    EXPECT_EQ(ledger.shares().at("t"), ledger.share("t"));
  }
}

TEST(QuotaLedger, CountsUnattributedUsageAgainstEveryTeam) {
  QuotaLedger ledger = loaded_ledger();
  ledger.usage.by_team["t"] = {1'000, 0};
  ledger.usage.by_unknown_jobs = {2'000, 0};
  ledger.usage.unreconciled = {8'000, 0};
  EXPECT_EQ(ledger.free("t"), (Quota{-1'000, 2'000}));
  EXPECT_EQ(ledger.spare("t"), (Quota{0, 2'000}));
  EXPECT_EQ(ledger.free("other"), (Quota{-10'000, 0}));
  EXPECT_FALSE(ledger.has_share_of("other"));
}

TEST(PeriodicRequest, IsDueAtScheduledTimeUnlessInFlight) {
  PeriodicRequest read;
  EXPECT_TRUE(read.due(seconds(1)));
  read.begin();
  read.schedule(seconds(3));
  EXPECT_FALSE(read.due(seconds(10))) << "a request is in flight";
  read.end();
  EXPECT_FALSE(read.due(seconds(2)));
  EXPECT_TRUE(read.due(seconds(3)));
  read.bring_forward(seconds(2));
  EXPECT_TRUE(read.due(seconds(2)));
  read.bring_forward(seconds(5));
  EXPECT_TRUE(read.due(seconds(2))) << "bring_forward() must not delay a request";
}

}  // namespace
}  // namespace bendtide
