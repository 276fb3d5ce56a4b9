// Construction of the replies to requests about jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/model/user_messages.h"

namespace bendtide {

/// Receives the reply to one request; called exactly once.
using ReplyCallback = std::function<void(const UserReply&)>;

/// The sender of a request about a job. Only a user's request may be forwarded to peers. A request forwarded
/// by a peer is answered by this controller, so that no request is forwarded twice.
enum class RequestOrigin : std::uint8_t { user, peer };

/// The status of a job as shown to users.
struct JobStatus {
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;     ///< number of finished tasks
  std::uint64_t running = 0;  ///< number of tasks in progress, including those awarded to other shards
};

namespace replies {

inline UserReply status(const std::string& job, const JobStatus& status, int http_status = 200) {
  return {http_status, job, status.phase, status.done, status.running, 0, {}};
}

inline UserReply no_such_job(const std::string& job) { return {404, job, {}, 0, 0, 0, "no such job"}; }

/// The request can't be answered or carried out now. The sender may retry it after `retry_after_s` seconds.
inline UserReply unavailable(const std::string& job, int retry_after_s = 1) {
  return {503, job, {}, 0, 0, retry_after_s, "not able to tell now"};
}

/// The request is permanently refused with HTTP status `http_status`.
inline UserReply refusal(const std::string& job, int http_status, const std::string& reason) {
  return {http_status, job, {}, 0, 0, 0, reason};
}

}  // namespace replies

}  // namespace bendtide
