// Which shards this controller leads.
#pragma once

#include "core/leases/fencing_token_advance.h"
#include "core/leases/lease_transfer.h"
#include "core/leases/peer_health.h"
#include "core/leases/shard_acquisition.h"
#include "core/leases/store_lease.h"

namespace bendtide {

/// Lists the lease records of all shards, keeps the routes to their leaders, acquires the shards that this
/// controller should lead, and gives up those that it lost or that a peer can serve better.
class ShardLeases {
 public:
  using Acquired = std::function<void(Shard&)>;
  using Lost = std::function<void(const std::string& shard)>;

  /// `on_acquired` gets each new shard, which has to be loaded yet; `on_lost` is called after a shard was
  /// removed from the state.
  ShardLeases(ControllerState& state, Fleet& fleet, Acquired on_acquired, Lost on_lost);

  void tick();
  /// A peer asks for its own shard back.
  void fail_back(const std::string& shard);
  void on_peer_health(const std::string& host, const PeerHealth& health) {
    peer_health_.on_peer_health(host, health);
  }
  /// A peer has given up a shard in our favour.
  void on_lease_transfer(const LeaseTransfer& transfer);
  /// A write met a lease record that is not ours: lists the lease records at once.
  void invalidate() { next_listing_ = Micros{0}; }

 private:
  void list_records();
  void on_records_listed(const StoreResponse& response);
  void update_route(ShardRoute& route, const KeyValue* entry);
  /// Gives up a shard that we lead if its record, as listed, is another's.
  void check_leadership(const std::string& shard, const KeyValue* entry);
  void list_records_after_failure();

  void consider_acquiring(const std::string& shard);
  /// How long a shard without leader is left to its own host and to those that come before us.
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
