// The lease of this controller at the key-value store.
#pragma once

#include <functional>

#include "core/state/controller_state.h"

namespace bendtide {

/// Requests a lease from the key-value store and renews it. All lease records of shards are attached to it:
/// when it ends, this controller leads no shard. Keeps ControllerState::lease_valid_until, which counts from
/// the moment at which a request was sent.
class StoreLease {
 public:
  struct Hooks {
    std::function<void()> granted;
    std::function<void()> ended;
  };

  StoreLease(ControllerState& state, Hooks hooks);

  /// Sends the next request when it is due. One request is in flight at a time.
  void tick();
  /// 0 if there is none.
  StoreLeaseId id() const { return id_; }
  bool is_granted() const { return id_ != 0; }
  /// The key-value store no longer knows the lease. Calls Hooks::ended; the next tick requests another lease.
  void end();

 private:
  void grant();
  void on_granted(Micros sent_at, const StoreResponse& response);
  void renew();
  void on_renewed(Micros sent_at, const StoreResponse& response);

  ControllerState& state_;
  Hooks hooks_;
  StoreLeaseId id_ = 0;
  bool request_in_flight_ = false;
  Micros next_request_{0};  ///< steady clock
};

}  // namespace bendtide
