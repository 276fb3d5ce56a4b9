// Jobs as users and peers know them: the front of the classes in this folder.
//
//   JobDirectory          what is known of jobs without a read
//   PeerQueries         requests forwarded to peers
//   JobPolls              polls, and reads of a job's records
//   Submissions           acceptance of jobs
//   Cancellations         cancellations
//   FinalStateWriter      the write that ends a job
//   FinishedTaskRecorder  records of finished tasks
//   UnfinishedJobReader   finds jobs whose acceptance got no answer
//   clean_up_ended_jobs   stops what is left of ended jobs
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

  /// Does everything that is due.
  void tick();

  // Requests of users; each gets one reply, an AnswerUser action with its `request` number.
  void on_submit(std::uint64_t request, const JobSpec& spec);
  /// A submission of which only the job's id can be read.
  void on_malformed(std::uint64_t request, const std::string& job, const std::string& why);
  void on_poll(std::uint64_t request, const std::string& job);
  void on_cancel(std::uint64_t request, const std::string& job);

  /// A request that a peer forwards for its user.
  void on_query(const std::string& from_host, const JobQuery& query);
  /// A peer's reply to a forwarded request.
  void on_reply(const JobReply& reply);

  /// Adds a job to a shard that is being loaded.
  static Job& load(Shard& shard, const records::LiveJob& record) { return JobDirectory::load(shard, record); }
  /// Remembers the shard of an unfinished job, as just read from its record.
  void learn_shard(const records::LiveJob& record) { directory_.remember_shard(record); }

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
