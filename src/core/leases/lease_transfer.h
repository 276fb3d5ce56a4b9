// Shards that one controller leaves to another: what both remember of it.
#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "core/workers/fleet.h"

namespace bendtide {

/// Why a leader leaves its shard to a peer.
enum class TransferReason : std::uint8_t {
  failback,            ///< the shard's own host asked for it
  store_unresponsive,  ///< the key-value store does not answer us
  workers_unreachable  ///< its workers can't reach us
};

std::string_view to_text(TransferReason reason);

/// Remembers the shards that were transferred to peers, which are not to be acquired again at once, and those
/// that were received from peers. All times are on the steady clock.
class LeaseTransfers {
 public:
  LeaseTransfers(ControllerState& state, Fleet& fleet);

  /// Probes some workers of the shards that were transferred because their workers could not reach us.
  void tick();

  /// Begins the transfer of a shard that we lead; the message for its next leader. It may be sent only after
  /// we have stopped to act for the shard.
  [[nodiscard]] LeaseTransfer begin(const Shard& shard, TransferReason reason);
  /// Whether a shard that was transferred is not to be acquired again yet. Forgets the transfer once it may.
  [[nodiscard]] bool holds_off(const std::string& shard);

  /// A peer left a shard to us, which is about to be acquired.
  void on_received(const LeaseTransfer& transfer);
  /// Whether a peer that could not serve the shard left it to us less than `span` ago.
  bool received_within(const std::string& shard, Micros span) const;
  /// What the last leader knew of machines that were silent, if `replaced` is the token it had: any leader in
  /// between would have left a newer lease record. Forgets the transfer.
  [[nodiscard]] std::vector<UnreachableMachine> take_handover(const std::string& shard,
                                                              FencingToken replaced);

 private:
  /// A shard that was transferred to a peer.
  struct Transferred {
    Micros until{0};                        ///< the peer has that long to acquire it
    std::vector<std::string> workers = {};  ///< addresses; one has to answer before we ask for the shard back
    bool probing = false;
    Micros next_probe{0};
  };

  void probe(const std::string& shard, Transferred& transferred);

  ControllerState& state_;
  Fleet& fleet_;
  std::map<std::string, Transferred> transferred_;
  std::map<std::string, Micros> received_;          ///< when, from peers that could not serve them
  std::map<std::string, LeaseTransfer> handovers_;  ///< the last one for each shard
};

}  // namespace bendtide
