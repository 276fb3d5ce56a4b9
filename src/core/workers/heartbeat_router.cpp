#include "core/workers/heartbeat_router.h"

namespace bendtide {

namespace {

/// A heartbeat waits that long for a change of leader: its worker is still there to get the reply.
constexpr Micros kDeferFor = Settings::kWorkerPatience - Settings::kWorkerRetry;
constexpr std::size_t kRememberedDeleted = 4096;

}  // namespace

void HeartbeatRouter::on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
  route(request, heartbeat, state_.now());
}

void HeartbeatRouter::refuse(std::uint64_t request) {
  state_.context.act(AnswerHeartbeat{request, {503, 0, {}, {}}});
}

void HeartbeatRouter::redirect(std::uint64_t request, const std::string& leader) {
  ++state_.redirected_heartbeats[leader];
  state_.context.act(AnswerHeartbeat{request, {421, 0, {}, leader}});
}

void HeartbeatRouter::route(std::uint64_t request, const Heartbeat& heartbeat, Micros since) {
  if (!state_.lease_valid()) return refuse(request);
  const std::string* shard_name = ownership_.shard_of(heartbeat.machine);
  if (shard_name == nullptr) return route_unowned(request, heartbeat, since);
  if (Shard* shard = state_.held_shard(*shard_name)) {
    if (shard->ready()) return on_own_heartbeat_(request, *shard, heartbeat);
    return defer(request, heartbeat, since);  // the shard is being loaded
  }
  const std::string leader = state_.leader_of(*shard_name);
  if (leader == state_.self()) return refuse(request);
  // A leader that hangs would keep the worker waiting for longer than its lease lasts. It does better to wait
  // here for a moment, until the shard has a new leader.
  const bool just_came = state_.now() - since < kDeferFor;
  if (!state_.reachable(leader) && just_came) return defer(request, heartbeat, since);
  redirect(request, leader);
}

/// Only the leader of its home shard writes an ownership record of a machine; nobody else need read anything.
void HeartbeatRouter::route_unowned(std::uint64_t request, const Heartbeat& heartbeat, Micros since) {
  const std::string home = ownership_.home_shard(heartbeat.machine, heartbeat.zone);
  Shard* shard = state_.held_shard(home);
  if (shard == nullptr) {
    const std::string leader = state_.leader_of(home);
    return leader == state_.self() ? refuse(request) : redirect(request, leader);
  }
  if (!shard->ready() || deleted_.contains(heartbeat.machine)) return refuse(request);
  defer(request, heartbeat, since);
  // A machine that was never owned was never given a fencing token: this one is owned by another shard, or
  // was deleted.
  if (heartbeat.fencing_token != 0) return ownership_.invalidate();
  ownership_.request(*shard, machine_from({heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot,
                                           heartbeat.address, state_.context.wall}));
}

void HeartbeatRouter::defer(std::uint64_t request, const Heartbeat& heartbeat, Micros since) {
  // Each holds a socket, so that there can't be more of them.
  if (deferred_.size() >= state_.context.settings.sockets) return refuse(request);
  deferred_.push_back({request, heartbeat, since});
}

void HeartbeatRouter::resume_deferred() {
  std::vector<Deferred> deferred;
  std::swap(deferred, deferred_);
  for (Deferred& waiting : deferred) {
    if (ownership_.shard_of(waiting.heartbeat.machine) != nullptr)
      route(waiting.request, waiting.heartbeat, waiting.since);
    else
      deferred_.push_back(std::move(waiting));
  }
}

void HeartbeatRouter::expire_deferred() {
  std::erase_if(deferred_, [&](const Deferred& waiting) {
    if (state_.now() - waiting.since < kDeferFor) return false;
    refuse(waiting.request);
    return true;
  });
}

void HeartbeatRouter::on_machine_deleted(const std::string& machine) {
  deleted_.insert(machine);
  deleted_order_.push_back(machine);
  while (deleted_order_.size() > kRememberedDeleted) {
    deleted_.erase(deleted_order_.front());
    deleted_order_.pop_front();
  }
}

}  // namespace bendtide
