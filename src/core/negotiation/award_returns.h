// Returns awarded tasks that a shard cannot start to the shard that owns their job.
//
// An award is based on capacity that the winner had at the time. The winner may lose that capacity before the
// tasks start, or while they run. The owner then has to be able to place the tasks elsewhere. A return is one
// transaction that removes the tasks from the award record, on condition that the record has the revision
// last read. The tasks do not start at the winner from the moment at which the transaction is handed to the
// key-value store client until it is known to have failed, and the owner does not start them before it has
// read the changed record (AwardReader). A task is therefore never started in both shards.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/negotiation/negotiation_counters.h"
#include "core/state/controller_state.h"

namespace bendtide {

class AwardReturns {
 public:
  /// `invalidate_leases` is called when the outcome of a write suggests that a lease may have been lost.
  AwardReturns(ControllerState& state, NegotiationCounters& counters,
               std::function<void()> invalidate_leases);

  /// Returns the waiting tasks of an award that has been without capacity for too long, if there is one and
  /// no other return of the shard is in flight. Must be called only while the awards may be acted on.
  void return_unplaced_tasks(Shard& shard);

 private:
  /// A return whose outcome is not known yet.
  struct PendingReturn {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::string job;
    std::string owner;
    Compare award;  ///< the award record, at the revision that the return applies to
    std::vector<std::uint32_t> tasks{};
    std::vector<records::TaskRange> remaining{};  ///< the tasks that stay awarded
    bool keeps_award = true;       ///< whether the record is kept, although perhaps without tasks
    bool outcome_unknown = false;  ///< a write got no response: it may have been applied, or may still be
  };

  bool may_return(const Job& job) const;
  Job* job_to_return(Shard& shard) const;
  /// Returns none if no waiting task of the job can be returned.
  std::optional<PendingReturn> make_return(const Shard& shard, const Job& job) const;
  void write(const PendingReturn& pending);
  void on_written(const PendingReturn& pending, const StoreResponse& response);
  void retry_later(const PendingReturn& pending);
  void finish(const PendingReturn& pending, std::optional<Revision> written);
  void record_returned(Shard& shard, Job& job, const PendingReturn& pending, Revision written);

  ControllerState& state_;
  NegotiationCounters& counters_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
