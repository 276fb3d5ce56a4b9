// Polls: what users are told of a job, from memory, from its leader, or from its records.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/jobs/job_directory.h"
#include "core/jobs/peer_queries.h"

namespace bendtide {

class JobPolls {
 public:
  JobPolls(ControllerState& state, JobDirectory& directory, PeerQueries& queries)
      : state_(state), directory_(directory), queries_(queries) {}

  /// Replies with a job's status. Polls about one job that is not known here share their reads: one is in
  /// flight at a time, and polls that come meanwhile wait for the next, as the one in flight may be older
  /// than what their users have been told already.
  void poll(const std::string& job, ReplyCallback respond, RequestOrigin origin);

  /// Replies with a job's status as its records show it: those of unfinished jobs first, then those of final
  /// ones. If the records can't be read, a user's request is forwarded to peers.
  void read(const std::string& job, const ReplyCallback& respond, RequestOrigin origin);

 private:
  /// Polls of one origin about one job.
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
  /// The key-value store does not answer this controller, but may answer a peer; and the leader of the job
  /// knows it without.
  void on_record_unavailable(const JobRead& read);
  void reply_with_unfinished(const JobRead& read, const records::LiveJob& record);

  static constexpr std::size_t kMaxWaiting = 512;

  ControllerState& state_;
  JobDirectory& directory_;
  PeerQueries& queries_;
  std::map<SharedPoll, std::vector<ReplyCallback>> polls_in_flight_;  ///< and those that wait for the next
};

}  // namespace bendtide
