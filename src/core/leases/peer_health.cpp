#include "core/leases/peer_health.h"

namespace bendtide {

namespace {

constexpr Micros kHealthMessageInterval = millis(1000);

}  // namespace

PeerHealthMonitor::PeerHealthMonitor(ControllerState& state, const Fleet& fleet,
                                     const LeaseTransfers& transfers)
    : state_(state), fleet_(fleet), transfers_(transfers) {}

void PeerHealthMonitor::tick() {
  if (state_.now() < next_message_) return;
  next_message_ = state_.now() + kHealthMessageInterval;
  for (const Peer& peer : state_.context.settings.peers) {
    const std::uint32_t redirected = std::exchange(state_.redirected_heartbeats[peer.host], 0);
    state_.context.emit(PeerSend{peer.host, PeerHealth{state_.store.responsive(), redirected}});
  }
}

void PeerHealthMonitor::on_peer_health(const std::string& host, const PeerHealth& health) {
  PeerState& peer = state_.peers[host];
  peer.last_health_at = state_.now();
  peer.store_responsive = health.store_responsive;
  if (health.redirected_heartbeats > 0) peer.redirected_heartbeats_reported_at = state_.now();
}

bool PeerHealthMonitor::all_workers_silent(const Shard& shard) const {
  const Micros silence = state_.context.settings.longest_heartbeat_pause();
  const Micros since = state_.now() - silence;
  if (shard.acquired_at + silence > since) return false;
  // A new leader needs time to detect that the machines are unreachable or never booted. Without this check,
  // a shard whose machines are all in that state would be transferred back and forth indefinitely.
  if (transfers_.received_within(shard.name, state_.context.settings.worker_lease * 2)) return false;
  std::size_t expected_workers = 0;
  for (const auto& [name, machine] : shard.machines) {
    if (machine.lifecycle.decommissioned ||
        (!machine.liveness.status_received && fleet_.may_be_booting(machine)))
      continue;
    // Also covers a machine that sends heartbeats but receives no commands: a transfer would not help it.
    if (machine.liveness.last_heartbeat_at > since) return false;
    ++expected_workers;
  }
  return expected_workers > 1;
}

std::optional<TransferTarget> PeerHealthMonitor::healthier_peer(const Shard& shard) const {
  const bool store_failing = state_.store.failing();
  if (!store_failing && !all_workers_silent(shard)) return std::nullopt;
  for (const auto& [host, peer] : state_.peers) {
    if (!state_.reachable(host) || !peer.store_responsive) continue;
    if (store_failing) return TransferTarget{host, TransferReason::store_unresponsive};
    const bool receives_redirected_heartbeats =
        peer.redirected_heartbeats_reported_at >= Micros{0} &&
        state_.now() - peer.redirected_heartbeats_reported_at < ControllerState::kPeerTimeout;
    if (receives_redirected_heartbeats) return TransferTarget{host, TransferReason::workers_unreachable};
  }
  return std::nullopt;
}

}  // namespace bendtide
