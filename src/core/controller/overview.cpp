#include "core/controller/overview.h"

namespace bendtide::overview {

namespace {

constexpr std::size_t kMostRows = 1000;

double units(std::int64_t thousandths) { return static_cast<double>(thousandths) / 1000.0; }

}  // namespace

Value shards(const ControllerState& state) {
  Value held = Value::array(), routes = Value::object();
  for (const auto& [name, shard] : state.shards) {
    Value quota_shares = Value::object();
    for (const auto& [team, share] : shard.quota.shares())
      quota_shares[team] = {{"share_cpus", units(share.cpu)},
                            {"used_or_possibly_used_cpus", units(shard.used(team).cpu)}};
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
  Value out = Value::array();
  for (const auto& [name, shard] : state.shards)
    for (const auto& [id, m] : shard.machines) {
      if (out.size() >= kMostRows) return out;
      out.push_back({{"machine", id},
                     {"part", name},
                     {"type", m.type},
                     {"zone", m.zone},
                     {"spot", m.spot},
                     {"up", m.status_received},
                     {"silent_s", m.status_received ? in_seconds(state.now() - m.last_status_at) : 0.0},
                     {"settled", m.reconciled},
                     {"lease_over", m.lease_expired},
                     {"quarantined", m.quarantined},
                     {"being_deleted", m.decommissioned},
                     {"tasks", m.tasks.size()},
                     {"free_cpus", units(m.free().cpu)}});
    }
  return out;
}

Value jobs(const ControllerState& state) {
  Value out = Value::array();
  for (const auto& [name, shard] : state.shards)
    for (const auto& [id, job] : shard.jobs) {
      if (out.size() >= kMostRows) return out;
      out.push_back({{"job", id},
                     {"part", name},
                     {"owner", job.owner.empty() ? name : job.owner},
                     {"team", job.spec.team},
                     {"tasks", job.tasks.size()},
                     {"waiting", job.waiting.size()},
                     {"placed", job.present},
                     {"done", job.done},
                     {"awards", job.awards.size()},
                     {"no_room_for", job.overflow},
                     {"share_used_up", job.quota_share_exhausted},
                     {"no_machine_to_rent", job.unrentable},
                     {"suspect", job.suspect()}});
    }
  return out;
}

Value negotiations(const ContractNet& net) {
  const NegotiationCounters& c = net.counters();
  return {{"open", net.open_calls()},
          {"calls", c.calls},
          {"rounds", c.rounds},
          {"awards", c.awards},
          {"conflicts", c.conflicts},
          {"without_feasible_proposal", c.infeasible},
          {"shares_moved", c.quota_transfers}};
}

}  // namespace bendtide::overview
