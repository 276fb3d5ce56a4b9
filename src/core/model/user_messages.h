// Replies to users, and requests from operators.
#pragma once

#include <string>

#include "core/model/job.h"
#include "core/model/store_messages.h"

namespace bendtide {

/// The reply to a user's request about a job.
struct UserReply {
  int status = 503;  ///< HTTP status
  std::string id;    ///< id of the job
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;     ///< number of finished tasks
  std::uint64_t running = 0;  ///< number of running tasks
  int retry_after_s = 0;      ///< value of the Retry-After header in seconds; 0: no such header
  std::string error;          ///< error message for the user; empty if the request succeeded
};

/// A request on the administration API.
struct AdminRequest {
  enum class Kind : std::uint8_t { policy, change_policy, shards, machines, jobs, negotiations };
  Kind kind = Kind::policy;
  Value body;  ///< the fields to change, for change_policy only
};

}  // namespace bendtide
