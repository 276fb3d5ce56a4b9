// JSON of the published protocol <-> the core's types.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/model/actions.h"

namespace bendtide::wire {

struct HttpRequest {
  std::string method;
  std::string target;
  std::string body;
};

/// A value, or what is wrong with the text.
template <class T>
using Parsed = std::variant<T, std::string>;

// ---- requests that reach us ----------------------------------------------------------------------
bool is_job_id(std::string_view id);
Parsed<JobSpec> job_spec(std::string_view body);
/// The id in a submission that may lack anything else; empty if there is none.
std::string job_id_in(std::string_view body);
Parsed<Heartbeat> heartbeat(std::string_view body);

std::string body_of(const UserReply& reply);
std::string body_of(const HeartbeatReply& reply);

// ---- requests that we send, and their answers ----------------------------------------------------
HttpRequest request_of(const StoreRequest& request);
HttpRequest request_of(const CloudRequest& request);
HttpRequest request_of(const CommandRequest& request);

StoreResponse store_response(const StoreRequest& request, int status, std::string_view body);
CloudResponse cloud_response(const CloudRequest& request, int status, std::string_view body);
CommandResponse command_response(int status, std::string_view body);

// ---- the same protocol's other side, for stand-ins -------------------------------------------------
std::string body_of(const JobSpec& spec);
std::string body_of(const Heartbeat& heartbeat);

}  // namespace bendtide::wire
