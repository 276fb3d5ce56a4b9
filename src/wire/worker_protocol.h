// Workers' side of the published protocol: heartbeats, commands and their answers.
#pragma once

#include <string>
#include <string_view>

#include "core/model/worker_messages.h"
#include "wire/http_request.h"
#include "wire/object_reader.h"

namespace bendtide::wire {

[[nodiscard]] Parsed<Heartbeat> parse_heartbeat(std::string_view body);
std::string body_of(const HeartbeatReply& reply);

HttpRequest request_of(const CommandRequest& request);
/// Reads a worker's answer to commands, which is a heartbeat. Without one that can be read, commands never
/// count as executed.
[[nodiscard]] CommandResponse parse_command_response(int status, std::string_view body);

/// The heartbeat that a worker sends, for the stand-ins of tests.
std::string body_of(const Heartbeat& heartbeat);

}  // namespace bendtide::wire
