// Heartbeats find their way to the leader of the shard that the machine belongs to, here or at a peer.
#pragma once

#include <deque>

#include "core/ownership/machine_ownership.h"

namespace bendtide {

class HeartbeatRouter {
 public:
  /// Handles, and replies to, a heartbeat of a machine of a shard that is led here and ready.
  using OwnHeartbeatHandler =
      std::function<void(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat)>;

  HeartbeatRouter(ControllerState& state, MachineOwnership& ownership, OwnHeartbeatHandler on_own_heartbeat)
      : state_(state), ownership_(ownership), on_own_heartbeat_(std::move(on_own_heartbeat)) {}

  /// Hands the heartbeat over, replies to it, or keeps it for a while.
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat);
  /// Replies with 503: the worker sends the heartbeat again.
  void refuse(std::uint64_t request);
  /// Routes the deferred heartbeats of machines whose shard is known by now.
  void resume_deferred();
  /// Refuses those that were deferred for too long.
  void expire_deferred();
  /// A late copy of a heartbeat must not bring the machine back.
  void on_machine_deleted(const std::string& machine);

 private:
  struct Deferred {
    std::uint64_t request;
    Heartbeat heartbeat;
    Micros since;  ///< when it came; steady clock
  };

  void route(std::uint64_t request, const Heartbeat& heartbeat, Micros since);
  void route_unowned(std::uint64_t request, const Heartbeat& heartbeat, Micros since);
  void redirect(std::uint64_t request, const std::string& leader);
  void defer(std::uint64_t request, const Heartbeat& heartbeat, Micros since);

  ControllerState& state_;
  MachineOwnership& ownership_;
  OwnHeartbeatHandler on_own_heartbeat_;
  std::vector<Deferred> deferred_;  ///< until an ownership record, a shard or a new leader is there
  std::set<std::string> deleted_;   ///< machines deleted lately
  std::deque<std::string> deleted_order_;
};

}  // namespace bendtide
