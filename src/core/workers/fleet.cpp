// Reports find their way to the shard that the machine belongs to, here or at a peer.
#include "core/workers/fleet.h"

namespace bendtide {

namespace {

constexpr Micros kWatchEvery = millis(250);
/// A heartbeat waits that long for a change of leader: its worker is still there to get the answer.
constexpr Micros kDeferFor = Settings::kWorkerPatience - Settings::kWorkerRetry;

}  // namespace

Fleet::Fleet(ControllerState& state, Hooks hooks)
    : state_(state),
      hooks_(std::move(hooks)),
      ownership_(state, {[this](Shard& p, const Machine& m, bool reconciled) { add(p, m, reconciled); },
                         [this] { resume_deferred(); }, hooks_.invalidate_leases}) {}
void Fleet::answer(std::uint64_t request, int status, std::string redirect) {
  if (!redirect.empty()) ++state_.redirected_heartbeats[redirect];
  state_.context.act(AnswerHeartbeat{request, {status, 0, {}, std::move(redirect)}});
}

void Fleet::on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
  route_heartbeat(request, heartbeat, state_.now());
}

void Fleet::route_heartbeat(std::uint64_t request, const Heartbeat& heartbeat, Micros since) {
  if (!state_.lease_valid()) return answer(request, 503);
  const std::string* name = ownership_.shard_of(heartbeat.machine);
  if (name == nullptr) return on_unclaimed(request, heartbeat, since);
  if (Shard* shard = state_.held_shard(*name)) {
    if (shard->ready()) return on_own_heartbeat(request, *shard, heartbeat);
    return defer(request, heartbeat, since);  // the shard is being loaded
  }
  const std::string leader_of = state_.leader_of(*name);
  if (leader_of == state_.self()) return answer(request, 503);
  // A leader that stands still would keep the worker waiting for longer than its lease lasts. It does better
  // to wait here for a moment, until somebody has taken over the shard.
  const bool just_came = state_.now() - since < kDeferFor;
  if (!state_.reachable(leader_of) && just_came) return defer(request, heartbeat, since);
  answer(request, 421, leader_of);
}

void Fleet::defer(std::uint64_t request, const Heartbeat& heartbeat, Micros since) {
  // Each holds a socket, so that there can't be more of them.
  if (deferred_.size() >= state_.context.settings.sockets) return answer(request, 503);
  deferred_.push_back({request, heartbeat, since});
}

void Fleet::on_unclaimed(std::uint64_t request, const Heartbeat& heartbeat, Micros since) {
  // Only the leader of its home shard claims a machine; everybody else need not read anything.
  const std::string home = ownership_.home_shard(heartbeat.machine, heartbeat.zone);
  Shard* shard = state_.held_shard(home);
  if (shard == nullptr) {
    const std::string leader_of = state_.leader_of(home);
    return leader_of == state_.self() ? answer(request, 503) : answer(request, 421, leader_of);
  }
  if (!shard->ready() || deleted_.contains(heartbeat.machine)) return answer(request, 503);
  defer(request, heartbeat, since);
  // A machine that nobody claimed was never given a fencing token: this one was claimed by somebody, or
  // deleted.
  if (heartbeat.fencing_token != 0) return ownership_.invalidate();
  ownership_.request(*shard, machine_from({heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot,
                                           heartbeat.address, state_.context.wall}));
}

Machine& Fleet::add(Shard& shard, const Machine& machine, bool reconciled) {
  auto [it, fresh] = shard.machines.try_emplace(machine.name, machine);
  Machine& m = it->second;
  if (fresh) {
    if (const MachineType* type = state_.machine_type(m.type)) m.size = type->size;
    m.last_status_at = m.last_heartbeat_at = m.last_reply_at = m.idle_since = state_.now();
    m.reconciled = reconciled;
    shard.count_usage(m, 1);
  }
  return m;
}

void Fleet::resume_deferred() {
  std::vector<Deferred> again;
  std::swap(again, deferred_);
  for (Deferred& d : again) {
    if (ownership_.shard_of(d.heartbeat.machine) != nullptr)
      route_heartbeat(d.request, d.heartbeat, d.since);
    else
      deferred_.push_back(std::move(d));
  }
}

void Fleet::on_shard_ready(Shard& shard) {
  for (auto& [name, m] : shard.machines)
    if (!m.reconciled) shard.request_push(m);
  resume_deferred();
}

void Fleet::gone(Shard& shard, const std::string& name) {
  auto it = shard.machines.find(name);
  if (it == shard.machines.end()) return;
  release_all(shard, it->second);
  shard.count_usage(it->second, -1);
  ownership_.remove(shard, it->second);
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
  ownership_.tick();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    if (now < shard.next_watch) continue;
    shard.next_watch = now + kWatchEvery;
    watch(shard);
    if (shard.has_unreconciled_jobs && shard.all_reconciled()) {
      shard.has_unreconciled_jobs = false;
      state_.context.info("part " + name + " knows what is on its machines");
      for (auto& [id, job] : shard.jobs) job.unreconciled = false;
      shard.changed();
    }
  }
}

}  // namespace bendtide
