// Users' side of the published protocol: submissions, and the answers to users.
#pragma once

#include <string>
#include <string_view>

#include "core/model/user_messages.h"
#include "wire/object_reader.h"

namespace bendtide::wire {

/// Whether `id` has the form of a job's id: the protocol's prefix and digits, 64 bytes at most.
[[nodiscard]] bool is_job_id(std::string_view id);

/// Reads a submission.
[[nodiscard]] Parsed<JobSpec> parse_job_spec(std::string_view body);
/// The id in a submission that may lack anything else; empty if there is none.
[[nodiscard]] std::string find_job_id(std::string_view body);

std::string body_of(const UserReply& reply);
/// The submission that a user sends, for the stand-ins of tests.
std::string body_of(const JobSpec& spec);

}  // namespace bendtide::wire
