#include "core/provisioning/autoscaler.h"

namespace bendtide {

using Outcome = CloudResponse::Outcome;

namespace {

constexpr double kSlice = 0.8;
constexpr Micros kScaleOutInterval = millis(500);
constexpr Micros kExhaustedFor = seconds(20);
constexpr double kForeignZone = 1.25;  ///< what a service is ready to pay for not going there
constexpr double kSlowBoot = 120;      ///< a boot of this many seconds doubles the price in our eyes
constexpr std::size_t kNamesPerDelete = 100;
constexpr int kMachinesPerCreation = 50;
/// Opportunistic work that has not begun by then gets a machine for its first task at any price.
constexpr Micros kLongestWait = seconds(120);
constexpr Micros kLeastPaid = seconds(60);  ///< a machine costs as much even if it is returned earlier

}  // namespace

Autoscaler::Autoscaler(ControllerState& state, Fleet& fleet)
    : state_(state),
      fleet_(fleet),
      budget_(kSlice * state.context.settings.cloud_calls_per_s /
                  static_cast<double>(state.context.settings.controllers()),
              std::max(1.0, state.context.settings.cloud_calls_per_s /
                                static_cast<double>(state.context.settings.controllers()))) {}

bool Autoscaler::call(CloudRequest request, Callback callback) {
  if (!budget_.take(state_.now())) return false;
  const std::uint64_t id = next_call_++;
  in_flight_.emplace(id, std::move(callback));
  state_.context.act(CloudCall{id, std::move(request)});
  return true;
}

void Autoscaler::on_answer(std::uint64_t id, const CloudResponse& answer) {
  auto it = in_flight_.find(id);
  if (it == in_flight_.end()) return;
  Callback callback = std::move(it->second);
  in_flight_.erase(it);
  callback(answer);
}

std::string Autoscaler::next_idempotency_key() {
  // Never used before or after: the incarnation is this process's own.
  return state_.self() + "-" + state_.context.incarnation + "-" + std::to_string(++idempotency_keys_);
}

void Autoscaler::tick() {
  const Micros now = state_.now();
  if (!reading_catalogue_ && now >= next_catalogue_) read_catalogue();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    scale_in_idle_machines(shard);
    decommission_stuck_machines(shard);
    delete_decommissioned_machines(shard);
    if (now >= next_scale_out_ && !state_.catalogue.empty()) scale_out(shard);
    if (name == state_.self()) adopt_orphaned_machines(shard);
  }
  if (now >= next_scale_out_) next_scale_out_ = now + kScaleOutInterval;
}

void Autoscaler::on_shard_ready(Shard&) {
  if (next_list_ == Micros{0}) next_list_ = state_.now() + state_.context.settings.cloud_list_lag * 2;
}

// ---- catalogue -----------------------------------------------------------------------------------

