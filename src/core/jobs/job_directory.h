// The jobs known to this controller without reading the key-value store.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/jobs/replies.h"
#include "core/state/controller_state.h"

namespace bendtide {

/// Looks up jobs in the shards that this controller leads and in the final states that it remembers, and
/// remembers which shards other unfinished jobs belong to.
class JobDirectory {
 public:
  explicit JobDirectory(ControllerState& state) : state_(state) {}

  /// Returns the status of a job whose final state is remembered, or of an unfinished job that belongs to a
  /// shard led by this controller under a valid lease. None if only the key-value store or a peer knows the
  /// status.
  std::optional<JobStatus> known_status(const std::string& job) const;

  /// Returns the shard that the job belongs to, if it is ready and led by this controller under a valid
  /// lease; null otherwise.
  Shard* shard_with_own_job(const std::string& job);

  /// Returns `reply`, or a reply with the job's final state if that is known and `reply` does not show it. An
  /// "unavailable" reply is returned unchanged. A reply that shows a different final state violates
  /// `Invariant::answers_agree` and is replaced by "unavailable". Every reply is passed through this function
  /// before it is sent, so that none shows a state older than a final state known to this controller.
  UserReply replace_if_outdated(const UserReply& reply) const;

  /// Remembers the shard of an unfinished job from the job's record, which was just read.
  void remember_shard(const records::LiveJob& record);

  /// Returns the host that leads the job's shard; this host if the shard is not known.
  std::string leader_of(const std::string& job) const;

  /// Remembers a final state and ends the job in all shards led by this controller. A state that differs from
  /// the one already remembered violates `Invariant::final_state_stays`.
  void record_final_state(const std::string& job, const FinalState& final_state);

  /// Adds a job to a shard, with all tasks waiting, unless the shard already contains it.
  static Job& load(Shard& shard, const records::LiveJob& record);

  /// Loads a job that is shown as unfinished by the response to a request made at `requested_at` (steady
  /// clock). Returns null if the response may be outdated.
  Job* load_if_current(Shard& shard, const records::LiveJob& record, Micros requested_at);

 private:
  static constexpr std::size_t kMaxRememberedShards = 4096;  ///< jobs whose shards are remembered

  ControllerState& state_;
  std::map<std::string, std::string> shard_of_;  ///< shard names by job id
};

}  // namespace bendtide
