// Replies to requests about jobs: how each is put together, and who receives it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/model/user_messages.h"

namespace bendtide {

/// Receives the reply to one request; called exactly once.
using ReplyCallback = std::function<void(const UserReply&)>;

/// Where a request about a job came from. Only a user's request may be forwarded to peers: one that a peer
/// has forwarded is answered here, so that no request is forwarded twice.
enum class RequestOrigin : std::uint8_t { user, peer };

/// What a user may be told of a job.
struct JobStatus {
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;     ///< tasks
  std::uint64_t running = 0;  ///< tasks, including those awarded to other shards
};

namespace replies {

inline UserReply status(const std::string& job, const JobStatus& status, int http_status = 200) {
  return {http_status, job, status.phase, status.done, status.running, 0, {}};
}

inline UserReply no_such_job(const std::string& job) { return {404, job, {}, 0, 0, 0, "no such job"}; }

/// The request can't be answered or carried out now; its sender may repeat it.
inline UserReply unavailable(const std::string& job, int retry_after_s = 1) {
  return {503, job, {}, 0, 0, retry_after_s, "not able to tell now"};
}

/// The request is refused for good, with HTTP status `http_status`.
inline UserReply refusal(const std::string& job, int http_status, const std::string& reason) {
  return {http_status, job, {}, 0, 0, 0, reason};
}

}  // namespace replies

}  // namespace bendtide
