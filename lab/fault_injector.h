// Injects faults at random times, drawn from a seed. Each ends by itself within seconds.
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
  /// Injects faults for as long as the plan says, if it has any.
  void run();
  std::size_t injected() const { return injected_; }

 private:
  /// Begins a fault of some target with true, and ends it with false.
  using Switch = std::function<void(bool on)>;
  /// How long a fault lasts, in seconds.
  struct Duration {
    double min = 0;
    double max = 0;
    double share_of_brief = 0;  ///< of the injections, which last for kBriefSeconds at most
  };
  struct Fault {
    const char* name;
    Duration duration;
    /// Draws the targets; each has a duration of its own.
    std::vector<Switch> (FaultInjector::*draw)();
  };
  static const std::vector<Fault>& faults();

  io::Task<> inject_at_random();
  void inject(const Fault& fault);
  io::Task<> end_later(Micros delay, Switch set);
  Micros draw(const Duration& duration);

  std::vector<Switch> kill_one();
  std::vector<Switch> kill_all();
  std::vector<Switch> pause_one();
  std::vector<Switch> slow_store_answers();
  std::vector<Switch> hold_store_requests();
  std::vector<Switch> hold_store_answers();
  std::vector<Switch> refuse_at_store();
  std::vector<Switch> store_outage();
  std::vector<Switch> hold_peer_messages();
  std::vector<Switch> refuse_peers();
  std::vector<Switch> isolate_with_workers();
  std::vector<Switch> cut_from_workers();
  std::vector<Switch> kill_machine();
  std::vector<Switch> hang_machines();
  std::vector<Switch> make_unreachable_outbound();
  std::vector<Switch> make_unreachable_inbound();
  std::vector<Switch> late_heartbeats();
  std::vector<Switch> late_commands();
  std::vector<Switch> cloud_outage();
  std::vector<Switch> cancel_some();

  Switch running_switch(int controller);
  /// Sets a flag of the workers of a share of the machines.
  std::vector<Switch> on_some_machines(bool sim::SimulatedWorker::*flag);
  void set_store_latency(double share, double max_seconds);

  Laboratory& lab_;
  Controllers& controllers_;
  StoreServer& store_;
  WorkerFleet& workers_;
  UserCrowd& users_;
  std::size_t injected_ = 0;
};

}  // namespace bendtide::lab
