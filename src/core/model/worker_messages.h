// Messages between workers and controllers: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/ids.h"
#include "core/model/job.h"

namespace bendtide {

enum class TaskPhase : std::uint8_t { fetching, running, saving, exited };

enum class ExitCause : std::uint8_t { none, done, stopped, failed, no_room, busy, unknown };

struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::fetching;
  ExitCause cause = ExitCause::none;
};

/// A worker's status of its machine. (incarnation, sequence) commands the statuses of one machine.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  FencingToken fencing_token = 0;           ///< the highest the worker has seen
  std::optional<Micros> preemption_notice;  ///< until the cloud takes the machine away
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Kind : std::uint8_t { start, stop, forget };
  Kind kind = Kind::start;
  TaskId task;
  std::uint64_t attempt = 0;
  Micros grace{0};
};

struct CommandRequest {
  std::string address;
  std::uint64_t incarnation = 0;
  FencingToken fencing_token = 0;
  std::vector<Command> commands;
};

struct CommandResponse {
  enum class Outcome : std::uint8_t { executed, refused, unknown };
  Outcome outcome = Outcome::unknown;
  std::optional<Heartbeat> heartbeat;
};

struct HeartbeatReply {
  int status = 503;
  FencingToken fencing_token = 0;
  std::vector<Command> commands;
  std::string redirect;  ///< host of another controller, with 421
};

}  // namespace bendtide
