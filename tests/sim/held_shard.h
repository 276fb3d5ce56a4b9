// One shard of one controller, without a cluster: a test passes events to it and checks the resulting
// actions.
#pragma once

#include "core/jobs/jobs.h"
#include "core/negotiation/contract_net.h"

namespace bendtide::sim {

inline const TaskId kTask{"run-1", 0};

/// A shard that was just acquired with fencing token 10. Its only machine, "m", belonged to it under an
/// earlier leader.
struct HeldShard {
  static Settings settings() {
    Settings settings;
    settings.host = "a";
    settings.heartbeat_interval = seconds(1.5);
    settings.worker_lease = seconds(12);
    settings.cancel_within = seconds(42);
    settings.sockets = 100;
    settings.cloud_calls_per_s = 100;
    settings.store_requests_per_s = 100;
    settings.store_writes_per_s = 60;
    settings.store_transaction_writes = 12;
    settings.store_value_bytes = 8 * 1024;
    return settings;
  }

  Context context{settings(), {}, "life", std::mt19937_64(1), seconds(100), seconds(1'000'000), {}, {}};
  ControllerState state{context};
  Fleet fleet{state, {[](Shard&, Machine&) {}, [] {}}};
  Shard& shard = state.shards["a"];

  HeldShard() {
    state.lease_valid_until = seconds(10'000);
    shard.name = "a";
    shard.fencing_token = shard.first_fencing_token = 10;
    shard.leadership_term = 1;
    shard.acquired_at = context.now;
    const std::vector<records::OwnedMachine> owned{{"m", "small", "z", false, "m:1", {}}};
    fleet.ownership().load(shard, {{records::ownership_key("a", 0), records::to_json(owned), 3}});
    shard.stage = Shard::Stage::ready;
    fleet.on_shard_ready(shard);
    fleet.push_commands(shard);
  }
  /// Loads a job with one task, kTask.
  Job& add_job() {
    records::LiveJob record;
    record.shard = "a";
    record.spec.id = kTask.job;
    record.spec.team = "t";
    record.spec.tasks = 1;
    record.spec.task_resources = {1000, 0, 1};
    return Jobs::load(shard, record);
  }
  Machine& machine() { return shard.machines.at("m"); }
  /// A heartbeat of the machine, with attempt 7 of kTask running on it if `with_task`.
  Heartbeat heartbeat(std::uint64_t fencing_token, std::uint64_t incarnation, std::uint64_t sequence_number,
                      bool with_task) const {
    Heartbeat heartbeat{"m", "m:1", "small", "z", false, incarnation, sequence_number, fencing_token, {}, {}};
    if (with_task) heartbeat.tasks = {{kTask, 7, TaskPhase::running, ExitCause::none}};
    return heartbeat;
  }
  /// Sets the steady clock to `moment`, in seconds, and calls `event`. Returns the resulting actions of one
  /// kind.
  template <class Kind>
  std::vector<Kind> call_at(double moment, const std::function<void()>& event) {
    context.now = seconds(moment);
    context.actions.clear();
    event();
    std::vector<Kind> actions;
    for (const Action& action : context.actions)
      if (auto* of_kind = std::get_if<Kind>(&action)) actions.push_back(*of_kind);
    return actions;
  }
  /// Delivers the response to a command request, then pushes the commands that it gives rise to.
  void on_response(double moment, std::uint64_t call, CommandResponse::Outcome outcome,
                   const Heartbeat& status) {
    call_at<LogLine>(moment, [&] {
      fleet.on_command_response(call, {outcome, status});
      fleet.push_commands(shard);
    });
  }
};

}  // namespace bendtide::sim
