// Injects random faults at random times, drawn from the seed of the plan. Most faults end by themselves
// within seconds; killed machines are not restarted and cancelled jobs stay cancelled.
#pragma once

#include <functional>
#include <vector>

#include "controllers.h"
#include "store_server.h"
#include "user_crowd.h"
#include "worker_fleet.h"

namespace bendtide::lab {

class FaultInjector {
 public:
  FaultInjector(Laboratory& lab, Controllers& controllers, StoreServer& store, WorkerFleet& workers,
                UserCrowd& users);
  /// Starts to inject faults until the end of the fault phase. A plan without faults still gets slow
  /// responses of the key-value store.
  void start();
  std::size_t injected_faults() const { return injected_faults_; }

 private:
  /// Starts a fault of one target if called with true, and ends it if called with false.
  using Switch = std::function<void(bool on)>;
  /// The range from which the duration of a fault is drawn.
  struct Duration {
    double min_s = 0;
    double max_s = 0;
    double brief_share = 0;  ///< share of the faults that last at most kBriefFaultMaxSeconds
  };
  struct Fault {
    const char* name;
    Duration duration;
    /// Returns a switch for each affected target; the duration is drawn for each of them separately. Empty
    /// if the fault is permanent or there is no target.
    std::vector<Switch> (FaultInjector::*make_switches)();
  };
  static const std::vector<Fault>& faults();
  static const std::vector<Fault>& comebacks();

  io::Task<> inject_at_random();
  /// Injects the faults after which late copies of start commands matter, in turn.
  io::Task<> inject_comebacks();
  /// Starts a fault and schedules its end.
  void inject(const Fault& fault);
  io::Task<> end_after(Micros delay, Switch fault_switch);
  Micros draw_duration(const Duration& duration);

  std::vector<Switch> kill_one_controller();
  std::vector<Switch> kill_all_controllers();
  std::vector<Switch> pause_controller();
  std::vector<Switch> slow_store_responses();
  std::vector<Switch> hold_store_requests();
  std::vector<Switch> hold_store_responses();
  std::vector<Switch> refuse_store_requests();
  std::vector<Switch> stop_store();
  std::vector<Switch> hold_peer_messages();
  std::vector<Switch> refuse_peer_connections();
  std::vector<Switch> isolate_from_store_and_peers();
  std::vector<Switch> block_heartbeats();
  std::vector<Switch> kill_machine();
  std::vector<Switch> hang_machines();
  std::vector<Switch> fail_tasks();
  std::vector<Switch> make_unreachable_outbound();
  std::vector<Switch> make_unreachable_inbound();
  std::vector<Switch> duplicate_heartbeats_late();
  std::vector<Switch> delay_commands();
  std::vector<Switch> stop_cloud();
  std::vector<Switch> cancel_jobs();

  /// Kills a controller and, at the end of the fault, starts it again.
  Switch crash_switch(int controller);
  /// Returns switches that set a flag of the workers on a random share of the machines.
  std::vector<Switch> switches_for_some_machines(bool sim::SimulatedWorker::*flag);
  /// Delays a share of the key-value store's responses by up to `max_seconds`.
  void set_store_latency(double share, double max_seconds);

  Laboratory& lab_;
  Controllers& controllers_;
  StoreServer& store_;
  WorkerFleet& workers_;
  UserCrowd& users_;
  std::size_t injected_faults_ = 0;
};

}  // namespace bendtide::lab