void Autoscaler::read_catalogue() {
  const bool first = state_.catalogue.empty();
  reading_catalogue_ = true;
  auto again = [this](Micros in) {
    reading_catalogue_ = false;
    next_catalogue_ = state_.now() + in;
  };
  const bool sent = call(ListMachineTypes{}, [this, again, first](const CloudResponse& a) {
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

bool Autoscaler::suits(const JobSpec& spec, const Offering& offering) {
  return (!offering.spot || spec.spot) && spec.allows_type(offering.type) &&
         (!spec.zone || *spec.zone == offering.zone);
}

std::optional<Autoscaler::Offering> Autoscaler::cheapest_offering(const Shard& shard, const Demand& demand,
                                                                  const std::vector<Demand>& demands) const {
  const JobSpec& spec = demand.job->spec;
  std::optional<Offering> best;
  double best_cost = 0;
  for (const MachineType& t : state_.catalogue) {
    if (t.size.holds(spec.each) <= 0) continue;
    for (const std::string& zone : t.zones)
      for (bool spot : {false, true}) {
        const Offering offering{t.name, zone, spot};
        if (!suits(spec, offering) || (demand.spot_only && !spot)) continue;
        if (spot && (!state_.context.policy.spot_machines || t.spot_price <= 0)) continue;
        if (shard.cut_zones.contains(zone)) continue;
        if (auto it = exhausted_until_.find(offering);
            it != exhausted_until_.end() && it->second > state_.now())
          continue;
        // For each CPU that will be used: a machine not filled is dearer, and one that boots slowly, too.
        std::int64_t wanted = 0;
        for (const Demand& other : demands)
          if (suits(other.job->spec, offering)) wanted += other.job->spec.each.cpu * other.tasks;
        double cost = (spot ? t.spot_price : t.price) / static_cast<double>(std::min(t.size.cpu, wanted));
        cost *= 1.0 + in_seconds(t.boot) / kSlowBoot;
        // Our own zone decides among equals; for services it is worth more, as they go on there when the way
        // to the others is cut.
        if (zone != state_.context.settings.zone) cost *= spec.shape == Shape::service ? kForeignZone : 1.001;
        if (!best || cost < best_cost) best = offering, best_cost = cost;
      }
  }
  return best;
}

/// Whether a machine that boots is still counted on. One that is overdue is, while no other of its type that
/// was rented as late has come up: then all of them are slow, and renting them anew would bring twice what is
/// needed.
bool Autoscaler::may_still_come(const Machine& m, const std::map<std::string, Micros>& newest_up) const {
  const MachineType* type = state_.machine_type(m.type);
  const Micros age = state_.context.wall - m.rented_at;
  if (age <= type->boot * 8 / 5 + seconds(2)) return true;
  if (!fleet_.booting(m)) return false;
  auto newest = newest_up.find(m.type);
  return newest == newest_up.end() || newest->second < m.rented_at;
}

std::vector<Autoscaler::Bin> Autoscaler::future_bins(const Shard& shard) const {
  std::map<std::string, Micros> newest_up;  // of each type, by the moment of renting
  for (const auto& [name, m] : shard.machines)
    if (m.liveness.status_received) newest_up[m.type] = std::max(newest_up[m.type], m.rented_at);
  std::vector<Bin> bins;
  for (const auto& [name, m] : shard.machines) {
    const MachineType* type = state_.machine_type(m.type);
    if (m.lifecycle.decommissioned || type == nullptr) continue;
    const Offering offering{m.type, m.zone, m.spot};
    if (m.liveness.status_received) {
      // Room that will be free before a new machine is up saves renting it.
      if (fleet_.usable(m)) bins.push_back({offering, m.released_by(state_.now() + type->boot)});
    } else if (!shard.cut_zones.contains(m.zone) && may_still_come(m, newest_up)) {
      bins.push_back({offering, m.size});
    }
  }
  return bins;
}

void Autoscaler::fill(Bin& bin, Demand& demand) {
  if (demand.tasks <= 0 || bin.free.cpu < demand.job->spec.each.cpu || !suits(demand.job->spec, bin.offering))
    return;
  const std::int64_t n = std::min(demand.tasks, bin.free.holds(demand.job->spec.each));
  bin.free -= demand.job->spec.each * n;
  demand.tasks -= n;
}

/// What finds no room in the bins, the highest priority first.
std::vector<Autoscaler::Demand> Autoscaler::demands_beyond(Shard& shard, std::vector<Bin>& bins) const {
  std::vector<Demand> demands;
  std::map<std::string, Quota> share;
  for (auto& [id, job] : shard.jobs) {
    if (job.overflow == 0 || !(job.refused || !job.owner.empty())) continue;
    auto [free, fresh] = share.try_emplace(job.spec.team);
    if (fresh) free->second = shard.free_quota_share(job.spec.team);
    const Quota each = quota_of(job.spec.each);
    Demand demand{&job, std::min<std::int64_t>(job.overflow, free->second.holds(each))};
    if (state_.context.settings.best_effort(job.spec)) {
      // It has to begin all the same.
      demand.best_effort = true;
      const bool too_long = !job.begun() && state_.context.wall - job.accepted > kLongestWait;
      demand.spot_only = !too_long;
      if (too_long) demand.tasks = std::min<std::int64_t>(demand.tasks, 1);
    }
    free->second -= each * demand.tasks;
    for (Bin& bin : bins) fill(bin, demand);
    if (demand.tasks > 0) demands.push_back(demand);
  }
  std::stable_sort(demands.begin(), demands.end(), [](const Demand& a, const Demand& b) {
    return a.job->spec.priority > b.job->spec.priority;
  });
  return demands;
}

std::map<Autoscaler::Offering, Autoscaler::MachinesWanted> Autoscaler::machines_wanted(Shard& shard) {
  std::map<Offering, MachinesWanted> out;
  std::vector<Bin> bins = future_bins(shard);
  std::vector<Demand> demands = demands_beyond(shard, bins);
  int machines = 0;
  for (Demand& demand : demands)
    while (demand.tasks > 0 && machines < kMachinesPerCreation) {
      auto offering = cheapest_offering(shard, demand, demands);
      demand.job->unrentable = !offering;
      if (!offering) break;
      MachinesWanted& wanted = out[*offering];
      ++wanted.count;
      wanted.best_effort &= demand.best_effort;
      ++machines;
      Bin bin{*offering, state_.machine_type(offering->type)->size};
      for (Demand& other : demands) fill(bin, other);
    }
  return out;
}

void Autoscaler::report_exhausted(const Offering& offering) {
  exhausted_until_[offering] = state_.now() + kExhaustedFor;
  for (const Peer& peer : state_.context.settings.peers)
    state_.context.act(PeerSend{peer.host, CapacityExhausted{offering.type, offering.zone, offering.spot}});
}

void Autoscaler::on_capacity_exhausted(const CapacityExhausted& exhausted) {
  if (state_.machine_type(exhausted.type) != nullptr)
    exhausted_until_[{exhausted.type, exhausted.zone, exhausted.spot}] = state_.now() + kExhaustedFor;
}

void Autoscaler::scale_out(Shard& shard) {
  if (creating_.contains(shard.name)) return;
  if (!unanswered_creations_.empty()) {
    // The same idempotency key again tells what it rented, and rents nothing twice.
    const auto [idempotency_key, what] = *unanswered_creations_.begin();
    return create_machines(shard, idempotency_key, what.first, what.second);
  }
  const std::map<Offering, MachinesWanted> wanted = machines_wanted(shard);
  if (wanted.empty()) return;
  // One at a time, as the next pass sees what this one brought: best-effort work last, else the largest, as
  // commands are few.
  const auto& [offering, most] =
      *std::max_element(wanted.begin(), wanted.end(), [](const auto& a, const auto& b) {
        return std::pair(!a.second.best_effort, a.second.count) <
               std::pair(!b.second.best_effort, b.second.count);
      });
  create_machines(shard, next_idempotency_key(), offering, std::min(most.count, kMachinesPerCreation));
}

void Autoscaler::create_machines(Shard& shard, const std::string& idempotency_key, const Offering& offering,
                                 int count) {
  const bool sent = call(
      CreateMachines{idempotency_key, offering.type, offering.zone, offering.spot, count},
      [this, idempotency_key, offering, count, name = shard.name,
       leadership_term = shard.leadership_term](const CloudResponse& a) {
        creating_.erase(name);
        unanswered_creations_.erase(idempotency_key);
        if (a.outcome == Outcome::no_capacity) {
          report_exhausted(offering);
        } else if (a.outcome == Outcome::unknown) {
          unanswered_creations_[idempotency_key] = {offering, count};
        } else if (a.ok()) {
          if (static_cast<int>(a.names.size()) < count) report_exhausted(offering);
          state_.context.info("rented " + std::to_string(a.names.size()) + " of " + std::to_string(count) +
                              " " + offering.type + " in " + offering.zone +
                              (offering.spot ? " (spot)" : ""));
          Shard* p = state_.shard_in_term(name, leadership_term);
          for (const std::string& machine : a.names) {
            if (p == nullptr) break;  // found as strays later
            fleet_.ownership().request(
                *p, machine_from(
                        {machine, offering.type, offering.zone, offering.spot, {}, state_.context.wall}));
          }
        }
      });
  if (sent) creating_.insert(shard.name);
}

// ---- returning -----------------------------------------------------------------------------------

void Autoscaler::scale_in_idle_machines(Shard& shard) {
  const Micros now = state_.now();
  const Micros idle = seconds(state_.context.policy.idle_return_s);
  // Kept idle for tasks that it does not suit, it could block the room in the cloud that these wait for.
  for (auto& [name, m] : shard.machines) {
    if (m.lifecycle.decommissioned || !m.liveness.status_received || !m.reconciled) continue;
    // Behind a cut they are idle because nothing reaches them, and will be wanted when the cut is over.
    if (m.liveness.lease_expired || shard.cut_zones.contains(m.zone)) continue;
    if (!m.idle()) {
      drain_best_effort(shard, m);
      continue;
    }
    if (now - m.idle_since < idle || state_.context.wall - m.rented_at < kLeastPaid) continue;
    m.lifecycle.decommissioned = true;
    state_.context.debug([&m = m] { return "machine " + m.name + " is idle: it is returned"; });
  }
}

void Autoscaler::drain_best_effort(Shard& shard, Machine& m) const {
  if (m.spot) return;
  const Settings& settings = state_.context.settings;
  for (const auto& [id, p] : m.tasks) {
    auto job = shard.jobs.find(id.task.job);
    if (p.wanted && p.takes_resources() && job != shard.jobs.end() && settings.best_effort(job->second.spec))
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

void Autoscaler::decommission_stuck_machines(Shard& shard) {
  for (auto& [name, m] : shard.machines) {
    if (m.liveness.status_received || m.lifecycle.decommissioned || fleet_.booting(m)) continue;
    // Behind a cut it may have been up before we took the shard. But machines that never came up look like a
    // cut, and would keep their zone closed to renting for as long as they are kept.
    const Micros lease = state_.context.settings.worker_lease;
    const Micros patience = shard.cut_zones.contains(m.zone) ? lease * 3 / 2 : lease;
    // When the zone can be reached again, all its workers have a lease's time to say so.
    if (state_.now() - std::max(shard.acquired_at, shard.cut_over) > patience) {
      m.lifecycle.decommissioned = true;
      state_.context.info("machine " + name + " does not come up: it is deleted");
    }
  }
}

void Autoscaler::delete_decommissioned_machines(Shard& shard) {
  DeleteMachines request;
  for (auto& [name, m] : shard.machines)
    if (m.lifecycle.decommissioned && !m.lifecycle.deleting && request.machines.size() < kNamesPerDelete)
      request.machines.push_back(name);
  if (request.machines.empty()) return;
  const std::vector<std::string> names = request.machines;
  const bool sent =
      call(std::move(request), [this, names, shard_name = shard.name,
                                leadership_term = shard.leadership_term](const CloudResponse& a) {
        Shard* p = state_.shard_in_term(shard_name, leadership_term);
        if (p == nullptr) return;
        if (!a.ok()) {
          for (const std::string& name : names)
            if (auto it = p->machines.find(name); it != p->machines.end())
              it->second.lifecycle.deleting = false;
          return;
        }
        // The answer proves that the machines are gone, with everything on them.
        for (const std::string& name : names) fleet_.remove(*p, name);
      });
  if (!sent) return;
  for (const std::string& name : names) shard.machines.at(name).lifecycle.deleting = true;
}

void Autoscaler::adopt_orphaned_machines(Shard& shard) {
  const Micros now = state_.now();
  if (now < next_list_) return;
  const Micros pause = state_.context.settings.cloud_list_lag * 3 + seconds(10);
  const bool sent = call(
      ListMachines{list_from_},
      [this, pause, name = shard.name, leadership_term = shard.leadership_term](const CloudResponse& a) {
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
