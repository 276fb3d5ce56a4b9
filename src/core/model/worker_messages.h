// Messages between workers and controllers: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/ids.h"
#include "core/model/job.h"

namespace bendtide {

/// What a worker does with an attempt of a task.
enum class TaskPhase : std::uint8_t {
  fetching,  ///< the image of its job
  running,
  saving,  ///< its state, after a stop command
  exited   ///< for the reason in ExitCause
};

/// Why an attempt of a task exited.
enum class ExitCause : std::uint8_t {
  none,  ///< it has not
  done,
  stopped,                 ///< as commanded, or by the platform
  failed,                  ///< by itself
  insufficient_resources,  ///< the machine has not enough of them free
  busy,                    ///< another attempt of the task is on the machine
  unknown
};

/// One attempt of a task on a machine.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::fetching;
  ExitCause cause = ExitCause::none;
};

/// A worker's status of its machine. The statuses of one machine are ordered by (incarnation, sequence
/// number).
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;            ///< grows whenever the worker begins anew with an empty machine
  std::uint64_t sequence_number = 0;        ///< grows with every status within an incarnation
  FencingToken fencing_token = 0;           ///< the highest the worker has seen
  std::optional<Micros> preemption_notice;  ///< until the cloud takes the machine away
  std::vector<TaskStatus> tasks;
};

/// What a worker is to do with one attempt of a task.
struct Command {
  enum class Kind : std::uint8_t {
    start,
    stop,
    forget  ///< drop an attempt that has exited from its statuses
  };
  Kind kind = Kind::start;
  TaskId task;
  std::uint64_t attempt = 0;
  Micros grace{0};  ///< of a stop: for the task to save its state
};

/// Commands that a controller pushes to a worker. The worker executes them only in this incarnation, and only
/// if it has seen no higher fencing token.
struct CommandRequest {
  std::string address;
  std::uint64_t incarnation = 0;
  FencingToken fencing_token = 0;
  std::vector<Command> commands;
};

struct CommandResponse {
  enum class Outcome : std::uint8_t {
    executed,
    refused,
    unknown  ///< no response: the commands may be executed at any later time
  };
  Outcome outcome = Outcome::unknown;
  std::optional<Heartbeat> heartbeat;  ///< the worker's status after the request
};

/// The reply to a heartbeat. One with status 200 renews the worker's lease.
struct HeartbeatReply {
  int status = 503;  ///< of HTTP: 200, 421 (another controller leads the shard) or 503 (send it again)
  FencingToken fencing_token = 0;
  std::vector<Command> commands;
  std::string redirect;  ///< host of another controller, with 421
};

}  // namespace bendtide
