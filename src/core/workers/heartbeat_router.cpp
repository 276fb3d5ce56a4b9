#include "core/workers/heartbeat_router.h"

namespace bendtide {

namespace {

/// The time for which a heartbeat is deferred. It ends while the worker still waits for the reply.
constexpr Micros kMaxDeferral = Settings::kHeartbeatTimeout - Settings::kHeartbeatRetryDelay;
constexpr std::size_t kMaxRememberedDeletedMachines = 4096;

}  // namespace

void HeartbeatRouter::on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
  route(request, heartbeat, state_.now());
}

void HeartbeatRouter::refuse(std::uint64_t request) {
  state_.context.emit(AnswerHeartbeat{request, {503, 0, {}, {}}});
}

void HeartbeatRouter::redirect(std::uint64_t request, const std::string& leader) {
  ++state_.redirected_heartbeats[leader];
  state_.context.emit(AnswerHeartbeat{request, {421, 0, {}, leader}});
}

void HeartbeatRouter::route(std::uint64_t request, const Heartbeat& heartbeat, Micros received_at) {
  if (!state_.lease_valid()) return refuse(request);
  const std::string* shard_name = ownership_.shard_of(heartbeat.machine);
  if (shard_name == nullptr) return route_unowned(request, heartbeat, received_at);
  if (Shard* shard = state_.held_shard(*shard_name)) {
    if (shard->ready()) return on_own_heartbeat_(request, *shard, heartbeat);
    return defer(request, heartbeat, received_at);  // the shard is being loaded
  }
  const std::string leader = state_.leader_of(*shard_name);
  if (leader == state_.own_host()) return refuse(request);
  // A worker that is redirected to a leader that hangs could wait for longer than its lease lasts. Deferring
  // the heartbeat briefly gives the shard time to get a new leader.
  const bool may_defer = state_.now() - received_at < kMaxDeferral;
  if (!state_.reachable(leader) && may_defer) return defer(request, heartbeat, received_at);
  redirect(request, leader);
}

/// Only the leader of the machine's home shard writes the first ownership record of a machine. Other
/// controllers redirect its heartbeats there and need not read the ownership records.
void HeartbeatRouter::route_unowned(std::uint64_t request, const Heartbeat& heartbeat, Micros received_at) {
  const std::string home = ownership_.home_shard(heartbeat.machine, heartbeat.zone);
  Shard* shard = state_.held_shard(home);
  if (shard == nullptr) {
    const std::string leader = state_.leader_of(home);
    return leader == state_.own_host() ? refuse(request) : redirect(request, leader);
  }
  if (!shard->ready() || deleted_.contains(heartbeat.machine)) return refuse(request);
  defer(request, heartbeat, received_at);
  // A machine that was never owned has no fencing token. A machine with a token is owned by another shard or
  // was deleted, so the ownership records must be read again.
  if (heartbeat.fencing_token != 0) return ownership_.invalidate();
  ownership_.request(*shard, machine_from({heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot,
                                           heartbeat.address, state_.context.wall}));
}

void HeartbeatRouter::defer(std::uint64_t request, const Heartbeat& heartbeat, Micros received_at) {
  // Each deferred heartbeat occupies a socket, so their number is limited by the number of sockets.
  if (deferred_.size() >= state_.context.settings.sockets) return refuse(request);
  deferred_.push_back({request, heartbeat, received_at});
}

void HeartbeatRouter::resume_deferred() {
  std::vector<Deferred> deferred;
  std::swap(deferred, deferred_);
  for (Deferred& waiting : deferred) {
    if (ownership_.shard_of(waiting.heartbeat.machine) != nullptr)
      route(waiting.request, waiting.heartbeat, waiting.received_at);
    else
      deferred_.push_back(std::move(waiting));
  }
}

void HeartbeatRouter::expire_deferred() {
  std::erase_if(deferred_, [&](const Deferred& waiting) {
    if (state_.now() - waiting.received_at < kMaxDeferral) return false;
    refuse(waiting.request);
    return true;
  });
}

void HeartbeatRouter::on_machine_deleted(const std::string& machine) {
  deleted_.insert(machine);
  deleted_order_.push_back(machine);
  while (deleted_order_.size() > kMaxRememberedDeletedMachines) {
    deleted_.erase(deleted_order_.front());
    deleted_order_.pop_front();
  }
}

}  // namespace bendtide
