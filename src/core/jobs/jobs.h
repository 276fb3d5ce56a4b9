// Handling of the requests that users and peers make about jobs. Jobs is the interface to the classes in this
// folder:
//
//   JobDirectory          looks up jobs without reading the key-value store
//   PeerQueries           forwards requests to peers
//   JobPolls              answers polls and reads the records of jobs
//   Submissions           accepts jobs
//   Cancellations         cancels jobs
//   FinalStateWriter      writes the final states of jobs
//   FinishedTaskRecorder  records finished tasks
//   UnfinishedJobReader   finds jobs whose acceptance write got no response
//   clean_up_ended_jobs   stops the attempts of ended jobs and removes the jobs
#pragma once

#include <functional>
#include <string>

#include "core/jobs/cancellations.h"
#include "core/jobs/finished_task_recorder.h"
#include "core/jobs/submissions.h"

namespace bendtide {

class Jobs {
 public:
  using Hooks = Submissions::Hooks;
  Jobs(ControllerState& state, const Hooks& hooks);
  Jobs(const Jobs&) = delete;
  Jobs& operator=(const Jobs&) = delete;

  /// Performs all periodic work that is due.
  void tick();

  // Requests from users. Each gets exactly one reply: an AnswerUser action with the same `request` number.

  void on_submit(std::uint64_t request, const JobSpec& spec);
  /// Handles a submission of which only the job id is readable; `why` tells what is wrong with it.
  void on_invalid_submission(std::uint64_t request, const std::string& job, const std::string& why);
  void on_poll(std::uint64_t request, const std::string& job);
  void on_cancel(std::uint64_t request, const std::string& job);

  /// Handles a request that a peer forwards on behalf of a user.
  void on_query(const std::string& from_host, const JobQuery& query);
  /// Handles a peer's reply to a forwarded request.
  void on_reply(const JobReply& reply);

  /// Adds a job to a shard that is being loaded.
  static Job& load(Shard& shard, const records::LiveJob& record) { return JobDirectory::load(shard, record); }
  /// Remembers the shard of an unfinished job from the job's record, which was just read.
  void remember_shard(const records::LiveJob& record) { directory_.remember_shard(record); }

 private:
  ReplyCallback reply_to_user(std::uint64_t request);
  ReplyCallback reply_to_peer(const std::string& host, std::uint64_t query);

  ControllerState& state_;
  JobDirectory directory_;
  PeerQueries queries_;
  JobPolls polls_;
  FinalStateWriter final_states_;
  Cancellations cancellations_;
  UnfinishedJobReader unfinished_jobs_;
  Submissions submissions_;
  FinishedTaskRecorder recorder_;
};

}  // namespace bendtide
