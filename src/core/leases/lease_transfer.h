// The state that both controllers keep about a shard whose leadership is transferred between them.
#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "core/workers/fleet.h"

namespace bendtide {

/// Why a leader transfers its shard to a peer.
enum class TransferReason : std::uint8_t {
  failback,            ///< the shard's home host requested it back
  store_unresponsive,  ///< the key-value store does not respond to this controller
  workers_unreachable  ///< the shard's workers cannot reach this controller
};

/// Returns the reason as text for the log.
std::string_view to_text(TransferReason reason);

/// Records the shards that this controller transferred to peers, which it must not acquire again immediately,
/// and the shards that it received from peers. All times are on the steady clock.
class LeaseTransfers {
 public:
  LeaseTransfers(ControllerState& state, Fleet& fleet);

  /// Probes some workers of each shard that was transferred because its workers could not reach this
  /// controller.
  void tick();

  /// Begins the transfer of a shard that this controller leads and returns the message for the next leader.
  /// The message may be sent only after this controller has stopped acting for the shard.
  [[nodiscard]] LeaseTransfer begin(const Shard& shard, TransferReason reason);
  /// Returns whether a transferred shard must not be acquired again yet. Removes the record of the transfer
  /// once the shard may be acquired.
  [[nodiscard]] bool is_held_off(const std::string& shard);

  /// Records that a peer has transferred a shard to this controller, which is about to acquire it.
  void on_received(const LeaseTransfer& transfer);
  /// Returns whether a peer released the shard to this controller while the lease record had this revision. A
  /// leader rewrites the record before it leads the shard again, so nobody leads the shard while the record
  /// still has this revision.
  bool is_released_at(const std::string& shard, Revision lease_record) const;
  /// Returns whether a peer that could not serve the shard transferred it to this controller less than `span`
  /// ago.
  bool received_within(const std::string& shard, Micros span) const;
  /// Returns what the previous leader knew about its silent machines, and removes the record of the transfer.
  /// The result is empty unless `replaced` is the fencing token of that leader: a leader in between would
  /// have written a newer lease record.
  [[nodiscard]] std::vector<UnreachableMachine> take_handover(const std::string& shard,
                                                              FencingToken replaced);

 private:
  /// A shard that was transferred to a peer.
  struct Transferred {
    Micros hold_off_until{0};               ///< the time until which the peer may acquire it
    std::vector<std::string> workers = {};  ///< addresses; one must answer before the shard is requested back
    bool probing = false;
    Micros next_probe{0};
  };

  void probe(const std::string& shard, Transferred& transferred);

  ControllerState& state_;
  Fleet& fleet_;
  std::map<std::string, Transferred> transferred_;
  std::map<std::string, Micros> received_;  ///< when received from a peer that could not serve the shard
  std::map<std::string, LeaseTransfer> handovers_;  ///< the latest one of each shard
};

}  // namespace bendtide
