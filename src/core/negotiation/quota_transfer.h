// Moves quota share from a shard led here to another shard, alone or together with an award of tasks.
//
// Each move is one transaction that compares the revisions of both shards' allocation records and the lease
// record of the giving shard. So no share is ever given twice, the shares of all shards sum to the limit of
// each team, and an award takes effect if and only if the share that it needs has moved with it.
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
  std::string key;  ///< of the award record
  records::Award record;
  std::vector<std::uint32_t> tasks;
  Revision proposed_at;  ///< the winner's proposal is valid for this revision of its allocation only
};

/// One move of quota share, from its start until its outcome is known.
struct QuotaMove {
  std::string from;  ///< the shard led here
  LeadershipTerm leadership_term = 0;
  Compare fence;  ///< the lease record of `from` when the move began
  std::string to;
  std::string team;
  Quota amount;
  std::optional<AwardedTasks> award;
};

class QuotaTransfer {
 public:
  /// `invalidate_leases` is called when the outcome of a write suggests that a lease may be lost.
  QuotaTransfer(ControllerState& state, NegotiationCounters& counters,
                std::function<void()> invalidate_leases);

  /// Starts to move `amount` of a team's share from `shard` to the shard `to`. The caller has checked that no
  /// other move of this shard is under way, and that its allocation is current. Awarded tasks must have left
  /// the waiting ones; they return to them if the move fails.
  void start(Shard& shard, const std::string& to, const std::string& team, Quota amount,
             std::optional<AwardedTasks> award);
  /// A peer lacks share: hands over what no job here needs.
  void on_request(const QuotaTransferRequest& request);
  /// Reads the allocation of a shard again if another leader has written it.
  void refresh_allocation(Shard& shard);

 private:
  // The steps of a move, in their order.
  void on_receiver_read(const QuotaMove& move, const StoreResponse& response);
  void commit(Shard& shard, const QuotaMove& move, const QuotaLedger::Shares& receiver_shares,
              Revision receiver_revision);
  void on_committed(const QuotaMove& move, const StoreResponse& response);
  void finish(Shard& shard, const QuotaMove& move, bool applied);
  static void finish_award(Job& job, const QuotaMove& move, bool applied, Micros now);

  // The steps that find out what became of a write that was not answered.
  void resolve(Shard& shard, const QuotaMove& move);
  void resolve_later(const QuotaMove& move);
  void on_allocation_read(const QuotaMove& move, const StoreResponse& response);
  void on_allocation_rewritten(const QuotaMove& move, const QuotaLedger::Shares& shares,
                               const StoreResponse& response);
  void on_award_read(const QuotaMove& move, const QuotaLedger::Shares& shares, const StoreResponse& response);
  void finish_resolved(const QuotaMove& move, const QuotaLedger::Shares& shares, bool applied);

  /// What a shard can give of a team's share without keeping its own jobs from starting.
  static Quota quota_to_spare(const Shard& shard, const QuotaTransferRequest& request);

  ControllerState& state_;
  NegotiationCounters& counters_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
