// The bounded multi-round contract net between the shards: calls, proposals, awards, and the moving of
// shares.
//
// A message is only ever a hint of room. What counts is one conditional write per winner: it compares the
// version of both room records, so that one room is awarded once, and moves tasks and share together.
#pragma once

#include "core/placement/scheduler.h"

namespace bendtide {

class ContractNet {
 public:
  struct Hooks {
    std::function<void()> invalidate_leases;
  };
  ContractNet(ControllerState& state, Scheduler& scheduler, Hooks hooks);

  void tick();
  void on_call(const CallForProposals& call);
  void on_proposal(const Proposal& proposal);
  void on_quota_transfer_request(const QuotaTransferRequest& transfer);
  void on_award_notice(const std::string& shard);
  void on_job_end_notice(const JobEndNotice& ended);
  void on_progress_notice(const std::string& shard);
  /// Awarded tasks go once we can't tell any more whether they still are ours: their job may be cancelled. To
  /// be called before each answer to a worker, which renews its lease: no renewal without the stop.
  void stop_stale_awards(Shard& shard, Machine& m);
  /// Applies the award records of a shard when it is loaded.
  /// `asked`: when they were asked for.
  void load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros asked);
  /// The end of finished tasks as other shards recorded it.
  void load_progress(Shard& shard, const std::vector<KeyValue>& entries, bool own_too);

  struct Counters {
    std::uint64_t calls = 0, rounds = 0, awards = 0, conflicts = 0, infeasible = 0, quota_transfers = 0;
  };
  const Counters& counters() const { return counters_; }
  std::size_t open() const { return open_.size(); }

 private:
  struct Negotiation {
    std::string shard;
    std::uint64_t leadership_term;
    CallForProposals call;
    std::set<std::string> asked;
    std::map<std::string, Proposal> proposals;
    Micros until{0};
  };

  void start_calls(Shard& shard);
  bool may_be_awarded(const Job& job) const;
  void ask(Negotiation& n);
  void decide(std::uint64_t id);
  void request_quota(Shard& shard, const Job& job, const Negotiation& n);
  void mark_similar_refused(Shard& shard, const Job& refused);
  void award(Shard& shard, Job& job, const Proposal& best);
  /// A write that moves share out of a shard's room and perhaps an award with it.
  struct QuotaMove {
    std::string shard;
    std::uint64_t leadership_term = 0;
    std::string to;
    std::string team;
    Quota moved;
    std::string job;  ///< with an award
    std::string key;
    std::vector<std::uint32_t> tasks;
  };
  void commit_quota_move(Shard& shard, const QuotaMove& move, const std::optional<Write>& award,
                         Revision other_revision);
  void finish_quota_move(const QuotaMove& move, bool applied);
  void resolve_unknown_move(Shard& shard, const QuotaMove& move);
  void resolve_unknown_move_later(const QuotaMove& move);
  void read_quota_allocation(Shard& shard);
  void read_awards(Shard& shard);
  void read_progress(Shard& shard);
  void send(const std::string& shard, PeerMessage message);
  double score(const Proposal& p) const;

  static constexpr std::size_t kOpenNegotiations = 16;

  ControllerState& state_;
  Scheduler& scheduler_;
  Hooks hooks_;
  std::map<std::uint64_t, Negotiation> open_;
  std::uint64_t next_id_;
  Counters counters_;
};

}  // namespace bendtide
