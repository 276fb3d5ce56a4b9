#include "core/renter.h"

namespace bendtide {

using Outcome = CloudAnswer::Outcome;

namespace {

constexpr double kSlice = 0.8;
constexpr Micros kRentEvery = millis(500);
constexpr Micros kRefusedFor = seconds(20);
constexpr double kForeignZone = 1.25;  ///< what a service is ready to pay for not going there
constexpr double kSlowBoot = 120;      ///< a boot of this many seconds doubles the price in our eyes
constexpr std::size_t kNamesPerDelete = 100;
constexpr int kMachinesPerOrder = 50;
/// Opportunistic work that has not begun by then gets a machine for its first task at any price.
constexpr Micros kLongestWait = seconds(120);
constexpr Micros kLeastPaid = seconds(60);  ///< a machine costs as much even if it is returned earlier

}  // namespace

Renter::Renter(ControllerState& state, Fleet& fleet)
    : state_(state),
      fleet_(fleet),
      budget_(kSlice * state.context.settings.cloud_calls_per_s /
                  static_cast<double>(state.context.settings.controllers()),
              std::max(1.0, state.context.settings.cloud_calls_per_s /
                                static_cast<double>(state.context.settings.controllers()))) {}

bool Renter::call(CloudRequest request, Done done) {
  if (!budget_.take(state_.now())) return false;
  const std::uint64_t id = next_call_++;
  in_flight_.emplace(id, std::move(done));
  state_.context.act(CloudCall{id, std::move(request)});
  return true;
}

void Renter::on_answer(std::uint64_t id, const CloudAnswer& answer) {
  auto it = in_flight_.find(id);
  if (it == in_flight_.end()) return;
  Done done = std::move(it->second);
  in_flight_.erase(it);
  done(answer);
}

std::string Renter::next_charter() {
  // Never used before or after: the incarnation is this process's own.
  return state_.self() + "-" + state_.context.incarnation + "-" + std::to_string(++charters_);
}

void Renter::tick() {
  const Micros now = state_.now();
  if (!reading_catalogue_ && now >= next_catalogue_) read_catalogue();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    return_idle(shard);
    give_up_stuck(shard);
    remove_condemned(shard);
    if (now >= next_rent_ && !state_.catalogue.empty()) rent(shard);
    if (name == state_.self()) look_for_strays(shard);
  }
  if (now >= next_rent_) next_rent_ = now + kRentEvery;
}

void Renter::on_shard_ready(Shard&) {
  if (next_list_ == Micros{0}) next_list_ = state_.now() + state_.context.settings.cloud_list_lag * 2;
}

// ---- catalogue -----------------------------------------------------------------------------------

void Renter::read_catalogue() {
  const bool first = state_.catalogue.empty();
  reading_catalogue_ = true;
  auto again = [this](Micros in) {
    reading_catalogue_ = false;
    next_catalogue_ = state_.now() + in;
  };
  const bool sent = call(CloudCatalogue{}, [this, again, first](const CloudAnswer& a) {
    if (!a.ok() || a.types.empty()) return again(seconds(1));
    auto plain = [](std::vector<MachineType> types) {
      for (MachineType& t : types) t.spot_price = 0;
      return types;
    };
    // Kept for a restart while the cloud is away; prices move too often to be worth a write.
    if (first || plain(a.types) != plain(state_.catalogue)) {
      Transaction transaction;
      transaction.writes = {{records::kCatalogueKey, records::to_json(a.types), 0}};
      state_.store.commit(std::move(transaction), [](const StoreResponse&) {});
    }
    state_.catalogue = a.types;
    for (auto& [name, shard] : state_.shards)
      for (auto& [machine, m] : shard.machines)
        if (const MachineType* type = state_.machine_type(m.type)) {
          shard.count_usage(m, -1);
          m.size = type->size;
          shard.count_usage(m, 1);
        }
    again(seconds(30));
  });
  if (!sent) again(millis(200));
  if (!first) return;
  state_.store.get(records::kCatalogueKey, [this](const StoreResponse& a) {
    if (!a.ok() || a.entries.empty() || !state_.catalogue.empty()) return;
    if (auto types = records::catalogue(a.entries.front().value)) state_.catalogue = *types;
  });
}

// ---- renting -------------------------------------------------------------------------------------

bool Renter::suits(const JobSpec& spec, const Kind& kind) {
  return (!kind.spot || spec.spot) && spec.allows_type(kind.type) && (!spec.zone || *spec.zone == kind.zone);
}

