// Jobs and tasks as users describe them.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide {

enum class Shape : std::uint8_t { array, service };

enum class Priority : std::uint8_t { low, normal, high, production };

enum class JobPhase : std::uint8_t { pending, running, done, cancelled };

/// For the log; users see the protocol's words (wire/).
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

inline bool is_final(JobPhase p) { return p == JobPhase::done || p == JobPhase::cancelled; }

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources each;
  std::vector<std::string> types;   ///< allowed machine types; empty: any
  std::optional<std::string> zone;  ///< the only allowed zone
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  std::string image;
  double image_gb = 0;
  Micros estimate{0};
  Micros checkpoint{0};
  Micros save{0};
  std::optional<Micros> deadline;  ///< after submission

  bool allows_type(const std::string& type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
  /// Its zone rules look at all of its tasks at once, so that one controller has to decide on them.
  bool needs_one_decider() const { return one_zone || spread; }
  bool operator==(const JobSpec&) const = default;
};

struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

}  // namespace bendtide
