// Which shards this controller holds: the lease, taking, bumping, handing back.
#pragma once

#include "core/workers/fleet.h"

namespace bendtide {

class ShardLeases {
 public:
  using Acquired = std::function<void(Shard&)>;
  using Lost = std::function<void(const std::string& shard)>;

  ShardLeases(ControllerState& state, Fleet& fleet, Acquired on_acquired, Lost on_lost);

  void tick();
  /// Rewrites our holding record, for a fencing token above all that were ever given out.
  void advance_fencing_token(Shard& shard);
  /// Another controller wants its own shard back.
  void fail_back(const std::string& shard);
  void on_peer_health(const std::string& host, const PeerHealth& health);
  /// Another controller has let go of a shard that it can't serve.
  void on_lease_transfer(const LeaseTransfer& transfer_lease);
  /// A write met a fencing token that is not ours: find out.
  void invalidate() { next_reload_ = Micros{0}; }

 private:
  void renew_store_lease();
  void reload();
  void on_lease_records(const StoreResponse& answer);
  void consider_acquiring(const std::string& shard);
  void acquire(const std::string& shard, Revision expected_revision);
  void on_acquire_response(const std::string& shard, Revision expected_revision, const StoreResponse& a);
  void resolve_acquisition(const std::string& shard);
  /// Ends a taking; false if the lease that the record was written under is no longer ours, so that the
  /// record goes with it, or has gone.
  bool finish_acquisition(const std::string& shard);
  void activate(const std::string& shard, FencingToken fencing_token, FencingToken replaced_token);
  void lose_shard(std::string shard, const char* why);
  void lose_lease();
  void report_health();
  /// Whether a peer could serve a part of ours that we can't; then which.
  std::optional<std::string> healthier_peer(const Shard& shard) const;
  bool hears_no_worker(const Shard& shard) const;
  void transfer_lease(Shard& shard, const std::string& to, bool asked_for, const char* why);
  void probe_workers();

  /// After we let go of our own shard, we do not ask for it back for a while, nor before a worker of it has
  /// answered us if it was for their silence.
  struct TransferredShard {
    Micros until{0};
    std::vector<std::string> workers;  ///< some addresses; none: no need to ask them
    bool probing = false;
    Micros next_probe{0};
  };

  ControllerState& state_;
  Fleet& fleet_;
  Acquired on_acquired_;
  Lost on_lost_;
  StoreLeaseId store_lease_ = 0;
  bool store_lease_request_in_flight_ = false;
  Micros next_renewal_{0};
  bool reloading_ = false;
  Micros next_reload_{0};
  std::map<std::string, StoreLeaseId>
      acquiring_;  ///< shards whose taking is under way, and under which lease
  std::uint64_t leadership_terms_ = 0;
  Micros next_health_report_{0};
  std::map<std::string, TransferredShard> transferred_;
  std::map<std::string, Micros>
      received_transfers_;  ///< shards that a peer could not serve and left to us, and when
  std::map<std::string, LeaseTransfer>
      handover_states_;  ///< the last one for each shard: counts if it is of the record taken over
};

}  // namespace bendtide
