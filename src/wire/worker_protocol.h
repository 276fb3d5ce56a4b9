// The protocol between workers and controllers: heartbeats, commands and their responses.
#pragma once

#include <string>
#include <string_view>

#include "core/model/worker_messages.h"
#include "wire/http_request.h"
#include "wire/object_reader.h"

namespace bendtide::wire {

/// Decodes a heartbeat.
[[nodiscard]] Parsed<Heartbeat> parse_heartbeat(std::string_view body);
/// Encodes the reply to a heartbeat.
std::string body_of(const HeartbeatReply& reply);

/// Encodes a request to execute commands.
HttpRequest request_of(const CommandRequest& request);
/// Decodes the response of a worker to commands, which contains a heartbeat. Without a valid heartbeat the
/// outcome is never `executed`.
[[nodiscard]] CommandResponse parse_command_response(int status, std::string_view body);

/// Encodes the heartbeat that a worker sends. Used by simulated workers in tests.
std::string body_of(const Heartbeat& heartbeat);

}  // namespace bendtide::wire
