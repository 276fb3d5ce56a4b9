// Actions: everything that the core asks the shell to do.
#pragma once

#include <variant>

#include "core/model/cloud_messages.h"
#include "core/model/peer_messages.h"
#include "core/model/store_messages.h"
#include "core/model/user_messages.h"

namespace bendtide {

enum class LogLevel : std::uint8_t { error, info, debug };

struct StoreCall {
  std::uint64_t call = 0;
  StoreRequest request;
};

struct CloudCall {
  std::uint64_t call = 0;
  CloudRequest request;
};

struct WorkerCall {
  std::uint64_t call = 0;
  CommandRequest request;
};

struct PeerSend {
  std::string host;
  PeerMessage message;
};

struct AnswerUser {
  std::uint64_t request = 0;
  UserReply reply;
};

struct AnswerHeartbeat {
  std::uint64_t request = 0;
  HeartbeatReply reply;
};

struct AnswerAdmin {
  std::uint64_t request = 0;
  int status = 200;
  Value body;
};

struct LogLine {
  LogLevel level = LogLevel::info;
  std::string text;
};

using Action = std::variant<StoreCall, CloudCall, WorkerCall, PeerSend, AnswerUser, AnswerHeartbeat,
                            AnswerAdmin, LogLine>;

}  // namespace bendtide
