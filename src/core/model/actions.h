// The actions that the core returns for the shell (app/ or the simulated cluster) to execute.
#pragma once

#include <variant>

#include "core/model/cloud_messages.h"
#include "core/model/peer_messages.h"
#include "core/model/store_messages.h"
#include "core/model/user_messages.h"

namespace bendtide {

enum class LogLevel : std::uint8_t { error, info, debug };

/// A request to the key-value store. The response carries the same `call` number.
struct StoreCall {
  std::uint64_t call = 0;
  StoreRequest request;
};

/// A request to the cloud. The response carries the same `call` number.
struct CloudCall {
  std::uint64_t call = 0;
  CloudRequest request;
};

/// Commands for a worker. The response carries the same `call` number.
struct WorkerCall {
  std::uint64_t call = 0;
  CommandRequest request;
};

/// A message to another controller.
struct PeerSend {
  std::string host;
  PeerMessage message;
};

/// The reply to the user request with this number.
struct AnswerUser {
  std::uint64_t request = 0;
  UserReply reply;
};

/// The reply to the heartbeat with this request number.
struct AnswerHeartbeat {
  std::uint64_t request = 0;
  HeartbeatReply reply;
};

/// The response to the operator request with this number.
struct AnswerAdmin {
  std::uint64_t request = 0;
  int status = 200;  ///< HTTP status
  Value body;
};

struct LogLine {
  LogLevel level = LogLevel::info;
  std::string text;
};

using Action = std::variant<StoreCall, CloudCall, WorkerCall, PeerSend, AnswerUser, AnswerHeartbeat,
                            AnswerAdmin, LogLine>;

}  // namespace bendtide
