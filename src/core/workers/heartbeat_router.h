// Routes heartbeats to the leader of the machine's shard, which is this controller or a peer.
#pragma once

#include <deque>

#include "core/ownership/machine_ownership.h"

namespace bendtide {

class HeartbeatRouter {
 public:
  /// Handles and replies to a heartbeat whose machine belongs to a ready shard that this controller leads.
  using OwnHeartbeatHandler =
      std::function<void(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat)>;

  HeartbeatRouter(ControllerState& state, MachineOwnership& ownership, OwnHeartbeatHandler on_own_heartbeat)
      : state_(state), ownership_(ownership), on_own_heartbeat_(std::move(on_own_heartbeat)) {}

  /// Passes the heartbeat to the handler, redirects it to the leader, refuses it, or defers it.
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat);
  /// Replies with status 503, after which the worker retries the heartbeat.
  void refuse(std::uint64_t request);
  /// Routes the deferred heartbeats of machines whose shard is now known.
  void resume_deferred();
  /// Refuses the heartbeats that have been deferred for too long.
  void expire_deferred();
  /// Records that a machine was deleted, so that a delayed copy of its heartbeat does not add the machine
  /// again.
  void on_machine_deleted(const std::string& machine);

 private:
  struct Deferred {
    std::uint64_t request;
    Heartbeat heartbeat;
    Micros received_at;  ///< when the heartbeat arrived; steady clock
  };

  void route(std::uint64_t request, const Heartbeat& heartbeat, Micros received_at);
  void route_unowned(std::uint64_t request, const Heartbeat& heartbeat, Micros received_at);
  void redirect(std::uint64_t request, const std::string& leader);
  void defer(std::uint64_t request, const Heartbeat& heartbeat, Micros received_at);

  ControllerState& state_;
  MachineOwnership& ownership_;
  OwnHeartbeatHandler on_own_heartbeat_;
  std::vector<Deferred> deferred_;         ///< waiting for an ownership record, a shard load or a new leader
  std::set<std::string> deleted_;          ///< recently deleted machines
  std::deque<std::string> deleted_order_;  ///< the same machines, oldest deletion first
};

}  // namespace bendtide
