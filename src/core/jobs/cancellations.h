// Cancellations of jobs by their users.
#pragma once

#include <string>
#include <vector>

#include "core/jobs/final_state_writer.h"
#include "core/jobs/job_polls.h"

namespace bendtide {

/// Cancels jobs. The leader of a job's shard writes the job's final state. Other controllers forward the
/// request to that leader, or to all peers if the job's record can't be read.
class Cancellations {
 public:
  Cancellations(ControllerState& state, JobDirectory& directory, PeerQueries& queries, JobPolls& polls,
                FinalStateWriter& final_states)
      : state_(state), directory_(directory), queries_(queries), polls_(polls), final_states_(final_states) {}

  /// Cancels a job and replies with its final state, which is not "cancelled" if the job had already ended in
  /// another state.
  void cancel(const std::string& job, const ReplyCallback& respond, RequestOrigin origin);

 private:
  struct Cancellation {
    std::string job;
    RequestOrigin origin = RequestOrigin::peer;
    Micros requested_at{0};  ///< steady clock
    ReplyCallback respond;
  };
  void cancel_locally(const Cancellation& cancellation, Shard& shard, Job& job);
  void forward_to(const std::string& host, const Cancellation& cancellation);
  void forward_to_all_peers(const Cancellation& cancellation);
  void on_live_record(const Cancellation& cancellation, const StoreResponse& response);

  ControllerState& state_;
  JobDirectory& directory_;
  PeerQueries& queries_;
  JobPolls& polls_;
  FinalStateWriter& final_states_;
};

}  // namespace bendtide
