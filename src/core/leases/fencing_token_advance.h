// Raises the fencing tokens of the shards that this controller leads.
#pragma once

#include <functional>

#include "core/leases/store_lease.h"

namespace bendtide {

/// Rewrites the lease record of a shard when the shard's TokenAdvance is due. The revision of the rewritten
/// record is the new fencing token. It is higher than every token issued for the shard before.
class FencingTokenAdvance {
 public:
  /// `on_failed` is called when a write fails. The caller must then list the lease records again.
  FencingTokenAdvance(ControllerState& state, const StoreLease& store_lease, std::function<void()> on_failed);

  /// Starts the writes that are due.
  void tick();

 private:
  void write_record(Shard& shard);
  void on_written(Shard& shard, FencingToken previous_token, const StoreResponse& response);

  ControllerState& state_;
  const StoreLease& store_lease_;
  std::function<void()> on_failed_;
};

}  // namespace bendtide
