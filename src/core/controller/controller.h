// The core of a controller.
#pragma once

#include "core/controller/policy_store.h"
#include "core/controller/shard_loader.h"
#include "core/jobs/jobs.h"
#include "core/leases/shard_leases.h"
#include "core/negotiation/contract_net.h"
#include "core/provisioning/autoscaler.h"

namespace bendtide {

/// A controller as a deterministic state machine that takes events and returns actions. It reads no clock,
/// uses no random numbers other than those derived from its seed, and does no input or output. The shell
/// (app/) and the simulated cluster (tests/) drive it in the same way.
class Controller {
 public:
  /// `incarnation` identifies this process among all processes that ever ran under this host name.
  Controller(Settings settings, std::string incarnation, std::uint64_t seed);

  /// Sets both clocks. Must be called before every event.
  void set_clocks(Micros steady, Micros wall);
  /// Runs everything that is due. Must be called at least once in each scheduling interval of 100 ms.
  void tick();

  // Requests from users, workers and operators. Each is answered by one action with the same `request`
  // number.

  void on_submit(std::uint64_t request, const JobSpec& spec) { jobs_.on_submit(request, spec); }
  /// A submission of the job `id` that is invalid for the reason `why`.
  void on_invalid_submission(std::uint64_t request, const std::string& id, const std::string& why) {
    jobs_.on_invalid_submission(request, id, why);
  }
  void on_poll(std::uint64_t request, const std::string& id) { jobs_.on_poll(request, id); }
  void on_cancel(std::uint64_t request, const std::string& id) { jobs_.on_cancel(request, id); }
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
    fleet_.on_heartbeat(request, heartbeat);
  }
  void on_admin(std::uint64_t request, const AdminRequest& admin_request);

  // Responses to actions of the core. Each carries the `call` number of its action.

  void on_store_response(std::uint64_t call, const StoreResponse& response) {
    state_.store.on_response(call, response);
  }
  void on_cloud_response(std::uint64_t call, const CloudResponse& response) {
    autoscaler_.on_response(call, response);
  }
  void on_command_response(std::uint64_t call, const CommandResponse& response) {
    fleet_.on_command_response(call, response);
  }

  /// A message from another controller, or from this controller to itself.
  void on_peer(const std::string& host, const PeerMessage& message);

  /// Sets whether debug lines are written. Their text is only built if they are.
  void set_debug_enabled(bool wanted) { context_.debug_enabled = wanted; }
  const InvariantCounts& invariants() const { return context_.invariants; }
  /// Whether users' requests should be routed to this controller: its home shard is loaded and the catalogue
  /// is known.
  bool healthy();
  /// Returns the actions since the last call. `steady` is the current time on the steady clock. If the
  /// process was paused after the event began, replies to users about unfinished jobs and start commands may
  /// be outdated: the replies get status 503 and the start commands are removed.
  std::vector<Action> take_actions(Micros steady);

  const ControllerState& state() const { return state_; }
  const ContractNet& contract_net() const { return contract_net_; }

 private:
  void schedule(Shard& shard);
  /// Updates the placements on a machine after its heartbeat was applied.
  void place_on(Shard& shard, Machine& machine);
  void on_shard_ready(Shard& shard);

  Context context_;
  ControllerState state_;
  PolicyStore policy_;
  Fleet fleet_;
  Scheduler scheduler_;
  ContractNet contract_net_;
  Jobs jobs_;
  Autoscaler autoscaler_;
  ShardLoader loader_;
  ShardLeases shard_leases_;
  Micros next_scheduling_at_{0};  ///< steady clock
};

}  // namespace bendtide
