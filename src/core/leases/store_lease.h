// The lease that this controller holds in the key-value store.
#pragma once

#include <functional>

#include "core/state/controller_state.h"

namespace bendtide {

/// Requests a lease from the key-value store and renews it. The lease records of all shards that this
/// controller leads are attached to this lease: when it ends, this controller leads no shard. Maintains
/// ControllerState::lease_valid_until, which is computed from the time at which a request was sent.
class StoreLease {
 public:
  struct Hooks {
    std::function<void()> granted;  ///< a new lease has been granted
    std::function<void()> ended;    ///< the lease has ended
  };

  StoreLease(ControllerState& state, Hooks hooks);

  /// Sends the next request when it is due. At most one request is in flight at a time.
  void tick();
  /// The ID of the lease; 0 if there is none.
  StoreLeaseId id() const { return id_; }
  bool is_granted() const { return id_ != 0; }
  /// Records that the lease no longer exists in the key-value store. Calls Hooks::ended. The next tick
  /// requests a new lease.
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