std::optional<Renter::Kind> Renter::cheapest(const Shard& shard, const Need& need,
                                             const std::vector<Need>& needs) const {
  const JobSpec& spec = need.job->spec;
  std::optional<Kind> best;
  double best_cost = 0;
  for (const MachineType& t : state_.catalogue) {
    if (t.size.holds(spec.each) <= 0) continue;
    for (const std::string& zone : t.zones)
      for (bool spot : {false, true}) {
        const Kind kind{t.name, zone, spot};
        if (!suits(spec, kind) || (need.spot_only && !spot)) continue;
        if (spot && (!state_.context.policy.spot_machines || t.spot_price <= 0)) continue;
        if (shard.cut_zones.contains(zone)) continue;
        if (auto it = none_until_.find(kind); it != none_until_.end() && it->second > state_.now()) continue;
        // For each CPU that will be used: a machine not filled is dearer, and one that boots slowly, too.
        std::int64_t wanted = 0;
        for (const Need& other : needs)
          if (suits(other.job->spec, kind)) wanted += other.job->spec.each.cpu * other.tasks;
        double cost = (spot ? t.spot_price : t.price) / static_cast<double>(std::min(t.size.cpu, wanted));
        cost *= 1.0 + in_seconds(t.boot) / kSlowBoot;
        // Our own zone decides among equals; for services it is worth more, as they go on there when the way
        // to the others is cut.
        if (zone != state_.context.settings.zone) cost *= spec.shape == Shape::service ? kForeignZone : 1.001;
        if (!best || cost < best_cost) best = kind, best_cost = cost;
      }
  }
  return best;
}

/// Whether a machine that boots is still counted on. One that is overdue is, while no other of its type that
/// was rented as late has come up: then all of them are slow, and renting them anew would bring twice what is
/// needed.
bool Renter::may_still_come(const Machine& m, const std::map<std::string, Micros>& newest_up) const {
  const MachineType* type = state_.machine_type(m.type);
  const Micros age = state_.context.wall - m.rented_at;
  if (age <= type->boot * 8 / 5 + seconds(2)) return true;
  if (!fleet_.booting(m)) return false;
  auto newest = newest_up.find(m.type);
  return newest == newest_up.end() || newest->second < m.rented_at;
}

std::vector<Renter::Bin> Renter::room_to_come(const Shard& shard) const {
  std::map<std::string, Micros> newest_up;  // of each type, by the moment of renting
  for (const auto& [name, m] : shard.machines)
    if (m.status_received) newest_up[m.type] = std::max(newest_up[m.type], m.rented_at);
  std::vector<Bin> bins;
  for (const auto& [name, m] : shard.machines) {
    const MachineType* type = state_.machine_type(m.type);
    if (m.decommissioned || type == nullptr) continue;
    const Kind kind{m.type, m.zone, m.spot};
    if (m.status_received) {
      // Room that will be free before a new machine is up saves renting it.
      if (fleet_.usable(m)) bins.push_back({kind, m.coming_by(state_.now() + type->boot)});
    } else if (!shard.cut_zones.contains(m.zone) && may_still_come(m, newest_up)) {
      bins.push_back({kind, m.size});
    }
  }
  return bins;
}

void Renter::fill(Bin& bin, Need& need) {
  if (need.tasks <= 0 || bin.free.cpu < need.job->spec.each.cpu || !suits(need.job->spec, bin.kind)) return;
  const std::int64_t n = std::min(need.tasks, bin.free.holds(need.job->spec.each));
  bin.free -= need.job->spec.each * n;
  need.tasks -= n;
}

/// What finds no room in the bins, the highest priority first.
std::vector<Renter::Need> Renter::needs_beyond(Shard& shard, std::vector<Bin>& bins) const {
  std::vector<Need> needs;
  std::map<std::string, Quota> share;
  for (auto& [id, job] : shard.jobs) {
    if (job.overflow == 0 || !(job.refused || !job.owner.empty())) continue;
    auto [free, fresh] = share.try_emplace(job.spec.team);
    if (fresh) free->second = shard.free_share(job.spec.team);
    const Quota each = quota_of(job.spec.each);
    Need need{&job, std::min<std::int64_t>(job.overflow, free->second.holds(each))};
    if (state_.context.settings.opportunistic(job.spec)) {
      // It has to begin all the same.
      need.opportunistic = true;
      const bool too_long = !job.begun() && state_.context.wall - job.accepted > kLongestWait;
      need.spot_only = !too_long;
      if (too_long) need.tasks = std::min<std::int64_t>(need.tasks, 1);
    }
    free->second -= each * need.tasks;
    for (Bin& bin : bins) fill(bin, need);
    if (need.tasks > 0) needs.push_back(need);
  }
  std::stable_sort(needs.begin(), needs.end(),
                   [](const Need& a, const Need& b) { return a.job->spec.priority > b.job->spec.priority; });
  return needs;
}

