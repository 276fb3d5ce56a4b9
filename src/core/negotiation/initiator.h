// The initiator of the contract net: calls for proposals for tasks that found no capacity in their own shard,
// compares the proposals of the other shards, and awards the tasks to the shard with the best proposal.
//
// A call goes to every shard whose leader is reachable. If the scores of the two best proposals are close,
// another round discloses the job's priority and deadline to the shards with a feasible proposal. A peer that
// does not answer in time counts as refusing.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/negotiation/quota_transfer.h"

namespace bendtide {

class Initiator {
 public:
  Initiator(ControllerState& state, QuotaTransfer& quota_transfer, NegotiationCounters& counters);

  /// Decides all calls that every participant has answered or that have timed out.
  void decide_due_calls();
  /// Sends calls for proposals for the jobs of the shard that are due for one, a limited number at a time.
  void start_calls(Shard& shard);
  void on_proposal(const Proposal& proposal);
  /// The number of calls that are not decided yet.
  std::size_t open_calls() const { return negotiations_.size(); }

 private:
  /// A call that is not decided yet.
  struct Negotiation {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    CallForProposals call;
    std::set<std::string> participants;         ///< names of the shards called in this round
    std::map<std::string, Proposal> proposals;  ///< received in this round, by shard
    Micros decide_at{0};                        ///< steady clock
  };

  static bool may_be_awarded(const Job& job);
  bool may_be_awarded_to(const Job& job, const std::string& shard) const;
  bool may_have_further_award(const Job& job) const;
  std::vector<Job*> jobs_due_for_call(Shard& shard) const;
  bool start_call(Shard& shard, Job& job);
  CallForProposals make_call(const Shard& shard, const Job& job);
  std::set<std::string> reachable_shards(const std::string& except) const;
  void send_call(Negotiation& negotiation);

  void decide(std::uint64_t call_id);
  std::vector<Proposal> feasible_proposals(const Negotiation& negotiation, const Job& job) const;
  bool are_best_scores_close(const std::vector<Proposal>& feasible) const;
  void start_next_round(Negotiation negotiation, const Job& job, const std::vector<Proposal>& feasible);
  void on_no_feasible_proposal(Shard& shard, Job& job, const Negotiation& negotiation);
  void request_quota(const Shard& shard, const Job& job, const Negotiation& negotiation);
  static void mark_similar_refused(Shard& shard, const Job& refused);
  void award(Shard& shard, Job& job, const Proposal& best);
  std::int64_t count_tasks_to_award(const Shard& shard, const Job& job, const Proposal& best) const;

  ControllerState& state_;
  QuotaTransfer& quota_transfer_;
  NegotiationCounters& counters_;
  std::map<std::uint64_t, Negotiation> negotiations_;  ///< by call id
  std::uint64_t next_call_id_;
};

}  // namespace bendtide
