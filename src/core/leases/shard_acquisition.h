// How a controller becomes the leader of a shard: the conditional write of its lease record.
#pragma once

#include <functional>
#include <set>

#include "core/leases/store_lease.h"

namespace bendtide {

/// One attempt to become the leader of a shard.
struct Acquisition {
  std::string shard;
  Revision expected_revision = 0;  ///< of the lease record to be replaced; 0: there is none
  StoreLeaseId store_lease = 0;    ///< which the new record is attached to
};

/// Carries out acquisitions, one at a time for each shard.
class ShardAcquisition {
 public:
  struct Hooks {
    /// The lease record is ours, at the revision of `token`. `replaced`: the token of the record that was
    /// replaced; 0 if that is not known.
    std::function<void(const std::string& shard, FencingToken token, FencingToken replaced)> acquired;
    /// The lease records have to be listed anew.
    std::function<void()> failed;
  };

  ShardAcquisition(ControllerState& state, StoreLease& store_lease, Hooks hooks);

  /// Writes the lease record under the present store lease, provided that the stored record still has
  /// `expected_revision`.
  void start(const std::string& shard, Revision expected_revision);
  bool in_flight(const std::string& shard) const { return in_flight_.contains(shard); }

 private:
  void on_written(const Acquisition& acquisition, const StoreResponse& response);
  /// Reads the lease record after a write without response.
  void read_record(const Acquisition& acquisition);
  void on_record_read(const Acquisition& acquisition, const StoreResponse& response);
  /// Ends an acquisition. False if its store lease is no longer ours: the record has gone, or goes, with it.
  [[nodiscard]] bool finish(const Acquisition& acquisition);

  ControllerState& state_;
  StoreLease& store_lease_;
  Hooks hooks_;
  std::set<std::string> in_flight_;  ///< shards
};

}  // namespace bendtide
