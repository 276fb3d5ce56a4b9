// The simulated worker of one machine, by the published protocol: incarnations, fencing tokens, its lease,
// commands, images and tasks.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>

#include "core/model/worker_messages.h"
#include "sim/checker.h"
#include "sim/simulated_cloud.h"

namespace bendtide::sim {

/// Reports to the checker which tasks are on its machine. `now` is always the time of the caller's clock and
/// never decreases.
class SimulatedWorker {
 public:
  struct Hooks {
    std::function<const JobSpec*(const std::string&)> job;  ///< null for an unknown job
    std::function<Micros(const TaskId&)> run_time;
    Checker* checker;
  };
  SimulatedWorker(SimulatedCloud::Machine& machine, const MachineType& type, const Settings& settings,
                  Hooks hooks, Micros now);

  /// Lets time pass: fetches images, runs tasks to their ends, and ends the lease.
  void advance(Micros now);

  bool heartbeat_due(Micros now) const;
  /// Begins a heartbeat and returns its body. One at a time: it ends with one of the two calls below.
  std::string begin_heartbeat(Micros now);
  void heartbeat_answered(int status, const std::string& body, Micros now);
  /// Without an answer: the next heartbeat goes to another controller.
  void heartbeat_failed(Micros now);
  /// Whether a heartbeat is under way.
  bool awaits_answer() const { return awaits_answer_; }
  /// Number of the heartbeat begun last.
  std::uint64_t heartbeat_number() const { return heartbeat_number_; }

  /// Serves commands that are sent directly, between heartbeats.
  Response handle_commands(const std::string& body, Micros now);

  /// What the tasks on the machine leave free.
  Resources free() const;
  /// Number of tasks that hold resources.
  std::size_t active_tasks() const;
  bool is_healthy() const {
    return !hanging && !fails_tasks && !unreachable_inbound && !unreachable_outbound;
  }
  /// All tasks end.
  void stop();
  /// Comes back at once as a new incarnation, without its tasks.
  void restart(Micros now) { begin_incarnation(now); }

  std::string target;                 ///< the controller it reports to; empty: none is known
  std::size_t next_controller = 0;    ///< the one to be tried next if none is known
  bool hanging = false;               ///< executes nothing and sends nothing
  bool fails_tasks = false;           ///< every task that starts here fails at once
  bool unreachable_inbound = false;   ///< neither commands nor answers reach it
  bool unreachable_outbound = false;  ///< its heartbeats reach no controller
  std::size_t failures = 0;           ///< tasks that failed here

 private:
  using Key = std::pair<TaskId, std::uint64_t>;
  struct LocalTask {
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    Micros phase_ends_at{0};
  };
  Heartbeat status();
  void execute(const nlohmann::json& commands, Micros now);
  void execute_start(const Key& key, Micros now);
  void execute_stop(const Key& key, LocalTask& task, Micros grace, Micros now);
  LocalTask admit(const TaskId& task, Micros now) const;
  void end_phase(const Key& key, LocalTask& task, Micros now);
  void begin_running(const Key& key, LocalTask& task, Micros now);
  void begin_incarnation(Micros now);
  /// Tells the checker that a task is no longer on the machine, if it was.
  void record_end(const Key& key, const LocalTask& task) const;

  SimulatedCloud::Machine& machine_;
  const MachineType type_;
  const Settings& settings_;
  Hooks hooks_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_number_ = 0;
  std::uint64_t token_ = 0;
  Micros lease_renewed_at_{0};
  Micros heartbeat_began_at_{0};
  Micros retry_at_{0};
  std::uint64_t heartbeat_number_ = 0;
  std::uint64_t heartbeat_incarnation_ = 0;
  bool awaits_answer_ = false;
  bool changed_ = true;  ///< since the last heartbeat
  std::map<Key, LocalTask> tasks_;
  std::set<std::string> images_;
};

}  // namespace bendtide::sim
