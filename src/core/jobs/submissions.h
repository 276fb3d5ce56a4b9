// Validation of job submissions and their writes to the key-value store in batches.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/jobs/job_polls.h"
#include "core/jobs/unfinished_job_reader.h"

namespace bendtide {

/// Accepts jobs into this controller's own shard. The job id is the idempotency key: a repeated submission is
/// answered with the job's status. A job is accepted once its record is written. If the outcome of that write
/// is unknown, a later poll, a repeated submission or UnfinishedJobReader finds the job.
class Submissions {
 public:
  struct Hooks {
    std::function<void(Shard&)> schedule;  ///< called after jobs were accepted into the shard
    /// Called on a conflict, because another controller may lead the shard.
    std::function<void()> invalidate_leases;
  };
  Submissions(ControllerState& state, JobDirectory& directory, PeerQueries& queries, JobPolls& polls,
              UnfinishedJobReader& reader, Hooks hooks)
      : state_(state),
        directory_(directory),
        queries_(queries),
        polls_(polls),
        reader_(reader),
        hooks_(std::move(hooks)) {}

  /// Replies with the job's status once it is accepted, or with the reason why it is not.
  void submit(const JobSpec& spec, ReplyCallback respond, RequestOrigin origin);
  /// Replies with `refusal`, unless the job was accepted earlier, perhaps under other settings or with
  /// another request body. In that case the job stays accepted, and the reply shows its status.
  void refuse(const UserReply& refusal, ReplyCallback respond, RequestOrigin origin);
  /// Writes queued submissions, up to the limit of writes in flight.
  void write_queued();
  /// Replies "unavailable" to all queued submissions if they can't be written at present.
  void fail_unwritable();

 private:
  /// A submission that is not accepted yet, with the callers waiting for it.
  struct Submission {
    records::LiveJob record;
    std::vector<ReplyCallback> callbacks;
  };
  /// Submissions that are written in one transaction.
  struct Batch {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    Micros requested_at{0};  ///< steady clock; when the write was requested
    std::vector<Submission> submissions;
  };

  bool can_accept() const;
  /// Returns why the job can never run in this cluster; none if it can.
  std::optional<std::string> reason_to_reject(const JobSpec& spec) const;
  /// Returns the callers waiting for the submission of a job that is queued or being written; null if there
  /// is no such submission.
  std::vector<ReplyCallback>* callers_of(const std::string& job);
  std::size_t max_queued() const;

  Batch take_batch(const Shard& shard);
  static Transaction transaction_for(const Batch& batch);
  void on_written(Batch batch, const StoreResponse& response);
  void accept(Submission& submission, const Batch& batch, const StoreResponse& response);
  void on_not_written(Batch& batch, const StoreResponse& response);
  void reply_from_records(const Submission& submission);

  static constexpr std::size_t kMaxWritesInFlight = 2;

  ControllerState& state_;
  JobDirectory& directory_;
  PeerQueries& queries_;
  JobPolls& polls_;
  UnfinishedJobReader& reader_;
  Hooks hooks_;
  std::deque<Submission> queued_;
  /// By id of each job being written: the callers that have submitted it again in the meantime.
  std::map<std::string, std::vector<ReplyCallback>> in_flight_;
  std::size_t writes_in_flight_ = 0;
};

}  // namespace bendtide