std::map<Renter::Kind, Renter::Wanted> Renter::demand(Shard& shard) {
  std::map<Kind, Wanted> out;
  std::vector<Bin> bins = room_to_come(shard);
  std::vector<Need> needs = needs_beyond(shard, bins);
  int machines = 0;
  for (Need& need : needs)
    while (need.tasks > 0 && machines < kMachinesPerOrder) {
      auto kind = cheapest(shard, need, needs);
      need.job->unrentable = !kind;
      if (!kind) break;
      Wanted& wanted = out[*kind];
      ++wanted.count;
      wanted.opportunistic &= need.opportunistic;
      ++machines;
      Bin bin{*kind, state_.machine_type(kind->type)->size};
      for (Need& other : needs) fill(bin, other);
    }
  return out;
}

void Renter::refused(const Kind& kind) {
  none_until_[kind] = state_.now() + kRefusedFor;
  for (const Peer& peer : state_.context.settings.peers)
    state_.context.act(PeerSend{peer.host, Scarce{kind.type, kind.zone, kind.spot}});
}

void Renter::on_scarce(const Scarce& scarce) {
  if (state_.machine_type(scarce.type) != nullptr)
    none_until_[{scarce.type, scarce.zone, scarce.spot}] = state_.now() + kRefusedFor;
}

void Renter::rent(Shard& shard) {
  if (ordering_.contains(shard.name)) return;
  if (!unanswered_.empty()) {
    // The same charter again tells what it rented, and rents nothing twice.
    const auto [charter, what] = *unanswered_.begin();
    return order(shard, charter, what.first, what.second);
  }
  const std::map<Kind, Wanted> wanted = demand(shard);
  if (wanted.empty()) return;
  // One at a time, as the next pass sees what this one brought: opportunistic work last, else the largest, as
  // orders are few.
  const auto& [kind, most] =
      *std::max_element(wanted.begin(), wanted.end(), [](const auto& a, const auto& b) {
        return std::pair(!a.second.opportunistic, a.second.count) <
               std::pair(!b.second.opportunistic, b.second.count);
      });
  order(shard, next_charter(), kind, std::min(most.count, kMachinesPerOrder));
}

void Renter::order(Shard& shard, const std::string& charter, const Kind& kind, int count) {
  const bool sent = call(
      CloudRent{charter, kind.type, kind.zone, kind.spot, count},
      [this, charter, kind, count, name = shard.name,
       leadership_term = shard.leadership_term](const CloudAnswer& a) {
        ordering_.erase(name);
        unanswered_.erase(charter);
        if (a.outcome == Outcome::no_capacity) {
          refused(kind);
        } else if (a.outcome == Outcome::unknown) {
          unanswered_[charter] = {kind, count};
        } else if (a.ok()) {
          if (static_cast<int>(a.names.size()) < count) refused(kind);
          state_.context.info("rented " + std::to_string(a.names.size()) + " of " + std::to_string(count) +
                              " " + kind.type + " in " + kind.zone + (kind.spot ? " (spot)" : ""));
          Shard* p = state_.shard_in_term(name, leadership_term);
          for (const std::string& machine : a.names) {
            if (p == nullptr) break;  // found as strays later
            fleet_.ownership().request(
                *p, machine_from({machine, kind.type, kind.zone, kind.spot, {}, state_.context.wall}));
          }
        }
      });
  if (sent) ordering_.insert(shard.name);
}

// ---- returning -----------------------------------------------------------------------------------

