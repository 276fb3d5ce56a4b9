// The protocol between users and controllers: decodes job submissions and encodes replies.
#pragma once

#include <string>
#include <string_view>

#include "core/model/user_messages.h"
#include "wire/object_reader.h"

namespace bendtide::wire {

/// Whether `id` is a well-formed job id: kJobIdPrefix followed by digits, at most 64 bytes in all.
[[nodiscard]] bool is_job_id(std::string_view id);

/// Decodes the body of a job submission.
[[nodiscard]] Parsed<JobSpec> parse_job_spec(std::string_view body);
/// Returns the job id from a submission whose other fields may be missing or invalid. Returns an empty string
/// if there is no valid id.
[[nodiscard]] std::string find_job_id(std::string_view body);

/// Encodes a reply.
std::string body_of(const UserReply& reply);
/// Encodes the submission that a user sends. Used by simulated users in tests.
std::string body_of(const JobSpec& spec);

}  // namespace bendtide::wire
