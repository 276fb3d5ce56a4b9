// The core of one controller.
#pragma once

#include "core/controller/policy_store.h"
#include "core/controller/shard_loader.h"
#include "core/jobs/jobs.h"
#include "core/leases/shard_leases.h"
#include "core/negotiation/contract_net.h"
#include "core/provisioning/autoscaler.h"

namespace bendtide {

/// One controller as a state machine: events in, actions out. It has no clock, no randomness and no input or
/// output of its own; the shell (app/) and the simulated cluster (tests/) drive it alike.
class Controller {
 public:
  /// `incarnation` names this process among all that ever ran under this host name.
  Controller(Settings settings, std::string incarnation, std::uint64_t seed);

  /// Sets both clocks; called before every event.
  void at(Micros steady, Micros wall);
  /// Does what is due by now; to be called at least once in each scheduling interval, which is 100 ms.
  void tick();

  // Requests of users, workers and operators: each is answered by one action with the same `request` number.

  void on_submit(std::uint64_t request, const JobSpec& spec) { jobs_.on_submit(request, spec); }
  /// A submission of the job `id` that is not valid, for the reason `why`.
  void on_malformed(std::uint64_t request, const std::string& id, const std::string& why) {
    jobs_.on_malformed(request, id, why);
  }
  void on_poll(std::uint64_t request, const std::string& id) { jobs_.on_poll(request, id); }
  void on_cancel(std::uint64_t request, const std::string& id) { jobs_.on_cancel(request, id); }
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
    fleet_.on_heartbeat(request, heartbeat);
  }
  void on_admin(std::uint64_t request, const AdminRequest& asked);

  // Responses to the actions of the core, which carry the same `call` number.

  void on_store_response(std::uint64_t call, const StoreResponse& response) {
    state_.store.on_response(call, response);
  }
  void on_cloud_response(std::uint64_t call, const CloudResponse& response) {
    autoscaler_.on_response(call, response);
  }
  void on_command_response(std::uint64_t call, const CommandResponse& response) {
    fleet_.on_command_response(call, response);
  }

  /// A message of another controller, or of this one to itself.
  void on_peer(const std::string& host, const PeerMessage& message);

  /// Whether debug lines are written; their text is not made otherwise.
  void write_debug_lines(bool wanted) { context_.debugging = wanted; }
  const InvariantCounts& invariants() const { return context_.invariants; }
  /// Whether requests of users should be routed here: our own shard is loaded, and the catalogue is known.
  bool healthy();
  /// The actions since the last call. `steady`: the steady clock once more. If the process was paused since
  /// the event began, its answers to users about unfinished jobs, and starts of tasks, may be outdated, and
  /// are withheld.
  std::vector<Action> take_actions(Micros steady);

  const ControllerState& state() const { return state_; }
  const ContractNet& net() const { return net_; }

 private:
  void schedule(Shard& shard);
  /// Changes what is placed on a machine once its heartbeat was applied.
  void place_on(Shard& shard, Machine& machine);
  void on_shard_ready(Shard& shard);

  Context context_;
  ControllerState state_;
  PolicyStore policy_;
  Fleet fleet_;
  Scheduler scheduler_;
  ContractNet net_;
  Jobs jobs_;
  Autoscaler autoscaler_;
  ShardLoader loader_;
  ShardLeases shard_leases_;
  Micros next_scheduling_{0};  ///< steady clock
};

}  // namespace bendtide
