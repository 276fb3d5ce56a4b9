// Makes this controller the leader of a shard by a conditional write of the shard's lease record.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "core/leases/store_lease.h"

namespace bendtide {

/// One attempt to become the leader of a shard.
struct Acquisition {
  std::string shard;
  Revision expected_revision = 0;  ///< of the lease record to replace; 0 if there is none
  StoreLeaseId store_lease = 0;    ///< the lease that the new record is attached to
};

/// Performs acquisitions, one at a time for each shard.
class ShardAcquisition {
 public:
  struct Hooks {
    /// Called when this process has written the lease record, whose revision is `token`. `replaced` is the
    /// fencing token of the previous record, or 0 if it is not known.
    std::function<void(const std::string& shard, FencingToken token, FencingToken replaced)> acquired;
    /// Called when an acquisition has failed. The lease records must then be listed again.
    std::function<void()> failed;
  };

  ShardAcquisition(ControllerState& state, StoreLease& store_lease, Hooks hooks);

  /// Writes the lease record under the current store lease if the stored record still has
  /// `expected_revision`.
  void start(const std::string& shard, Revision expected_revision);
  bool in_flight(const std::string& shard) const { return in_flight_.contains(shard); }
  /// Records that this process no longer leads the shard, which it led under `last_token`.
  void on_term_ended(const std::string& shard, FencingToken last_token);

 private:
  void on_written(const Acquisition& acquisition, const StoreResponse& response);
  /// Reads the lease record after a write whose outcome is unknown.
  void read_record(const Acquisition& acquisition);
  void on_record_read(const Acquisition& acquisition, const StoreResponse& response);
  /// Returns whether the lease record shows that an acquisition by this process was applied and that no peer
  /// can replace the record.
  bool shows_leadership(const Acquisition& acquisition, const KeyValue& entry) const;
  /// Ends an acquisition. Returns false if its store lease has ended: the key-value store has removed the
  /// lease record, or will remove it, together with that lease.
  [[nodiscard]] bool finish(const Acquisition& acquisition);

  ControllerState& state_;
  StoreLease& store_lease_;
  Hooks hooks_;
  std::set<std::string> in_flight_;                  ///< shards that are being acquired
  std::map<std::string, FencingToken> last_tokens_;  ///< of the latest ended term of this process, by shard
};

}  // namespace bendtide
