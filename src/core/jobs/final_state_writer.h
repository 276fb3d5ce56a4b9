// The end of a job: the write of its final state.
#pragma once

#include <functional>
#include <string>

#include "core/jobs/job_directory.h"

namespace bendtide {

/// Writes the final states of the jobs of shards led here. A final state is written once: the transaction
/// holds only if the key-value store has none, and a stored one counts whatever this controller believes.
class FinalStateWriter {
 public:
  /// `invalidate_leases`: called on a conflict, which may mean that another controller leads the shard.
  FinalStateWriter(ControllerState& state, JobDirectory& directory, std::function<void()> invalidate_leases)
      : state_(state), directory_(directory), invalidate_leases_(std::move(invalidate_leases)) {}

  /// Writes the final state of all jobs of the shard whose tasks are done.
  void end_finished_jobs(Shard& shard);

  /// Writes the final state of a job. The reply shows the stored final state, or "unavailable" if the write
  /// failed or got no answer; in the latter case it is retried.
  void finalize(Shard& shard, Job& job, JobPhase phase, const ReplyCallback& respond);

 private:
  /// The write of a final state, retried until its outcome is known.
  struct FinalWrite {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::string job;
    JobPhase phase = JobPhase::done;
    bool outcome_unknown = false;  ///< an earlier try got no answer
  };
  void write(const FinalWrite& write, const ReplyCallback& respond);
  void on_written(const FinalWrite& write, const StoreResponse& response, const ReplyCallback& respond);
  /// Handles a conflict with a final state that is stored already.
  void read_stored_state(const FinalWrite& write, const ReplyCallback& respond);
  void on_stored_state(const FinalWrite& write, const StoreResponse& response, const ReplyCallback& respond);
  void conclude(const FinalWrite& write, JobPhase phase, const ReplyCallback& respond);
  void retry_later(const FinalWrite& write);
  Job* job_of(const FinalWrite& write);

  ControllerState& state_;
  JobDirectory& directory_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
