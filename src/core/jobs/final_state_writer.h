// Writes of the final states of jobs.
#pragma once

#include <functional>
#include <string>

#include "core/jobs/job_directory.h"

namespace bendtide {

/// Writes the final states of the jobs in shards led by this controller. A final state is written only once:
/// the transaction fails if the key-value store already holds one, and the stored state takes precedence over
/// what this controller was about to write.
class FinalStateWriter {
 public:
  /// `invalidate_leases` is called on a conflict, because another controller may lead the shard.
  FinalStateWriter(ControllerState& state, JobDirectory& directory, std::function<void()> invalidate_leases)
      : state_(state), directory_(directory), invalidate_leases_(std::move(invalidate_leases)) {}

  /// Writes the final state "done" of all jobs of the shard whose tasks are all done.
  void end_finished_jobs(Shard& shard);

  /// Writes the final state of a job. The reply shows the stored final state, or "unavailable" if the write
  /// failed or got no response. A write without a response is retried.
  void finalize(Shard& shard, Job& job, JobPhase phase, const ReplyCallback& respond);

 private:
  /// The write of one final state, which is retried until its outcome is known.
  struct FinalWrite {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::string job;
    JobPhase phase = JobPhase::done;
    bool outcome_unknown = false;  ///< an earlier attempt to write it got no response
    /// The lease record had changed as well when the write conflicted: the next leader may have ended the
    /// job.
    bool lease_superseded = false;
  };
  void write(const FinalWrite& write, const ReplyCallback& respond);
  void on_written(const FinalWrite& write, const StoreResponse& response, const ReplyCallback& respond);
  /// Handles a conflict with a final state that is already stored.
  void read_stored_state(const FinalWrite& write, const ReplyCallback& respond);
  void on_stored_state(const FinalWrite& write, const StoreResponse& response, const ReplyCallback& respond);
  /// Ends the job in the final state that is known to be stored, and replies with it.
  void conclude(const FinalWrite& write, JobPhase phase, const ReplyCallback& respond);
  void retry_later(const FinalWrite& write);
  Job* job_of(const FinalWrite& write);

  ControllerState& state_;
  JobDirectory& directory_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
