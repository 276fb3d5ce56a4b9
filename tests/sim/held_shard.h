// One part of one controller, without any cluster round it: events go in by hand, actions are looked at.
#pragma once

#include "core/jobs/jobs.h"
#include "core/negotiation/contract_net.h"

namespace bendtide::sim {

inline const TaskId kTask{"run-1", 0};

/// A shard taken a moment ago with fencing token 10, whose one machine was in use by an earlier leader.
struct HeldShard {
  static Settings settings() {
    Settings s;
    s.host = "a";
    s.heartbeat_interval = seconds(1.5);
    s.worker_lease = seconds(12);
    s.cancel_within = seconds(42);
    s.sockets = 100;
    s.cloud_calls_per_s = 100;
    s.store_requests_per_s = 100;
    s.store_writes_per_s = 60;
    s.store_transaction_writes = 12;
    s.store_value_bytes = 8 * 1024;
    return s;
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
    const std::vector<records::OwnedMachine> claimed{{"m", "small", "z", false, "m:1", {}}};
    fleet.ownership().load(shard, {{records::ownership_key("a", 0), records::to_json(claimed), 3}});
    shard.stage = Shard::Stage::ready;
    fleet.on_shard_ready(shard);
    fleet.push_commands(shard);
  }
  Job& add_job() {
    records::LiveJob record;
    record.shard = "a";
    record.spec.id = kTask.job;
    record.spec.team = "t";
    record.spec.tasks = 1;
    record.spec.each = {1000, 0, 1};
    return Jobs::load(shard, record);
  }
  Machine& machine() { return shard.machines.at("m"); }
  Heartbeat report(std::uint64_t fencing_token, std::uint64_t incarnation, std::uint64_t sequence_number,
                   bool with_task) const {
    Heartbeat r{"m", "m:1", "small", "z", false, incarnation, sequence_number, fencing_token, {}, {}};
    if (with_task) r.tasks = {{kTask, 7, TaskPhase::running, ExitCause::none}};
    return r;
  }
  /// Does something at a moment; what it led to of one kind.
  template <class Kind>
  std::vector<Kind> at(double moment, const std::function<void()>& what) {
    context.now = seconds(moment);
    context.actions.clear();
    what();
    std::vector<Kind> out;
    for (const Action& action : context.actions)
      if (auto* a = std::get_if<Kind>(&action)) out.push_back(*a);
    return out;
  }
  void orders_answered(double moment, std::uint64_t call, CommandResponse::Outcome outcome,
                       const Heartbeat& report) {
    at<LogLine>(moment, [&] {
      fleet.on_command_response(call, {outcome, report});
      fleet.push_commands(shard);
    });
  }
};

}  // namespace bendtide::sim
