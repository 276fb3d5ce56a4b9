#include "core/overview.h"

namespace bendtide::overview {

namespace {

constexpr std::size_t kMostRows = 1000;

double units(std::int64_t thousandths) { return static_cast<double>(thousandths) / 1000.0; }

}  // namespace

Value parts(const Cluster& cluster) {
  Value held = Value::array(), routes = Value::object();
  for (const auto& [name, part] : cluster.parts) {
    Value shares = Value::object();
    for (const auto& [team, share] : part.shares)
      shares[team] = {{"share_cpus", units(share.cpu)},
                      {"used_or_possibly_used_cpus", units(part.used(team).cpu)}};
    held.push_back({{"part", name},
                    {"token", part.token},
                    {"ready", part.ready()},
                    {"acting", cluster.acting()},
                    {"held_s", in_seconds(cluster.now() - part.taken_at)},
                    {"machines", part.machines.size()},
                    {"all_machines_settled", part.all_settled()},
                    {"jobs", part.jobs.size()},
                    {"shares", std::move(shares)}});
  }
  for (const auto& [name, route] : cluster.routes)
    routes[name] = route.host.empty() ? Value() : Value(route.host);
  return {
      {"term_left_s", in_seconds(cluster.valid_until - cluster.now())}, {"held", held}, {"holders", routes}};
}

Value machines(const Cluster& cluster) {
  Value out = Value::array();
  for (const auto& [name, part] : cluster.parts)
    for (const auto& [id, m] : part.machines) {
      if (out.size() >= kMostRows) return out;
      out.push_back({{"machine", id},
                     {"part", name},
                     {"type", m.type},
                     {"zone", m.zone},
                     {"spot", m.spot},
                     {"up", m.heard},
                     {"silent_s", m.heard ? in_seconds(cluster.now() - m.last_heard) : 0.0},
                     {"settled", m.settled},
                     {"lease_over", m.lost},
                     {"quarantined", m.quarantined},
                     {"being_deleted", m.condemned},
                     {"tasks", m.tasks.size()},
                     {"free_cpus", units(m.free().cpu)}});
    }
  return out;
}

Value jobs(const Cluster& cluster) {
  Value out = Value::array();
  for (const auto& [name, part] : cluster.parts)
    for (const auto& [id, job] : part.jobs) {
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
                     {"share_used_up", job.short_of_share},
                     {"no_machine_to_rent", job.unrentable},
                     {"suspect", job.suspect()}});
    }
  return out;
}

Value negotiations(const ContractNet& net) {
  const ContractNet::Counters& c = net.counters();
  return {{"open", net.open()},
          {"calls", c.calls},
          {"rounds", c.rounds},
          {"awards", c.awards},
          {"conflicts", c.conflicts},
          {"without_feasible_proposal", c.infeasible},
          {"shares_moved", c.shares_moved}};
}

}  // namespace bendtide::overview
