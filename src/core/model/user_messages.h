// Answers to users, and requests of operators.
#pragma once

#include <string>

#include "core/model/job.h"
#include "core/model/store_messages.h"

namespace bendtide {

struct UserReply {
  int status = 503;
  std::string id;
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
  int retry_after_s = 0;
  std::string error;
};

struct AdminRequest {
  enum class What : std::uint8_t { policy, change_policy, shards, machines, jobs, negotiations };
  What what = What::policy;
  Value body;  ///< of a change
};

}  // namespace bendtide
