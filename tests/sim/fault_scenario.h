// The parameters of a run of the simulated cluster: the seed, the jobs of users and the injected faults.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/settings.h"

namespace bendtide::sim {

/// A defect planted in the messages that controllers exchange with workers and users, or in the settings of
/// controllers. Tests plant them to show that the checker finds each of them.
enum class PlantedDefect : std::uint8_t {
  none,
  start_twice,       ///< every start command is also executed on a second machine
  ignore_quota,      ///< controllers are configured with ten times the real CPU limit of every team
  start_anywhere,    ///< every start command for a zone-bound job is also executed in another zone
  keep_cancelled,    ///< stop commands are dropped
  deny_jobs,         ///< polls for accepted jobs get status 404
  confirm_anything,  ///< polls for unknown jobs get status 200
  call_done_early,   ///< running jobs are reported as done
  take_back,         ///< jobs that were reported as done are reported as running again
  start_nothing,     ///< start commands are dropped
  starve_team,       ///< start commands for the jobs of one team are dropped
  starve_large,      ///< start commands for large jobs are dropped
  ignore_one,        ///< polls for one job get no reply
  start_cancelled,   ///< every stop command is followed by a start command for the same task
  accept_unfit       ///< submissions of jobs that can never run are confirmed
};

/// New kinds are added at the end: scenarios draw kinds by number, and the seeds of existing tests must keep
/// drawing the same ones.
enum class FaultKind : std::uint8_t {
  controller_crashes,
  all_controllers_crash,
  store_unreachable,            ///< for one controller
  workers_unreachable,          ///< for one controller
  peers_unreachable,            ///< for one controller
  store_and_peers_unreachable,  ///< for one controller, which still reaches its workers
  store_outage,
  store_slow,
  store_link_flaps,  ///< the link of every controller to the store, for a few seconds each
  machine_dies,
  machine_hangs,
  machine_fails_tasks,
  machine_partitioned,
  machine_unreachable_inbound,  ///< its heartbeats arrive, but neither replies nor commands reach it
  worker_restarts,              ///< immediately, without its tasks
  cloud_outage,
  west_workers_unreachable,       ///< for all controllers
  peer_links_down,                ///< all of them
  controller_pauses,              ///< between a decision and its actions, while its clock runs on
  store_refuses,                  ///< the requests of one controller, with status 503
  zone_partitioned,               ///< zone west, with its controller, from everything else
  machine_hangs_long,             ///< for less or more than the worker lease
  machines_boot_late,             ///< or never, if they are created during the fault
  late_transactions,              ///< some get no response and are executed 2 to 12 s later, after newer ones
  late_heartbeats,                ///< copies of some arrive 2 s to more than a worker lease later
  machines_unreachable_outbound,  ///< their heartbeats reach no controller, while commands reach them
  cancel_together,       ///< users cancel several running jobs; the busiest machines hang for the duration
  race_job_ends,         ///< users cancel, poll and resubmit a job while its last task ends
  late_store_responses,  ///< some arrive up to a second after the request was executed
  count
};

/// Stands for the controller whose shards have the most machines.
constexpr int kBusiestController = -1;

/// A fault at a fixed time and with fixed parameters.
struct ScheduledFault {
  Micros at{0};
  FaultKind kind = FaultKind::controller_crashes;
  Micros duration = seconds(10);  ///< of a crash: until the process restarts
  int controller = 0;             ///< index, or kBusiestController; for kinds that affect one controller
  int count = 1;          ///< of affected machines, those with the most tasks first, or of affected jobs
  bool hold = false;      ///< a cut holds what is sent, and delivers it at its end
  std::string machine{};  ///< the affected machine; empty: the `count` machines with the most tasks
};

/// A job that its user submits to one particular controller.
struct PlannedJob {
  JobSpec job;
  Micros submit_at{0};
  std::size_t controller = 0;         ///< index
  std::optional<Micros> cancel_at{};  ///< not set: never
};

/// The parameters of a run. The defaults inject random faults of the default set.
struct FaultScenario {
  std::uint64_t seed = 1;
  PlantedDefect planted_defect = PlantedDefect::none;
  Micros end = seconds(330);

  // Faults.
  bool inject_faults = true;
  Micros faults_from = seconds(20);
  Micros faults_until = seconds(150);
  std::vector<FaultKind> kinds;        ///< the kinds to draw from; if empty, the default set
  std::vector<ScheduledFault> faults;  ///< if not empty, no faults are drawn at random
  /// Draws from the extended set of kinds, has a controller in each zone and duplicates store requests. False
  /// in scenarios of older tests, so that their seeds keep producing the same runs.
  bool has_extended_faults = true;
  /// Copies of start commands that were carried out and answered reach their machines again and again.
  bool late_start_copies = false;
  bool machines_stay_unreachable = false;  ///< machines that became unreachable inbound stay so to the end

  // Users.
  int jobs = 24;
  std::vector<PlannedJob> planned_jobs;  ///< if not empty, these are the only jobs
  bool submit_at_once = false;           ///< all jobs are submitted within a second
  /// Jobs are small. As soon as a user receives the reply that a job is accepted, it polls all controllers,
  /// resubmits the job and maybe cancels it.
  bool impatient_users = false;
  bool zone_bound = false;                 ///< every array has a constraint on zones
  bool long_tasks = false;                 ///< estimated at 30 to 80 s, in arrays of 2 to 9 tasks
  bool users_submit_invalid_jobs = false;  ///< users also submit jobs that can never run
  bool operators_poll = false;             ///< operators regularly read every page of the administration API

  // Machines.
  std::vector<std::string> initial_zones{"east", "west", "east"};  ///< of the machines at the start
  int cloud_capacity = 14;                                         ///< number of machines

  // Settings.
  bool tight_limits = false;  ///< low limits, which teams reach for most of the run
  /// Longer heartbeat interval and worker lease, so that controllers receive a heartbeat of a machine that is
  /// unreachable inbound before they count it as silent.
  bool slow_heartbeats = false;
  bool small_store_limits = false;  ///< small values and transactions in the key-value store

  bool verbose = false;  ///< prints the logs of the controllers and the faults
};

/// The settings of the controllers in a scenario.
Settings settings_for(const FaultScenario& scenario = {});

}  // namespace bendtide::sim
