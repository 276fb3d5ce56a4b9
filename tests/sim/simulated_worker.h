// The simulated worker of one machine. Implements the published protocol: incarnations, fencing tokens, the
// worker's lease, commands, images and tasks.
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

/// Reports the tasks that run on its machine to the checker. The parameter `now` is always the current time
/// of the caller's clock, which never goes back.
class SimulatedWorker {
 public:
  struct Hooks {
    std::function<const JobSpec*(const std::string&)> job;  ///< returns null for an unknown job id
    std::function<Micros(const TaskId&)> run_time;          ///< from the start of a task until it is done
    Checker* checker;
  };
  SimulatedWorker(SimulatedCloud::Machine& machine, const MachineType& type, const Settings& settings,
                  Hooks hooks, Micros now);

  /// Advances the worker to `now`: ends the phases of tasks that are due. If the lease has expired, ends all
  /// tasks and begins a new incarnation.
  void advance(Micros now);

  /// Returns whether the worker should send a heartbeat now.
  bool heartbeat_due(Micros now) const;
  /// Begins a heartbeat and returns its body. Only one heartbeat may be in flight: it must end with a call of
  /// on_heartbeat_response() or on_heartbeat_failure() before the next one begins.
  std::string begin_heartbeat(Micros now);
  /// Handles the response to the heartbeat in flight.
  void on_heartbeat_response(int status, const std::string& body, Micros now);
  /// Handles the lack of a usable response. The next heartbeat goes to another controller, after a delay.
  void on_heartbeat_failure(Micros now);
  /// Returns whether a heartbeat is in flight.
  bool heartbeat_in_flight() const { return heartbeat_in_flight_; }
  /// Returns the number of the latest heartbeat that was begun.
  std::uint64_t heartbeat_number() const { return heartbeat_number_; }

  /// Serves a command request, which a controller sends independently of heartbeats.
  Response handle_commands(const std::string& body, Micros now);

  /// Returns whether the worker holds this attempt, in any state.
  bool knows(const TaskId& task, std::uint64_t attempt) const { return tasks_.contains({task, attempt}); }
  /// Returns the resources of the machine that no task holds.
  Resources free() const;
  /// Returns the number of tasks that hold resources.
  std::size_t active_tasks() const;
  /// Returns whether none of the faults below affects the worker.
  bool is_healthy() const {
    return !hanging && !fails_tasks && !unreachable_inbound && !unreachable_outbound;
  }
  /// Ends all tasks immediately and removes them.
  void stop();
  /// Restarts the worker as a new incarnation without tasks; it is up again immediately.
  void restart(Micros now) {
    token_ = 0;
    begin_incarnation(now);
  }

  std::string target_controller;      ///< host of the controller that gets its heartbeats; empty: unknown
  std::size_t next_controller = 0;    ///< index of the next to try while `target_controller` is empty
  bool hanging = false;               ///< it executes and sends nothing
  bool fails_tasks = false;           ///< each task fails as soon as it starts
  bool unreachable_inbound = false;   ///< neither commands nor heartbeat responses reach it
  bool unreachable_outbound = false;  ///< its heartbeats reach no controller
  std::size_t failed_tasks = 0;       ///< number of tasks that failed on the machine

 private:
  using Key = std::pair<TaskId, std::uint64_t>;  ///< a task and the number of its attempt
  struct LocalTask {
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    Micros phase_ends_at{0};  ///< unused once the task has exited
  };
  /// Returns the state to report, with a new sequence number.
  Heartbeat status();
  void execute(const nlohmann::json& commands, Micros now);
  void execute_start(const Key& key, Micros now);
  void execute_stop(const Key& key, LocalTask& task, Micros grace, Micros now);
  /// Returns the initial state of a task: exited if it can't be started on this machine.
  LocalTask admit(const TaskId& task, Micros now) const;
  void end_phase(const Key& key, LocalTask& task, Micros now);
  void begin_running(const Key& key, LocalTask& task, Micros now);
  void begin_incarnation(Micros now);
  /// Tells the checker that a task has ended, if it was running or saving a checkpoint.
  void report_task_end(const Key& key, const LocalTask& task) const;

  SimulatedCloud::Machine& machine_;
  const MachineType type_;
  const Settings& settings_;
  Hooks hooks_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_number_ = 0;
  std::uint64_t token_ = 0;
  Micros lease_renewed_at_{0};
  Micros heartbeat_began_at_{0};
  Micros retry_at_{0};  ///< no heartbeat is due before this time
  std::uint64_t heartbeat_number_ = 0;
  std::uint64_t incarnation_at_heartbeat_ = 0;  ///< incarnation that began the latest heartbeat
  bool heartbeat_in_flight_ = false;
  bool changed_since_heartbeat_ = true;  ///< the state to report has changed since the latest heartbeat
  std::map<Key, LocalTask> tasks_;
  std::set<std::string> cached_images_;
};

}  // namespace bendtide::sim
