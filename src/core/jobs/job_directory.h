// What this controller knows of jobs without reading the key-value store: those of the shards it leads, the
// final states it remembers, and the shards of other jobs.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/jobs/replies.h"
#include "core/state/controller_state.h"

namespace bendtide {

class JobDirectory {
 public:
  explicit JobDirectory(ControllerState& state) : state_(state) {}

  /// The status of a job with a remembered final state, or of an unfinished job of a shard that is led here
  /// under a valid lease. None if only the key-value store or a peer knows it.
  std::optional<JobStatus> known_status(const std::string& job) const;

  /// An unfinished job that belongs to a ready shard led here; null without a valid lease.
  Shard* shard_with_own_job(const std::string& job);

  /// The reply itself, unless the job is known to be final and the reply is older than that. Every reply
  /// passes through here on its way out, so that no reply is older than a final state that is known here.
  UserReply replace_if_outdated(const UserReply& reply) const;

  /// Remembers the shard of an unfinished job, as just read from its record.
  void remember_shard(const records::LiveJob& record);

  /// The host that leads the job's shard; this host if the shard is not known.
  std::string leader_of(const std::string& job) const;

  /// Remembers a final state, and ends the job in all shards led here. One that differs from the state
  /// already remembered violates `Invariant::final_state_stays`.
  void record_final_state(const std::string& job, const FinalState& final_state);

  /// Adds a job to a shard, with all tasks waiting, unless the shard has it.
  static Job& load(Shard& shard, const records::LiveJob& record);

  /// Loads a job shown as unfinished by a response to a request made at `requested_at` (steady clock); null
  /// if that may be outdated.
  Job* load_if_current(Shard& shard, const records::LiveJob& record, Micros requested_at);

 private:
  static constexpr std::size_t kShardsRemembered = 4096;

  ControllerState& state_;
  std::map<std::string, std::string> shard_of_;  ///< job -> shard
};

}  // namespace bendtide
