// What controllers tell one another of their health, and which of them could serve a shard better.
#pragma once

#include <optional>

#include "core/leases/lease_transfer.h"
#include "core/workers/fleet.h"

namespace bendtide {

/// A healthier controller, and why a shard should be transferred to it.
struct TransferTarget {
  std::string host;
  TransferReason reason;
};

/// Exchanges PeerHealth messages with the other controllers and finds shards that one of them could serve
/// while this one can't.
class PeerHealthMonitor {
 public:
  PeerHealthMonitor(ControllerState& state, const Fleet& fleet, const LeaseTransfers& transfers);

  /// Sends our health to every peer when that is due.
  void tick();
  void on_peer_health(const std::string& host, const PeerHealth& health);
  /// None if this controller can serve the shard, or no peer is known to do better.
  std::optional<TransferTarget> healthier_peer(const Shard& shard) const;

 private:
  /// Whether all machines of the shard have been silent for longer than any pause between heartbeats.
  bool all_workers_silent(const Shard& shard) const;

  ControllerState& state_;
  const Fleet& fleet_;
  const LeaseTransfers& transfers_;
  Micros next_message_{0};  ///< steady clock
};

}  // namespace bendtide
