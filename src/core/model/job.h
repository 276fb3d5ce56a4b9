// Jobs and tasks as users specify them.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide {

enum class Shape : std::uint8_t {
  array,   ///< tasks that run independently, each until it finishes
  service  ///< tasks that all run at the same time until the job is cancelled
};

enum class Priority : std::uint8_t { low, normal, high, production };

enum class JobPhase : std::uint8_t { pending, running, done, cancelled };

/// Returns the name of a phase in log lines. Users see the names of the wire protocol (wire/).
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

/// A job as submitted by its user.
struct JobSpec {
  std::string id;  ///< chosen by the user; the idempotency key of the submission
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources task_resources;         ///< required by one task
  std::vector<std::string> types;   ///< allowed machine types; empty: any
  std::optional<std::string> zone;  ///< the only allowed zone; none: any zone
  bool one_zone = false;            ///< whether all tasks must run in the same zone
  bool spread = false;              ///< whether at most half of the tasks may run in one zone
  bool spot = false;                ///< whether the tasks may run on spot machines
  std::string image;
  double image_gb = 0;                ///< size of the image
  Micros estimated_task_duration{0};  ///< expected duration of one task
  Micros checkpoint_interval{0};      ///< interval between checkpoints; 0: the tasks save none
  Micros save_duration{0};            ///< time that saving a checkpoint takes
  std::optional<Micros> deadline;     ///< relative to the submission; none: no deadline

  bool allows_type(const std::string& type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
  /// Whether a single controller must place all tasks, because a zone rule applies to all of them together.
  bool needs_single_controller() const { return one_zone || spread; }
  bool operator==(const JobSpec&) const = default;
};

struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

/// Returns the name of a task in log lines: "JOB/INDEX".
inline std::string to_string(const TaskId& task) { return task.job + "/" + std::to_string(task.index); }

}  // namespace bendtide
