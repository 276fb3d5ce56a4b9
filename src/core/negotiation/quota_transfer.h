// Transfers quota share from a shard led by this controller to another shard, with or without an award of
// tasks.
//
// Each transfer is one transaction that compares the revisions of both shards' allocation records and of the
// sending shard's lease record. It follows that no share is transferred twice, that the shares of all shards
// sum to the limit of each team, and that an award takes effect if and only if the share that it needs is
// transferred with it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/negotiation/negotiation_counters.h"
#include "core/state/controller_state.h"

namespace bendtide {

/// Tasks of one job that are awarded to another shard.
struct AwardedTasks {
  std::string job;
  std::string key;  ///< key of the award record
  records::Award record;
  std::vector<std::uint32_t> tasks;  ///< the tasks that were waiting; the record may cover further ones
  /// The award to the same shard that this one replaces, if any.
  std::optional<Compare> replaced{};
  /// The winner's proposal is valid only for this revision of its allocation record.
  Revision proposed_revision;
};

/// A transfer of quota share whose outcome is not known yet.
struct PendingTransfer {
  std::string from;  ///< the sending shard, led by this controller
  LeadershipTerm leadership_term = 0;
  std::string to;
  std::string team;
  Quota amount;
  std::optional<AwardedTasks> award;
};

class QuotaTransfer {
 public:
  /// `invalidate_leases` is called when the outcome of a write suggests that a lease may have been lost.
  QuotaTransfer(ControllerState& state, NegotiationCounters& counters,
                std::function<void()> invalidate_leases);

  /// Starts the transfer of `amount` of a team's share from `shard` to the shard `to`. The caller must have
  /// checked that no other transfer from this shard is in progress and that its allocation is current.
  /// Awarded tasks must already have left the waiting state; they return to it if the transfer fails.
  void start(Shard& shard, const std::string& to, const std::string& team, Quota amount,
             std::optional<AwardedTasks> award);
  /// Handles the request of a peer that lacks quota share: transfers share that no job of this shard needs.
  void on_request(const QuotaTransferRequest& request);
  /// Reads the allocation record of a shard again if another leader may have written it.
  void refresh_allocation(Shard& shard);

 private:
  // The steps of a transfer, in this order.
  void on_receiver_read(const PendingTransfer& transfer, const StoreResponse& response);
  void commit(Shard& shard, const PendingTransfer& transfer, const QuotaLedger::Shares& receiver_shares,
              Revision receiver_revision);
  void on_committed(const PendingTransfer& transfer, const StoreResponse& response);
  /// `award_revision`: of the award record, if the transfer was applied and has an award.
  void finish(Shard& shard, const PendingTransfer& transfer, bool applied, Revision award_revision = 0);
  static void finish_award(Job& job, const PendingTransfer& transfer, bool applied, Revision award_revision,
                           Micros now);

  // The steps that determine the outcome of a write that got no answer.
  void resolve(Shard& shard, const PendingTransfer& transfer);
  void resolve_later(const PendingTransfer& transfer);
  void on_allocation_read(const PendingTransfer& transfer, const StoreResponse& response);
  void on_allocation_rewritten(const PendingTransfer& transfer, const QuotaLedger::Shares& shares,
                               const StoreResponse& response);
  void on_award_read(const PendingTransfer& transfer, const QuotaLedger::Shares& shares,
                     const StoreResponse& response);
  void finish_resolved(const PendingTransfer& transfer, const QuotaLedger::Shares& shares, bool applied,
                       Revision award_revision = 0);

  /// Returns the part of a team's share that a shard can transfer without keeping its own jobs from starting.
  static Quota transferable_quota(const Shard& shard, const QuotaTransferRequest& request, Micros now);

  ControllerState& state_;
  NegotiationCounters& counters_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
