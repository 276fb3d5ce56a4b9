// Manages the machines of the shards that this controller leads: receives heartbeats and sends commands.
//
//   HeartbeatRouter   routes a heartbeat to the leader of its machine's shard
//   Fleet             applies the statuses of the machines, replies to heartbeats, and pushes commands
//   TaskTracker       tracks the tasks on a machine
//   CommandBuilder    builds the commands that a machine needs
//   WorkerCalls       tracks pushed commands and probes that await a response
//   FailureDetector   detects failed machines
#pragma once

#include "core/ownership/machine_ownership.h"
#include "core/workers/command_builder.h"
#include "core/workers/failure_detector.h"
#include "core/workers/heartbeat_router.h"
#include "core/workers/task_tracker.h"
#include "core/workers/worker_calls.h"

namespace bendtide {

class Fleet {
 public:
  struct Hooks {
    std::function<void(Shard&, Machine&)> place_waiting_tasks;  ///< places waiting tasks on the machine
    std::function<void()> invalidate_leases;  ///< requests that the lease records be read again
  };

  Fleet(ControllerState& state, Hooks hooks);

  void tick();
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat);
  void on_command_response(std::uint64_t call, const CommandResponse& response);
  void on_shard_ready(Shard& shard);
  void on_shard_lost(const std::string& shard) { ownership_.on_shard_lost(shard); }

  /// Returns what this leader of the shard knows about its silent machines, for the next leader.
  std::vector<UnreachableMachine> unreachable_machines(const Shard& shard) const;
  /// Restores what the previous leader knew about machines that may never contact this controller.
  void restore_unreachable_machines(Shard& shard);

  /// Probes a worker and calls `done` with whether it is reachable.
  void probe(const std::string& address, WorkerCalls::ProbeCallback done);
  /// Sends the commands that should not wait for the next heartbeat.
  void push_commands(Shard& shard);

  /// Adds a machine that the shard owns. `reconciled` means that no unknown task can be on it.
  Machine& add(Shard& shard, const Machine& machine, bool reconciled);
  /// Removes a machine that was deleted, and releases its tasks.
  void remove(Shard& shard, const std::string& machine);
  /// Returns whether tasks may be placed on the machine now.
  bool is_usable(const Machine& machine) const { return failures_.is_usable(machine); }
  /// Returns whether the machine may still be booting.
  bool may_be_booting(const Machine& machine) const { return failures_.may_be_booting(machine); }
  MachineOwnership& ownership() { return ownership_; }

 private:
  /// Whether the last reply to a heartbeat should have a visible effect, and whether the next heartbeat shows
  /// it.
  struct ReplyEffect {
    bool expected = false;
    bool seen = false;
  };

  // ---- heartbeats of machines of the shards led here (fleet_heartbeats.cpp) --------------------

  void on_own_heartbeat(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat);
  Machine* accept_heartbeat(Shard& shard, const Heartbeat& heartbeat) const;
  void check_token_acknowledgement(Shard& shard, Machine& machine, const Heartbeat& heartbeat);
  std::vector<Command> reply_to_status(Shard& shard, Machine& machine, const Heartbeat& heartbeat,
                                       Micros previous_reply_at);
  std::vector<Command> reply_to_untrusted_status(Shard& shard, Machine& machine, const Heartbeat& heartbeat);
  void check_early_incarnation(Shard& shard, Machine& machine, const Heartbeat& heartbeat,
                               Micros previous_reply_at);

  // ---- statuses, in heartbeats or responses (fleet_statuses.cpp) -----------------------------------

  enum class StatusSource : std::uint8_t { heartbeat, command_response };
  static bool is_trusted(const Shard& shard, const Heartbeat& status);
  void begin_incarnation(Machine& machine, std::uint64_t incarnation) const;
  void apply_status(Shard& shard, Machine& machine, const Heartbeat& status, StatusSource source);
  void apply_incarnation(Shard& shard, Machine& machine, const Heartbeat& status);
  void mark_up(Shard& shard, Machine& machine);
  void apply_preemption_notice(const Shard& shard, Machine& machine, const Heartbeat& status) const;
  static void apply_fencing_token(Machine& machine, FencingToken token);
  static ReplyEffect reply_effect(const Machine& machine, const Heartbeat& status);
  void release_absent_tasks(Shard& shard, Machine& machine, std::uint64_t sequence_number);
  void check_reply_effect(Shard& shard, Machine& machine, const ReplyEffect& effect) const;

  // ---- pushed commands (fleet_pushes.cpp) ----------------------------------------------------------

  static bool needs_push(const Machine& machine);
  bool may_push_to(const Machine& machine) const;
  void push_commands_to(Shard& shard, Machine& machine);
  void on_push_response(const WorkerCalls::Push& push, const CommandResponse& response);
  static void on_push_lost(Shard& shard, Machine& machine, const WorkerCalls::Push& push);
  void apply_response_status(Shard& shard, Machine& machine, const CommandResponse& response);

  void finish_reconciliation(Shard& shard);

  ControllerState& state_;
  Hooks hooks_;
  MachineOwnership ownership_;
  HeartbeatRouter router_;
  TaskTracker tasks_;
  CommandBuilder commands_;
  WorkerCalls calls_;
  FailureDetector failures_;
};

}  // namespace bendtide
