// Higher fencing tokens for the shards that this controller leads.
#pragma once

#include <functional>

#include "core/leases/store_lease.h"

namespace bendtide {

/// Writes the lease record of a shard anew when its TokenAdvance is due: the revision of the new record is a
/// fencing token above all that were given out before.
class FencingTokenAdvance {
 public:
  /// `on_failed`: the lease records have to be listed anew.
  FencingTokenAdvance(ControllerState& state, const StoreLease& store_lease, std::function<void()> on_failed);

  void tick();

 private:
  void write_record(Shard& shard);
  void on_written(Shard& shard, const StoreResponse& response);

  ControllerState& state_;
  const StoreLease& store_lease_;
  std::function<void()> on_failed_;
};

}  // namespace bendtide
