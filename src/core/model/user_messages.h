// Replies to users, and requests of operators.
#pragma once

#include <string>

#include "core/model/job.h"
#include "core/model/store_messages.h"

namespace bendtide {

/// The reply to a user's request about a job.
struct UserReply {
  int status = 503;  ///< HTTP status
  std::string id;    ///< of the job
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;     ///< tasks
  std::uint64_t running = 0;  ///< tasks
  int retry_after_s = 0;      ///< 0: no Retry-After
  std::string error;          ///< why the request failed; empty if it did not
};

struct AdminRequest {
  enum class What : std::uint8_t { policy, change_policy, shards, machines, jobs, negotiations };
  What what = What::policy;
  Value body;  ///< of a change
};

}  // namespace bendtide
