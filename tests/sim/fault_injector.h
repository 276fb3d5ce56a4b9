// Injects the faults of a scenario into a simulated cluster.
#pragma once

#include <vector>

#include "sim/environment.h"
#include "sim/simulated_controllers.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_network.h"
#include "sim/simulated_users.h"

namespace bendtide::sim {

class FaultInjector {
 public:
  FaultInjector(Environment& environment, SimulatedMachines& machines, SimulatedNetwork& network,
                SimulatedControllers& controllers, SimulatedUsers& users)
      : environment_(environment),
        machines_(machines),
        network_(network),
        controllers_(controllers),
        users_(users) {}

  /// Schedules the faults of the scenario, and tells the checker when all of them are over.
  void start();

 private:
  /// One fault and its parameters.
  struct Injection {
    FaultKind kind;
    bool scheduled;  ///< by the scenario; if false, some kinds draw a duration of their own
    ControllerHost* controller;
    bool hold;  ///< a cut holds what is sent, and delivers it at its end
    Micros duration;
    int count;                          ///< of jobs or machines
    std::vector<std::string> machines;  ///< names
  };
  /// A kind of fault and the function that injects it.
  struct Kind {
    FaultKind kind;
    void (FaultInjector::*inject)(const Injection&);
  };
  /// In the order of FaultKind.
  static const std::vector<Kind>& kinds();

  /// Injects a fault drawn at random, and schedules the next one.
  void inject_random_fault();
  FaultKind draw_kind();
  /// Draws the parameters of a fault at random.
  Injection draw_injection(FaultKind kind);
  Injection scheduled_injection(const ScheduledFault& fault);
  void inject(const Injection& injection);
  /// Ends the faults of machines. Faults of other kinds end after their duration.
  void end_machine_faults();

  // Controllers.
  void crash_controller(const Injection& injection);
  void crash_all_controllers(const Injection& injection);
  void pause_controller(const Injection& injection);
  void cut_from_peers(const Injection& injection);
  void cut_all_peer_links(const Injection& injection);
  // The key-value store and the cloud.
  void cut_from_store(const Injection& injection);
  void cut_from_store_and_peers(const Injection& injection);
  void flap_store_links(const Injection& injection);
  void stop_store(const Injection& injection);
  void slow_store(const Injection& injection);
  void refuse_at_store(const Injection& injection);
  void delay_transactions(const Injection& injection);
  void delay_store_responses(const Injection& injection);
  void stop_cloud(const Injection& injection);
  // Machines.
  void cut_from_workers(const Injection& injection);
  void cut_west_workers(const Injection& injection);
  void partition_zone(const Injection& injection);
  void partition_machines(const Injection& injection);
  void kill_machines(const Injection& injection);
  void hang_machines(const Injection& injection);
  void hang_machines_long(const Injection& injection);
  void fail_tasks(const Injection& injection);
  void make_unreachable_inbound(const Injection& injection);
  void make_unreachable_outbound(const Injection& injection);
  void restart_workers(const Injection& injection);
  void delay_boots(const Injection& injection);
  void duplicate_heartbeats(const Injection& injection);
  // Users.
  void cancel_together(const Injection& injection);
  void race_job_ends(const Injection& injection);

  /// Returns the duration of a scheduled fault, or draws one between the two bounds.
  Micros duration_of(const Injection& injection, double min_seconds, double max_seconds);
  /// The time until a crashed controller restarts: a fraction of a second or some seconds if it is drawn.
  Micros restart_delay(const Injection& injection);
  /// Cuts a controller from all machines of a zone that are up; from those of every zone if `zone` is empty.
  void cut_workers(const ControllerHost& host, const std::string& zone, const Injection& injection);
  void cut_peers(const ControllerHost& host, const Injection& injection);
  void hang(const std::vector<std::string>& machines, Micros duration);
  /// Sets a flag of the workers on those of the machines that exist.
  void set_worker_flag(const std::vector<std::string>& machines, bool SimulatedWorker::*flag, bool value);
  /// Counts the jobs with constraints on zones that have a task on the machine.
  void count_zone_bound_jobs(const std::string& machine);

  Environment& environment_;
  SimulatedMachines& machines_;
  SimulatedNetwork& network_;
  SimulatedControllers& controllers_;
  SimulatedUsers& users_;
};

}  // namespace bendtide::sim
