// The contract net between the shards: a bounded number of rounds in which the leader of a shard that has no
// capacity for tasks finds another shard for them, or gets quota share from it.
//
// Messages are hints. What counts is one conditional write for each award: it
// compares the revisions of both shards' allocation records and moves tasks and quota share together, so that
// the same capacity is awarded once.
#pragma once

#include "core/negotiation/award_reader.h"
#include "core/negotiation/initiator.h"
#include "core/negotiation/participant.h"

namespace bendtide {

/// The contract net as the controller uses it. One job each: Initiator, Participant, QuotaTransfer and
/// AwardReader.
class ContractNet {
 public:
  struct Hooks {
    /// The outcome of a write suggests that a lease may be lost.
    std::function<void()> invalidate_leases;
  };
  ContractNet(ControllerState& state, Scheduler& scheduler, Hooks hooks);

  void tick();

  void on_call(const CallForProposals& call) { participant_.on_call(call); }
  void on_proposal(const Proposal& proposal) { initiator_.on_proposal(proposal); }
  void on_quota_transfer_request(const QuotaTransferRequest& request) { quota_transfer_.on_request(request); }
  void on_award_notice(const std::string& shard) { award_reader_.on_award_notice(shard); }
  void on_progress_notice(const std::string& shard) { award_reader_.on_progress_notice(shard); }
  void on_job_end_notice(const JobEndNotice& notice) { state_.record_job_end(notice.job, std::nullopt); }

  /// Stops the tasks on a machine whose award may have been removed. To be called before each response to a
  /// worker: a response renews the worker's lease, so it has to carry the stop commands.
  void stop_stale_awards(Shard& shard, Machine& machine) { award_reader_.stop_stale_awards(shard, machine); }
  /// Applies award records to a shard that is being loaded. `asked`: when they were asked for, on the steady
  /// clock.
  void load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros asked) {
    award_reader_.load_awards(shard, entries, asked);
  }
  /// Applies records of finished tasks to a shard that is being loaded.
  static void load_progress(Shard& shard, const std::vector<KeyValue>& entries) {
    AwardReader::load_progress(shard, entries, ProgressRead::at_takeover);
  }

  const NegotiationCounters& counters() const { return counters_; }
  /// Calls for proposals that are not decided yet.
  std::size_t open_calls() const { return initiator_.open_calls(); }

 private:
  ControllerState& state_;
  NegotiationCounters counters_;
  QuotaTransfer quota_transfer_;
  Initiator initiator_;
  Participant participant_;
  AwardReader award_reader_;
};

}  // namespace bendtide
