// The contract net protocol between shards. In a bounded number of rounds, the leader of a shard that lacks
// capacity for tasks finds another shard that takes them, or obtains quota share from other shards.
//
// Messages between leaders are only hints and may be lost or late. An award takes effect by one conditional
// write to the key-value store, which compares the revisions of both shards' allocation records and moves the
// tasks and the quota share together. The same capacity is therefore never awarded twice.
#pragma once

#include "core/negotiation/award_reader.h"
#include "core/negotiation/award_returns.h"
#include "core/negotiation/initiator.h"
#include "core/negotiation/participant.h"
#include "core/negotiation/progress_reader.h"

namespace bendtide {

/// The interface of the contract net to the controller. Delegates to Initiator, Participant, QuotaTransfer,
/// AwardReader, AwardReturns and ProgressReader, one for each duty.
class ContractNet {
 public:
  struct Hooks {
    /// Called when the outcome of a write suggests that a lease may have been lost.
    std::function<void()> invalidate_leases;
  };
  ContractNet(ControllerState& state, Scheduler& scheduler, Hooks hooks);

  void tick();

  void on_call(const CallForProposals& call) { participant_.on_call(call); }
  void on_proposal(const Proposal& proposal) { initiator_.on_proposal(proposal); }
  void on_quota_transfer_request(const QuotaTransferRequest& request) { quota_transfer_.on_request(request); }
  void on_award_notice(const std::string& shard) { award_reader_.on_award_notice(shard); }
  void on_progress_notice(const std::string& shard) { progress_reader_.on_notice(shard); }
  void on_job_end_notice(const JobEndNotice& notice) { state_.record_job_end(notice.job, std::nullopt); }

  /// Requests the stop of tasks on the machine whose award may have been removed. Must be called before each
  /// response to a worker: a response renews the worker's lease, so it has to carry the stop commands.
  void stop_stale_awards(Shard& shard, Machine& machine) { award_reader_.stop_stale_awards(shard, machine); }
  /// Applies award records to a shard that is being loaded. `requested_at`: when the read was requested
  /// (steady clock).
  void load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros requested_at) {
    award_reader_.load_awards(shard, entries, requested_at);
  }
  /// Applies records of finished tasks to a shard that is being loaded.
  static void load_progress(Shard& shard, const std::vector<KeyValue>& entries) {
    ProgressReader::load(shard, entries, ProgressRead::at_takeover);
  }

  const NegotiationCounters& counters() const { return counters_; }
  /// The number of calls for proposals that are not decided yet.
  std::size_t open_calls() const { return initiator_.open_calls(); }

 private:
  ControllerState& state_;
  NegotiationCounters counters_;
  QuotaTransfer quota_transfer_;
  Initiator initiator_;
  Participant participant_;
  AwardReader award_reader_;
  AwardReturns award_returns_;
  ProgressReader progress_reader_;
};

}  // namespace bendtide
