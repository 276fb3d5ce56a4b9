// Late copies of start commands. A network may deliver a request a second time, long after it was carried out
// and answered. This class keeps copies of such requests and delivers each of them again and again, so that
// copies arrive in every situation that a test provokes. None of them may start anything.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/model/worker_messages.h"
#include "sim/checker.h"

namespace bendtide::sim {

class SimulatedWorker;

/// What came back between a start command and its copy.
enum class Comeback : std::uint8_t {
  controller,  ///< the process that sent the command was restarted
  leader,      ///< the machine's shard was acquired by another process
  machine,     ///< the machine or its worker hung, was unreachable, or was restarted
  count
};

/// Whether the worker still knows the attempt of the command.
enum class AttemptMemory : std::uint8_t {
  known,    ///< it runs, or has ended and was not cleared yet
  cleared,  ///< the worker was told to forget it, or has begun a new incarnation
  count
};

/// What happened to the task between the start command and its copy.
enum class TaskFate : std::uint8_t {
  unchanged,
  moved,      ///< it runs on another machine
  cancelled,  ///< a user was told that its job is cancelled
  count
};

const char* to_text(Comeback comeback);
const char* to_text(AttemptMemory memory);
const char* to_text(TaskFate fate);

class LateStartCopies {
 public:
  /// Returns the worker of a machine that a message reaches now; null if there is none.
  using FindWorker = std::function<SimulatedWorker*(const std::string& machine)>;

  explicit LateStartCopies(const Checker& checker) : checker_(checker) {}

  /// Keeps a copy of a command request that the machine has just carried out, if it contains a start. The
  /// oldest copies for a machine are dropped. `sender` and `shard` may be empty if they are not known.
  void record(const std::string& machine, const std::string& body, const std::string& sender,
              const std::string& shard);
  // What came back, of interest for the copies of the sender, the shard or the machine. An empty name
  // concerns all copies.
  void on_controller_returned(const std::string& host);
  void on_leader_changed(const std::string& shard);
  void on_machine_returned(const std::string& machine);
  /// Delivers every copy once more.
  void deliver(const FindWorker& find_worker, Micros now);

  /// Number of attempts that a copy started.
  std::size_t started_attempts() const { return started_attempts_; }
  /// Number of copied start commands that were delivered in this situation.
  std::size_t delivered(Comeback comeback, AttemptMemory memory, TaskFate fate) const {
    return delivered_.at(index(comeback, memory, fate));
  }
  /// A description of each situation in which no copy was delivered.
  std::vector<std::string> missing_situations() const;
  /// A description of each pair of a comeback, a memory and a fate that no delivered copy combined. For runs
  /// in real time, in which a rare situation may be missing by chance.
  std::vector<std::string> missing_pairs() const;
  /// One line with the number of copied start commands that were delivered in each situation.
  std::string summary() const;

 private:
  struct Situation {
    Comeback comeback;
    AttemptMemory memory;
    TaskFate fate;
    std::string text() const;
  };
  static std::vector<Situation> all_situations();
  struct Copy {
    std::string body;
    std::string sender;
    std::string shard;
    std::vector<std::pair<TaskId, std::uint64_t>> starts;  ///< task and attempt
    std::array<bool, static_cast<std::size_t>(Comeback::count)> came_back{};
  };
  static std::size_t index(Comeback comeback, AttemptMemory memory, TaskFate fate) {
    constexpr auto memories = static_cast<std::size_t>(AttemptMemory::count);
    constexpr auto fates = static_cast<std::size_t>(TaskFate::count);
    return (static_cast<std::size_t>(comeback) * memories + static_cast<std::size_t>(memory)) * fates +
           static_cast<std::size_t>(fate);
  }
  TaskFate fate_of(const TaskId& task, const std::string& machine) const;
  void deliver_to(SimulatedWorker& worker, const std::string& machine, const Copy& copy, Micros now);

  const Checker& checker_;
  std::map<std::string, std::deque<Copy>> copies_;  ///< by machine, the oldest first
  std::size_t started_attempts_ = 0;
  std::array<std::size_t, static_cast<std::size_t>(Comeback::count) *
                              static_cast<std::size_t>(AttemptMemory::count) *
                              static_cast<std::size_t>(TaskFate::count)>
      delivered_{};
};

}  // namespace bendtide::sim
