// Exchanges health messages between controllers and selects a healthier controller for a shard.
#pragma once

#include <optional>

#include "core/leases/lease_transfer.h"
#include "core/workers/fleet.h"

namespace bendtide {

/// A healthier controller and the reason to transfer a shard to it.
struct TransferTarget {
  std::string host;
  TransferReason reason;
};

/// Exchanges PeerHealth messages with the other controllers and finds the shards that a peer can serve while
/// this controller cannot.
class PeerHealthMonitor {
 public:
  PeerHealthMonitor(ControllerState& state, const Fleet& fleet, const LeaseTransfers& transfers);

  /// Sends the health of this controller to every peer when the next message is due.
  void tick();
  /// Records a health message from the controller on `host`.
  void on_peer_health(const std::string& host, const PeerHealth& health);
  /// Returns the peer that the shard should be transferred to. None if this controller can serve the shard or
  /// no peer is known to be healthier.
  std::optional<TransferTarget> healthier_peer(const Shard& shard) const;

 private:
  /// Returns whether no machine of the shard has sent a heartbeat within the longest regular pause between
  /// heartbeats. False if fewer than two machines are expected to send any, or if the shard was acquired or
  /// received from a peer too recently to tell.
  bool all_workers_silent(const Shard& shard) const;

  ControllerState& state_;
  const Fleet& fleet_;
  const LeaseTransfers& transfers_;
  Micros next_message_{0};  ///< steady clock
};

}  // namespace bendtide
