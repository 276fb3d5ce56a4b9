// Heartbeats and commands: the messages between workers and controllers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/ids.h"
#include "core/model/job.h"

namespace bendtide {

/// The phase of an attempt of a task on a worker.
enum class TaskPhase : std::uint8_t {
  fetching,  ///< fetches the image of the job
  running,
  saving,  ///< saves its state after a stop command
  exited   ///< has ended for the reason given by ExitCause
};

/// Why an attempt of a task exited.
enum class ExitCause : std::uint8_t {
  none,  ///< the attempt has not exited
  done,
  stopped,                 ///< by a stop command or by the platform
  failed,                  ///< the task itself failed
  insufficient_resources,  ///< the machine has too few free resources
  busy,                    ///< another attempt of the same task is on the machine
  unknown
};

/// The status of one attempt of a task on a machine.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::fetching;
  ExitCause cause = ExitCause::none;
};

/// The status of a machine, as reported by its worker. The statuses of one machine are ordered by
/// (incarnation, sequence_number).
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;            ///< increases whenever the worker restarts with no tasks
  std::uint64_t sequence_number = 0;        ///< increases with every status within an incarnation
  FencingToken fencing_token = 0;           ///< the highest token that the worker has seen
  std::optional<Micros> preemption_notice;  ///< time until the cloud preempts the machine
  std::vector<TaskStatus> tasks;
};

/// An instruction to a worker about one attempt of a task.
struct Command {
  enum class Kind : std::uint8_t {
    start,
    stop,
    forget  ///< remove an exited attempt from the worker's statuses
  };
  Kind kind = Kind::start;
  TaskId task;
  std::uint64_t attempt = 0;
  Micros grace{0};  ///< for a stop: the time that the task has to save its state
};

/// Commands that a controller pushes to a worker. The worker executes them only if its incarnation is the
/// given one and it has not seen a higher fencing token.
struct CommandRequest {
  std::string address;
  std::uint64_t incarnation = 0;
  FencingToken fencing_token = 0;
  std::vector<Command> commands;
};

/// The response to a CommandRequest.
struct CommandResponse {
  enum class Outcome : std::uint8_t {
    executed,
    refused,
    unknown  ///< no response: the commands may still be executed at any later time
  };
  Outcome outcome = Outcome::unknown;
  std::optional<Heartbeat> heartbeat;  ///< the worker's status after the request
};

/// The reply to a heartbeat. A reply with status 200 renews the worker's lease.
struct HeartbeatReply {
  /// HTTP status: 200, 421 (another controller leads the shard) or 503 (the worker sends the heartbeat
  /// again).
  int status = 503;
  FencingToken fencing_token = 0;
  std::vector<Command> commands;
  std::string redirect;  ///< with status 421: the host of the controller that leads the shard
};

}  // namespace bendtide
