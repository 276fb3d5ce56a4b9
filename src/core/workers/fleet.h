// The machines of the shards that are led here: heartbeats in, commands out.
//
//   HeartbeatRouter   finds the leader for a heartbeat
//   Fleet             applies the statuses of own machines, replies, and pushes commands
//   TaskTracker       what becomes of the tasks on a machine
//   CommandBuilder    which commands a machine needs
//   WorkerCalls       pushed commands and probes whose response is awaited
//   FailureDetector   which machines have failed
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
    std::function<void(Shard&, Machine&)> fill;  ///< place waiting tasks that fit on the machine
    std::function<void()> invalidate_leases;     ///< read the lease records again
  };

  Fleet(ControllerState& state, Hooks hooks);

  void tick();
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat);
  void on_command_response(std::uint64_t call, const CommandResponse& response);
  void on_shard_ready(Shard& shard);
  void on_shard_lost(const std::string& shard) { ownership_.on_shard_lost(shard); }

  /// What the leader of a shard knows of its silent machines, for the next leader.
  std::vector<UnreachableMachine> unreachable_machines(const Shard& shard) const;
  /// Takes over what the last leader knew of machines that we may never hear.
  void restore_unreachable_machines(Shard& shard);

  /// Calls `done` with whether the worker can be reached.
  void probe(const std::string& address, WorkerCalls::ProbeCallback done);
  /// Sends the commands that should not wait for the next heartbeat.
  void push_commands(Shard& shard);

  /// Adds a machine that the shard owns. `reconciled`: no unknown task can be on it.
  Machine& add(Shard& shard, const Machine& machine, bool reconciled);
  /// Removes a machine that was deleted, with everything on it.
  void remove(Shard& shard, const std::string& machine);
  /// Whether tasks may be placed on the machine now.
  bool usable(const Machine& machine) const { return failures_.usable(machine); }
  /// Whether the machine may still be on its way up.
  bool booting(const Machine& machine) const { return failures_.booting(machine); }
  MachineOwnership& ownership() { return ownership_; }

 private:
  /// What a reply to a heartbeat was to lead to, and whether the next heartbeat shows that it did.
  struct ReplyEffect {
    bool expected = false;
    bool seen = false;
  };

  // ---- heartbeats of own machines (fleet_heartbeats.cpp) -------------------------------------------

  void on_own_heartbeat(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat);
  Machine* accept_heartbeat(Shard& shard, const Heartbeat& heartbeat) const;
  void judge_unacknowledged_token(Shard& shard, Machine& machine, const Heartbeat& heartbeat);
  std::vector<Command> reply_to_status(Shard& shard, Machine& machine, const Heartbeat& heartbeat,
                                       Micros previous_reply_at);
  std::vector<Command> reply_to_untrusted(Shard& shard, Machine& machine, const Heartbeat& heartbeat);
  void judge_short_incarnation(Shard& shard, Machine& machine, const Heartbeat& heartbeat,
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
  void judge_reply_effect(Shard& shard, Machine& machine, const ReplyEffect& effect) const;

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