void Renter::return_idle(Shard& shard) {
  const Micros now = state_.now();
  const Micros idle = seconds(state_.context.policy.idle_return_s);
  // Kept idle for tasks that it does not suit, it could block the room in the cloud that these wait for.
  for (auto& [name, m] : shard.machines) {
    if (m.decommissioned || !m.status_received || !m.reconciled) continue;
    // Behind a cut they are idle because nothing reaches them, and will be wanted when the cut is over.
    if (m.lease_expired || shard.cut_zones.contains(m.zone)) continue;
    if (!m.idle()) {
      drain_opportunistic(shard, m);
      continue;
    }
    if (now - m.idle_since < idle || state_.context.wall - m.rented_at < kLeastPaid) continue;
    m.decommissioned = true;
    state_.context.debug([&m = m] { return "machine " + m.name + " is idle: it is returned"; });
  }
}

void Renter::drain_opportunistic(Shard& shard, Machine& m) const {
  if (m.spot) return;
  const Settings& settings = state_.context.settings;
  for (const auto& [id, p] : m.tasks) {
    auto job = shard.jobs.find(id.task.job);
    if (p.wanted && p.takes_room() && job != shard.jobs.end() && settings.opportunistic(job->second.spec))
      continue;
    m.needed_at = state_.now();
    return;
  }
  if (state_.now() - m.needed_at < seconds(state_.context.policy.idle_return_s)) return;
  // The first task of a job is left in peace: it would have to begin elsewhere within its time.
  for (auto& [id, p] : m.tasks) {
    auto job = shard.jobs.find(id.task.job);
    if (state_.context.wall - job->second.accepted < kLongestWait * 2 && job->second.present == 1) continue;
    shard.change(m, id, p, [](Placement& q) { q.wanted = false; });
    shard.request_push(m);
  }
}

void Renter::give_up_stuck(Shard& shard) {
  for (auto& [name, m] : shard.machines) {
    if (m.status_received || m.decommissioned || fleet_.booting(m)) continue;
    // Behind a cut it may have been up before we took the part. But machines that never came up look like a
    // cut, and would keep their zone closed to renting for as long as they are kept.
    const Micros lease = state_.context.settings.worker_lease;
    const Micros patience = shard.cut_zones.contains(m.zone) ? lease * 3 / 2 : lease;
    // When the zone can be reached again, all its workers have a lease's time to say so.
    if (state_.now() - std::max(shard.acquired_at, shard.cut_over) > patience) {
      m.decommissioned = true;
      state_.context.info("machine " + name + " does not come up: it is deleted");
    }
  }
}

void Renter::remove_condemned(Shard& shard) {
  CloudDelete request;
  for (auto& [name, m] : shard.machines)
    if (m.decommissioned && !m.deleting && request.machines.size() < kNamesPerDelete)
      request.machines.push_back(name);
  if (request.machines.empty()) return;
  const std::vector<std::string> names = request.machines;
  const bool sent = call(std::move(request), [this, names, shard_name = shard.name,
                                              leadership_term = shard.leadership_term](const CloudAnswer& a) {
    Shard* p = state_.shard_in_term(shard_name, leadership_term);
    if (p == nullptr) return;
    if (!a.ok()) {
      for (const std::string& name : names)
        if (auto it = p->machines.find(name); it != p->machines.end()) it->second.deleting = false;
      return;
    }
    // The answer proves that the machines are gone, with everything on them.
    for (const std::string& name : names) fleet_.gone(*p, name);
  });
  if (!sent) return;
  for (const std::string& name : names) shard.machines.at(name).deleting = true;
}

void Renter::look_for_strays(Shard& shard) {
  const Micros now = state_.now();
  if (now < next_list_) return;
  const Micros pause = state_.context.settings.cloud_list_lag * 3 + seconds(10);
  const bool sent = call(
      CloudList{list_from_},
      [this, pause, name = shard.name, leadership_term = shard.leadership_term](const CloudAnswer& a) {
        Shard* p = state_.shard_in_term(name, leadership_term);
        if (p == nullptr || !a.ok()) return;
        for (const CloudMachine& c : a.machines) {
          if (fleet_.ownership().shard_of(c.name) != nullptr ||
              fleet_.ownership().home_shard(c.name, c.zone) != name)
            continue;
          if (c.age < pause) continue;  // whoever rented it is about to claim it
          fleet_.ownership().request(
              *p, machine_from({c.name, c.type, c.zone, c.spot, c.address, state_.context.wall - c.age}));
        }
        // Page after page, then from the beginning.
        list_from_ = a.more && !a.machines.empty() ? a.machines.back().name : "";
        if (!list_from_.empty()) next_list_ = state_.now();
      });
  next_list_ = now + (sent ? pause : seconds(1));
}

}  // namespace bendtide
