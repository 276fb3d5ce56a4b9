// Faults at random moments, drawn from a seed. Each ends by itself; calm() ends all that are left.
#pragma once

#include "controllers.h"
#include "state_server.h"
#include "user_crowd.h"
#include "worker_fleet.h"

namespace bendtide::lab {

class FaultInjector {
 public:
  FaultInjector(Laboratory& lab, Controllers& controllers, StateServer& state, WorkerFleet& workers,
                UserCrowd& users);
  void run();
  std::size_t injected() const { return injected_; }

 private:
  using Action = std::function<void()>;
  struct Fault {
    const char* name;
    void (FaultInjector::*inject)();
  };
  io::Task<> inject_at_random();
  io::Task<> later(Micros delay, Action action);
  /// Does something now and undoes it after a while.
  void for_a_while(double from_seconds, double to_seconds, const Action& begin, const Action& end);
  void calm();

  void kill_one();
  void kill_all();
  void pause_one();
  void slow_state_answers();
  void hold_state_requests();
  void hold_state_answers();
  void refuse_one();
  void state_outage();
  void hold_peer_messages();
  void refuse_peers();
  void isolate_with_workers();
  void cut_from_workers();
  void kill_machine();
  void hang_machines();
  void mute_machines();
  void deafen_machines();
  void late_reports();
  void late_commands();
  void cloud_outage();
  void cancel_some();

  void set_state_latency(double share, double longest_seconds);
  void with_some_machines(double from_seconds, double to_seconds,
                          const std::function<void(sim::SimulatedWorker&, bool)>& set);
  static const std::vector<Fault>& faults();

  Laboratory& lab_;
  Controllers& controllers_;
  StateServer& state_;
  WorkerFleet& workers_;
  UserCrowd& users_;
  std::size_t injected_ = 0;
};

}  // namespace bendtide::lab
