// Machines and what is on them: heartbeats in, commands out, and the proofs that a task is off a machine.
#pragma once

#include "core/ownership/machine_ownership.h"

namespace bendtide {

class Fleet {
 public:
  struct Hooks {
    std::function<void(Shard&, Machine&)> fill;  ///< place on it what waits and fits
    std::function<void()> invalidate_leases;
  };

  Fleet(ControllerState& state, Hooks hooks);

  void tick();
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat);
  void on_command_response(std::uint64_t call, const CommandResponse& answer);
  void on_shard_ready(Shard& shard);
  /// What the holder of a shard knows of its machines that are silent, for the next one.
  std::vector<UnreachableMachine> unreachable_machines(const Shard& shard) const;
  /// The last leader's word on machines that we may never hear.
  void restore_unreachable_machines(Shard& shard);
  void on_shard_lost(const std::string& shard) { ownership_.on_shard_lost(shard); }

  /// Whether a worker can be reached: no order has fencing token and incarnation 0, and it says what it
  /// holds.
  void probe(const std::string& address, std::function<void(bool)> done);
  /// Sends the commands that should not wait for the next heartbeat.
  void push_commands(Shard& shard);
  /// The machine and everything on it are gone.
  void gone(Shard& shard, const std::string& machine);

  /// Settled: nothing unknown can be on it.
  Machine& add(Shard& shard, const Machine& machine, bool reconciled);
  bool usable(const Machine& m) const;
  bool booting(const Machine& m) const;
  MachineOwnership& ownership() { return ownership_; }

 private:
  struct Deferred {
    std::uint64_t request;
    Heartbeat heartbeat;
    Micros since;
  };
  struct PushInFlight {
    std::string shard;
    std::uint64_t leadership_term;
    std::string machine;
    FencingToken fencing_token;
    Micros sent_at;
    std::vector<AttemptId> starts;
  };

  void on_unclaimed(std::uint64_t request, const Heartbeat& heartbeat, Micros since);
  /// Answers a heartbeat, or keeps it for later; `since`: when it came.
  void route_heartbeat(std::uint64_t request, const Heartbeat& heartbeat, Micros since);
  void defer(std::uint64_t request, const Heartbeat& heartbeat, Micros since);
  void on_own_heartbeat(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat);
  void apply(Shard& shard, Machine& m, const Heartbeat& heartbeat, bool is_heartbeat);
  bool believable(const Shard& shard, const Heartbeat& heartbeat) const;
  bool was_sent_after(Micros ours) const;
  void note_lost_pushes(Shard& shard, Machine& m);
  static void clear_missed_acknowledgements(Machine& m);
  void add_missed_acknowledgement(Shard& shard, Machine& m, int weight);
  void note(Shard& shard, Machine& m, const TaskStatus& seen, std::uint64_t sequence_number);
  void ended(Shard& shard, Machine& m, const AttemptId& id, Placement& p, ExitCause cause);
  void failed(Shard& shard, Machine& m, Job& job);
  void release(Shard& shard, Machine& m, const AttemptId& id);
  void release_all(Shard& shard, Machine& m);
  std::vector<Command> commands(Shard& shard, Machine& m, std::uint64_t in_heartbeat);
  bool may_send_start(Shard& shard, Job* job, const AttemptId& id);
  void log_commands(const Shard& shard, const Machine& m, const std::vector<Command>& sent,
                    const std::string& how) const;
  std::vector<Command> stops_for_unknown_tasks(const Shard& shard, const Heartbeat& heartbeat) const;
  Micros time_to_save(const Shard& shard, const Job& job) const;
  void begin_incarnation(Machine& m, std::uint64_t incarnation);
  bool urgent(const Machine& m) const;
  std::size_t push_limit() const;
  void watch(Shard& shard);
  void watch_zones(Shard& shard, Micros late);
  void trim_images(Machine& m) const;
  void resume_deferred();
  void answer(std::uint64_t request, int status, std::string redirect = {});

  /// That many signs in a row show that nothing reaches a machine. One answer may always come too late.
  static constexpr int kMissedAcknowledgementLimit = 3;
  static constexpr int kWeakEvidence = 1;                  ///< one message seems not to have reached it
  static constexpr int kStrongEvidence = 2;                ///< several can't have
  static constexpr std::size_t kHandoverTaskLimit = 1500;  ///< tasks in a word to the next leader
  static constexpr std::size_t kFailedOn = 8;
  static constexpr std::size_t kRememberedDeleted = 4096;
  static constexpr std::size_t kCommandsPerMessage = 200;  ///< in one message: far below a line of 64 KiB

  ControllerState& state_;
  Hooks hooks_;
  MachineOwnership ownership_;
  std::vector<Deferred> deferred_;  ///< heartbeats that wait for a claim or for the shard
  std::set<std::string> deleted_;   ///< lately: a late copy of their heartbeats brings none back
  std::deque<std::string> deleted_order_;
  std::map<std::uint64_t, PushInFlight> pushes_in_flight_;
  std::map<std::uint64_t, std::function<void(bool)>> probes_;
  std::uint64_t next_push_ = 1;
};

}  // namespace bendtide
