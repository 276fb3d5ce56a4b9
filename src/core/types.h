// The field's words: jobs, tasks, machines, heartbeats and commands, free of any wire format.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace bendtide {

/// Amounts in thousandths, so that sums are exact.
struct Resources {
  std::int64_t cpu = 0;
  std::int64_t gpu = 0;
  std::int64_t memory = 0;

  auto operator<=>(const Resources&) const = default;
  Resources& operator+=(const Resources& o) {
    cpu += o.cpu, gpu += o.gpu, memory += o.memory;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpu -= o.cpu, gpu -= o.gpu, memory -= o.memory;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, std::int64_t n) { return {a.cpu * n, a.gpu * n, a.memory * n}; }
  bool fits_in(const Resources& o) const { return cpu <= o.cpu && gpu <= o.gpu && memory <= o.memory; }
  /// How many copies of `each` go into this.
  std::int64_t holds(const Resources& each) const {
    std::int64_t n = INT32_MAX;
    if (each.cpu > 0) n = std::min(n, std::max<std::int64_t>(0, cpu) / each.cpu);
    if (each.gpu > 0) n = std::min(n, std::max<std::int64_t>(0, gpu) / each.gpu);
    if (each.memory > 0) n = std::min(n, std::max<std::int64_t>(0, memory) / each.memory);
    return n;
  }
};

/// What a team's limit and guarantee speak of: memory is not limited.
struct Quota {
  std::int64_t cpu = 0;
  std::int64_t gpu = 0;

  auto operator<=>(const Quota&) const = default;
  Quota& operator+=(const Quota& o) {
    cpu += o.cpu, gpu += o.gpu;
    return *this;
  }
  Quota& operator-=(const Quota& o) {
    cpu -= o.cpu, gpu -= o.gpu;
    return *this;
  }
  friend Quota operator+(Quota a, const Quota& b) { return a += b; }
  friend Quota operator-(Quota a, const Quota& b) { return a -= b; }
  friend Quota operator*(Quota a, std::int64_t n) { return {a.cpu * n, a.gpu * n}; }
  bool fits_in(const Quota& o) const { return cpu <= o.cpu && gpu <= o.gpu; }
  std::int64_t holds(const Quota& each) const {
    return Resources{cpu, gpu, 0}.holds(Resources{each.cpu, each.gpu, 0});
  }
};

inline Quota quota_of(const Resources& r) { return {r.cpu, r.gpu}; }

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
  std::uint64_t fencing_token = 0;          ///< the highest the worker has seen
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

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Micros boot{0};
  std::vector<std::string> zones;
  bool operator==(const MachineType&) const = default;
};

enum class CloudPhase : std::uint8_t { booting, running, failed };

struct CloudMachine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  CloudPhase phase = CloudPhase::booting;
  Micros age{0};
};

/// Above all that can ever be used, and far from an overflow.
constexpr Quota kNoLimit{1'000'000'000'000'000, 1'000'000'000'000'000};

struct Team {
  std::string name;
  Quota guarantee;
  Quota limit;
};

}  // namespace bendtide
