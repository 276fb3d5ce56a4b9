// Polls of the status of jobs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/jobs/job_directory.h"
#include "core/jobs/peer_queries.h"

namespace bendtide {

/// Answers polls from memory, by querying the leader of the job's shard, or from the job's records in the
/// key-value store.
class JobPolls {
 public:
  JobPolls(ControllerState& state, JobDirectory& directory, PeerQueries& queries)
      : state_(state), directory_(directory), queries_(queries) {}

  /// Replies with a job's status. Polls for a job whose status is not known to this controller share reads:
  /// one read is in flight at a time, and polls that arrive in the meantime wait for the next one, because
  /// the result of the read in flight may be older than what their users have already been told.
  void poll(const std::string& job, ReplyCallback respond, RequestOrigin origin);

  /// Replies with a job's status from its records: first the record of unfinished jobs is read, then that of
  /// final ones. If the records can't be read, a user's request is forwarded to peers.
  void read(const std::string& job, const ReplyCallback& respond, RequestOrigin origin);

 private:
  /// Identifies polls that share a read: polls of one origin for one job.
  struct SharedPoll {
    std::string job;
    RequestOrigin origin = RequestOrigin::peer;
    auto operator<=>(const SharedPoll&) const = default;
  };
  void start(const SharedPoll& poll, std::vector<ReplyCallback> callers);
  void start_next(const SharedPoll& poll);

  /// A request to be answered from the records of a job.
  struct JobRead {
    std::string job;
    Micros requested_at{0};  ///< steady clock
    RequestOrigin origin = RequestOrigin::peer;
    ReplyCallback respond;
  };
  void on_live_record(const JobRead& read, const StoreResponse& response);
  void on_final_record(const JobRead& read, const StoreResponse& response);
  /// Forwards a user's request to all peers: the key-value store may respond to one of them, and the leader
  /// of the job's shard knows the status without reading it.
  void on_record_unavailable(const JobRead& read);
  void reply_with_unfinished(const JobRead& read, const records::LiveJob& record);

  static constexpr std::size_t kMaxWaiting = 512;  ///< polls that may wait for one shared read

  ControllerState& state_;
  JobDirectory& directory_;
  PeerQueries& queries_;
  /// The polls in flight, each with the callers that wait for the next one.
  std::map<SharedPoll, std::vector<ReplyCallback>> polls_in_flight_;
};

}  // namespace bendtide
