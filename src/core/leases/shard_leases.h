// Acquires, keeps and transfers the leadership of shards.
#pragma once

#include "core/leases/fencing_token_advance.h"
#include "core/leases/lease_transfer.h"
#include "core/leases/peer_health.h"
#include "core/leases/shard_acquisition.h"
#include "core/leases/store_lease.h"

namespace bendtide {

/// Lists the lease records of all shards and keeps the routes to their leaders. Acquires the shards that this
/// controller should lead. Gives up the shards that it has lost or that a peer can serve better.
class ShardLeases {
 public:
  using Acquired = std::function<void(Shard&)>;
  using Lost = std::function<void(const std::string& shard)>;

  /// `on_acquired` receives each acquired shard, whose records are not loaded yet. `on_lost` is called after
  /// a shard has been removed from the state.
  ShardLeases(ControllerState& state, Fleet& fleet, Acquired on_acquired, Lost on_lost);

  /// Starts the requests, messages and transfers that are due.
  void tick();
  /// Transfers a shard back to its home host, which requested it.
  void transfer_to_home_host(const std::string& shard);
  void on_peer_health(const std::string& host, const PeerHealth& health) {
    peer_health_.on_peer_health(host, health);
  }
  /// Acquires a shard that a peer has transferred to this controller.
  void on_lease_transfer(const LeaseTransfer& transfer);
  /// Makes the next tick list the lease records. Called when a write has conflicted with the lease record of
  /// another process.
  void invalidate() { next_listing_ = Micros{0}; }

 private:
  void list_records();
  void on_records_listed(const StoreResponse& response);
  void update_route(ShardRoute& route, const KeyValue* entry);
  /// Gives up a shard that this controller leads if the listed lease record is missing or was written by
  /// another process.
  void check_leadership(const std::string& shard, const KeyValue* entry);
  void schedule_listing_after_failure();

  void acquire_if_eligible(const std::string& shard);
  /// Returns how long this controller leaves a shard without leader to the shard's home host and to the other
  /// hosts that precede this one in the order of acquisition.
  Micros acquisition_delay(const std::string& shard, const ShardRoute& route) const;
  void begin_term(const std::string& name, FencingToken token, FencingToken replaced);

  void transfer(Shard& shard, const std::string& host, TransferReason reason);
  void lose_shard(const std::string& name, std::string_view why);
  void lose_all_shards();

  ControllerState& state_;
  Acquired on_acquired_;
  Lost on_lost_;
  StoreLease store_lease_;
  ShardAcquisition acquisition_;
  FencingTokenAdvance token_advance_;
  LeaseTransfers transfers_;
  PeerHealthMonitor peer_health_;
  bool listing_ = false;
  Micros next_listing_{0};  ///< steady clock
  std::uint64_t leadership_terms_ = 0;
};

}  // namespace bendtide
