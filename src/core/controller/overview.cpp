#include "core/controller/overview.h"

namespace bendtide::overview {

namespace {

constexpr std::size_t kMaxRows = 1000;  ///< in one response

double from_thousandths(std::int64_t thousandths) { return static_cast<double>(thousandths) / 1000.0; }

}  // namespace

Value shards(const ControllerState& state) {
  Value held = Value::array();
  Value routes = Value::object();
  for (const auto& [name, shard] : state.shards) {
    Value quota_shares = Value::object();
    for (const auto& [team, share] : shard.quota.shares())
      quota_shares[team] = {{"share_cpus", from_thousandths(share.cpu)},
                            {"used_or_possibly_used_cpus", from_thousandths(shard.used(team).cpu)}};
    held.push_back({{"part", name},
                    {"token", shard.fencing_token.value()},
                    {"ready", shard.ready()},
                    {"acting", state.lease_valid()},
                    {"held_s", in_seconds(state.now() - shard.acquired_at)},
                    {"machines", shard.machines.size()},
                    {"all_machines_settled", shard.all_reconciled()},
                    {"jobs", shard.jobs.size()},
                    {"shares", std::move(quota_shares)}});
  }
  for (const auto& [name, route] : state.routes)
    routes[name] = route.host.empty() ? Value() : Value(route.host);
  return {{"term_left_s", in_seconds(state.lease_valid_until - state.now())},
          {"held", held},
          {"holders", routes}};
}

Value machines(const ControllerState& state) {
  Value rows = Value::array();
  for (const auto& [name, shard] : state.shards)
    for (const auto& [id, machine] : shard.machines) {
      if (rows.size() >= kMaxRows) return rows;
      rows.push_back({{"machine", id},
                      {"part", name},
                      {"type", machine.type},
                      {"zone", machine.zone},
                      {"spot", machine.spot},
                      {"up", machine.liveness.status_received},
                      {"silent_s", machine.liveness.status_received
                                       ? in_seconds(state.now() - machine.liveness.last_status_at)
                                       : 0.0},
                      {"settled", machine.reconciled},
                      {"lease_over", machine.liveness.lease_expired},
                      {"quarantined", machine.lifecycle.quarantined},
                      {"being_deleted", machine.lifecycle.decommissioned},
                      {"tasks", machine.tasks.size()},
                      {"free_cpus", from_thousandths(machine.free().cpu)}});
    }
  return rows;
}

Value jobs(const ControllerState& state) {
  Value rows = Value::array();
  for (const auto& [name, shard] : state.shards)
    for (const auto& [id, job] : shard.jobs) {
      if (rows.size() >= kMaxRows) return rows;
      rows.push_back({{"job", id},
                      {"part", name},
                      {"owner", job.owner.empty() ? name : job.owner},
                      {"team", job.spec.team},
                      {"tasks", job.tasks.size()},
                      {"waiting", job.waiting.size()},
                      {"placed", job.placement_count},
                      {"done", job.done},
                      {"awards", job.awards.size()},
                      {"no_room_for", job.tasks_without_capacity},
                      {"no_room_for_s", job.without_capacity_since == Micros{0}
                                            ? 0.0
                                            : in_seconds(state.now() - job.without_capacity_since)},
                      {"share_used_up", job.quota_share_exhausted},
                      {"no_machine_to_rent", job.no_offering},
                      {"suspect", job.is_suspect()}});
    }
  return rows;
}

Value negotiations(const ContractNet& contract_net) {
  const NegotiationCounters& counters = contract_net.counters();
  return {{"open", contract_net.open_calls()},
          {"calls", counters.calls},
          {"rounds", counters.rounds},
          {"awards", counters.awards},
          {"tasks_returned", counters.tasks_returned},
          {"tasks_taken_back", counters.tasks_taken_back},
          {"conflicts", counters.conflicts},
          {"without_feasible_proposal", counters.without_feasible_proposal},
          {"shares_moved", counters.quota_transfers}};
}

}  // namespace bendtide::overview
