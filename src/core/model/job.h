// Jobs and tasks as users describe them.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide {

enum class Shape : std::uint8_t {
  array,   ///< tasks that finish, each on its own
  service  ///< tasks that run, all at once, until the job is cancelled
};

enum class Priority : std::uint8_t { low, normal, high, production };

enum class JobPhase : std::uint8_t { pending, running, done, cancelled };

/// For the log; users see the names of the wire protocol (wire/).
inline const char* to_text(JobPhase phase) {
  switch (phase) {
    case JobPhase::pending:
      return "pending";
    case JobPhase::running:
      return "running";
    case JobPhase::done:
      return "done";
    case JobPhase::cancelled:
      break;
  }
  return "cancelled";
}

inline bool is_final(JobPhase phase) { return phase == JobPhase::done || phase == JobPhase::cancelled; }

/// A job as its user has submitted it.
struct JobSpec {
  std::string id;  ///< chosen by the user: the idempotency key of its submission
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources each;                   ///< of one task
  std::vector<std::string> types;   ///< allowed machine types; empty: any
  std::optional<std::string> zone;  ///< the only allowed zone
  bool one_zone = false;            ///< all tasks in the same zone
  bool spread = false;              ///< at most half of its tasks in one zone
  bool spot = false;                ///< may run on spot machines
  std::string image;
  double image_gb = 0;
  Micros estimate{0};              ///< duration of one task
  Micros checkpoint{0};            ///< interval between checkpoints; 0: none
  Micros save{0};                  ///< duration of a checkpoint
  std::optional<Micros> deadline;  ///< after submission

  bool allows_type(const std::string& type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
  /// Whether one controller has to place all tasks, as zone rules concern them all at once.
  bool needs_one_decider() const { return one_zone || spread; }
  bool operator==(const JobSpec&) const = default;
};

struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

/// For the log: "JOB/INDEX".
inline std::string to_string(const TaskId& task) { return task.job + "/" + std::to_string(task.index); }

}  // namespace bendtide
