// The core of one controller: events in, actions out. It has no clock, no randomness and no input or output
// of its own; the shell (app/) and the simulated cluster (tests/) drive it alike.
#pragma once

#include <memory>

#include "core/jobs/jobs.h"
#include "core/leases/shard_leases.h"
#include "core/negotiation/contract_net.h"
#include "core/provisioning/autoscaler.h"

namespace bendtide {

class Controller {
 public:
  Controller(Settings settings, std::string incarnation, std::uint64_t seed);

  /// Tells the time; called before every event, and often enough in between.
  void at(Micros steady, Micros wall);
  void tick();

  void on_submit(std::uint64_t request, const JobSpec& spec) { jobs_.on_submit(request, spec); }
  void on_malformed(std::uint64_t request, const std::string& id, const std::string& why) {
    jobs_.on_malformed(request, id, why);
  }
  void on_poll(std::uint64_t request, const std::string& id) { jobs_.on_poll(request, id); }
  void on_cancel(std::uint64_t request, const std::string& id) { jobs_.on_cancel(request, id); }
  void on_heartbeat(std::uint64_t request, const Heartbeat& heartbeat) {
    fleet_.on_heartbeat(request, heartbeat);
  }
  void on_store_response(std::uint64_t call, const StoreResponse& answer) {
    state_.store.on_response(call, answer);
  }
  void on_cloud_response(std::uint64_t call, const CloudResponse& answer) {
    autoscaler_.on_answer(call, answer);
  }
  void on_command_response(std::uint64_t call, const CommandResponse& answer) {
    fleet_.on_command_response(call, answer);
  }
  void on_admin(std::uint64_t request, const AdminRequest& asked);
  void on_peer(const std::string& host, const PeerMessage& message);

  /// Whether debug lines are written; they are not even made otherwise.
  void write_debug_lines(bool wanted) { context_.debugging = wanted; }
  const InvariantCounts& invariants() const { return context_.invariants; }
  /// Whether users should be sent here.
  bool healthy();
  /// The actions since the last call. The time is told once more: if the process stood still since the event
  /// began, what it was about to say to users may be out of date.
  std::vector<Action> take_actions(Micros steady);

  const ControllerState& state() const { return state_; }
  const ContractNet& net() const { return net_; }

 private:
  void load(Shard& shard);
  /// `asked`: when the records were asked for.
  void loaded(Shard& shard, Micros asked, const std::vector<KeyValue>& live,
              const std::vector<KeyValue>& owned_machines, const std::vector<KeyValue>& awards,
              const std::vector<KeyValue>& done);
  void load_quota_allocation(Shard& shard);
  void read_policy();
  void change_policy(std::uint64_t request, const Value& fields);
  void schedule(Shard& shard);

  Context context_;
  ControllerState state_;
  Fleet fleet_;
  Scheduler scheduler_;
  ContractNet net_;
  Jobs jobs_;
  Autoscaler autoscaler_;
  ShardLeases shard_leases_;
  Micros next_policy_{0};
  Micros next_scheduling_{0};
};

}  // namespace bendtide
