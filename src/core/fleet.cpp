// Reports find their way to the part that the machine belongs to, here or at a peer.
#include "core/fleet.h"

namespace bendtide {

namespace {

constexpr Micros kWatchEvery = millis(250);
/// A report waits that long for a change of holder: its worker is still there to get the answer.
constexpr Micros kDeferFor = Settings::kWorkerPatience - Settings::kWorkerRetry;

}  // namespace

Fleet::Fleet(ControllerState& state, Hooks hooks)
    : state_(state),
      hooks_(std::move(hooks)),
      claims_(state, {[this](Shard& p, const Machine& m, bool settled) { add(p, m, settled); },
                      [this] { resume_deferred(); }, hooks_.invalidate_leases}) {}
void Fleet::answer(std::uint64_t request, int status, std::string redirect) {
  if (!redirect.empty()) ++state_.redirected_heartbeats[redirect];
  state_.context.act(AnswerWorker{request, {status, 0, {}, std::move(redirect)}});
}

void Fleet::on_report(std::uint64_t request, const Report& report) {
  route_report(request, report, state_.now());
}

void Fleet::route_report(std::uint64_t request, const Report& report, Micros since) {
  if (!state_.lease_valid()) return answer(request, 503);
  const std::string* name = claims_.shard_of(report.machine);
  if (name == nullptr) return on_unclaimed(request, report, since);
  if (Shard* shard = state_.held_shard(*name)) {
    if (shard->ready()) return on_own_report(request, *shard, report);
    return defer(request, report, since);  // the part is being loaded
  }
  const std::string leader_of = state_.leader_of(*name);
  if (leader_of == state_.self()) return answer(request, 503);
  // A holder that stands still would keep the worker waiting for longer than its lease lasts. It does better
  // to wait here for a moment, until somebody has taken over the part.
  const bool just_came = state_.now() - since < kDeferFor;
  if (!state_.reachable(leader_of) && just_came) return defer(request, report, since);
  answer(request, 421, leader_of);
}

void Fleet::defer(std::uint64_t request, const Report& report, Micros since) {
  // Each holds a socket, so that there can't be more of them.
  if (deferred_.size() >= state_.context.settings.sockets) return answer(request, 503);
  deferred_.push_back({request, report, since});
}

void Fleet::on_unclaimed(std::uint64_t request, const Report& report, Micros since) {
  // Only the holder of its home part claims a machine; everybody else need not read anything.
  const std::string home = claims_.home_shard(report.machine, report.zone);
  Shard* shard = state_.held_shard(home);
  if (shard == nullptr) {
    const std::string leader_of = state_.leader_of(home);
    return leader_of == state_.self() ? answer(request, 503) : answer(request, 421, leader_of);
  }
  if (!shard->ready() || deleted_.contains(report.machine)) return answer(request, 503);
  defer(request, report, since);
  // A machine that nobody claimed was never given a token: this one was claimed by somebody, or deleted.
  if (report.fencing_token != 0) return claims_.doubt();
  claims_.want(*shard, machine_of({report.machine, report.type, report.zone, report.spot, report.address,
                                   state_.context.wall}));
}

Machine& Fleet::add(Shard& shard, const Machine& machine, bool settled) {
  auto [it, fresh] = shard.machines.try_emplace(machine.name, machine);
  Machine& m = it->second;
  if (fresh) {
    if (const MachineType* type = state_.machine_type(m.type)) m.size = type->size;
    m.last_heard = m.last_reported = m.last_answered = m.idle_since = state_.now();
    m.settled = settled;
    shard.count_usage(m, 1);
  }
  return m;
}

void Fleet::resume_deferred() {
  std::vector<Deferred> again;
  std::swap(again, deferred_);
  for (Deferred& d : again) {
    if (claims_.shard_of(d.report.machine) != nullptr)
      route_report(d.request, d.report, d.since);
    else
      deferred_.push_back(std::move(d));
  }
}

void Fleet::on_shard_ready(Shard& shard) {
  for (auto& [name, m] : shard.machines)
    if (!m.settled) shard.push_to(m);
  resume_deferred();
}

void Fleet::gone(Shard& shard, const std::string& name) {
  auto it = shard.machines.find(name);
  if (it == shard.machines.end()) return;
  release_all(shard, it->second);
  shard.count_usage(it->second, -1);
  claims_.forget(shard, it->second);
  shard.machines.erase(it);
  deleted_.insert(name);
  deleted_order_.push_back(name);
  while (deleted_order_.size() > kRememberedDeleted) {
    deleted_.erase(deleted_order_.front());
    deleted_order_.pop_front();
  }
}

/// The worker keeps the images used last, as many as fit.
void Fleet::trim_images(Machine& m) const {
  const MachineType* type = state_.machine_type(m.type);
  if (type == nullptr) return;
  double total = 0;
  for (const auto& [name, image] : m.images) total += image.gb;
  while (total > type->cache_gb && !m.images.empty()) {
    auto oldest = std::min_element(m.images.begin(), m.images.end(), [](const auto& a, const auto& b) {
      return a.second.used < b.second.used;
    });
    total -= oldest->second.gb;
    m.images.erase(oldest);
  }
}

void Fleet::tick() {
  const Micros now = state_.now();
  resume_deferred();
  std::erase_if(deferred_, [&](const Deferred& d) {
    if (now - d.since < kDeferFor) return false;
    answer(d.request, 503);
    return true;
  });
  claims_.tick();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    if (now < shard.next_watch) continue;
    shard.next_watch = now + kWatchEvery;
    watch(shard);
    if (shard.unsettled_jobs && shard.all_settled()) {
      shard.unsettled_jobs = false;
      state_.context.info("part " + name + " knows what is on its machines");
      for (auto& [id, job] : shard.jobs) job.unsettled = false;
      shard.changed();
    }
  }
}

}  // namespace bendtide
