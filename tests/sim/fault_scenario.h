// What a run of the simulated cluster is made of: its seed, its users' jobs and the faults injected into it.
#pragma once

#include <cstdint>
#include <vector>

#include "core/model/settings.h"

namespace bendtide::sim {

/// A defect planted in what passes between the controllers and the others, to show that a check finds it.
enum class PlantedDefect : std::uint8_t {
  none,
  start_twice,       ///< a start command goes to a second machine as well
  ignore_quota,      ///< every limit that the controllers know of is ten times the real one
  start_anywhere,    ///< a start command for a zone-bound job goes to the other zone as well
  keep_cancelled,    ///< stop commands are lost
  deny_jobs,         ///< polls for accepted jobs are answered 404
  confirm_anything,  ///< polls for unknown jobs are answered 200
  call_done_early,   ///< running jobs are called done
  take_back,         ///< jobs that are done are called running
  start_nothing,     ///< start commands are lost
  starve_team,       ///< start commands for one team's jobs are lost
  starve_large,      ///< start commands for large jobs are lost
  ignore_one,        ///< polls for one job get no answer
  start_cancelled,   ///< where a task is commanded to stop, it is started once more
  accept_unfit       ///< submissions that can never run are called accepted
};

/// The order matters: scenarios draw kinds by number, and those that were kept as tests have to draw the
/// same.
enum class FaultKind : std::uint8_t {
  controller_crashes,
  all_controllers_crash,
  store_unreachable,            ///< for one controller
  workers_unreachable,          ///< for one controller
  peers_unreachable,            ///< for one controller
  store_and_peers_unreachable,  ///< for one controller, which still reaches its workers
  store_outage,
  store_slow,
  store_link_flaps,  ///< of every controller
  machine_dies,
  machine_hangs,
  machine_fails_tasks,
  machine_partitioned,
  machine_unreachable_inbound,  ///< its heartbeats arrive, but neither answers nor commands reach it
  worker_restarts,              ///< at once, without its tasks
  cloud_outage,
  west_workers_unreachable,  ///< for all controllers
  peer_links_down,           ///< all of them
  controller_pauses,         ///< perhaps between a decision and its sending, while its clock runs on
  store_refuses,             ///< one controller, with 503
  zone_partitioned,          ///< the west, with its controller, from everything else
  machine_hangs_long,        ///< for less or for more than its lease
  machines_boot_late,        ///< or never, for a while
  late_transactions,         ///< a share gets no answer, and is executed 2 to 12 s later, after newer ones
  late_heartbeats,           ///< copies of a share arrive from 2 s to well over a worker's lease later
  machines_unreachable_outbound,  ///< they reach no controller, while commands reach them
  cancel_together,       ///< users cancel several running jobs at once, whose machines hang meanwhile
  race_job_ends,         ///< users cancel, poll and submit again while the last task of their job ends
  late_store_responses,  ///< a share comes up to a second after the request was served
  count
};

/// In place of a controller's number: the one that leads shards with most machines.
constexpr int kBusiestController = -1;

/// A fault at a set time; its parameters are not drawn.
struct ScheduledFault {
  Micros at{0};
  FaultKind kind = FaultKind::controller_crashes;
  Micros duration = seconds(10);  ///< for a crash: until the process is back
  int controller = 0;             ///< for kinds that concern one controller; or kBusiestController
  int count = 1;                  ///< machines, those with most tasks first; or jobs
  bool hold = false;              ///< a cut holds what is sent and delivers it at its end
};

struct FaultScenario {
  std::uint64_t seed = 1;
  PlantedDefect planted_defect = PlantedDefect::none;
  Micros end = seconds(330);

  // Faults.
  bool inject_faults = true;
  Micros faults_from = seconds(20);
  Micros faults_until = seconds(150);
  std::vector<FaultKind> kinds;        ///< that are drawn from; none: all
  std::vector<ScheduledFault> faults;  ///< if there are any, no others are injected
  /// Draws from the extended set of kinds, has a controller in each zone and duplicates store requests.
  /// Scenarios that were kept as tests before there was any of this are played without.
  bool extended = true;
  bool unreachable_for_good = false;  ///< machines that became unreachable inbound stay so

  // Users.
  int jobs = 24;
  bool submit_at_once = false;    ///< all jobs are submitted within a second
  bool impatient_users = false;   ///< small jobs; polled everywhere, resubmitted and cancelled at acceptance
  bool zone_bound = false;        ///< every array has a rule of zones
  bool long_tasks = false;        ///< of a minute or two, in arrays of a few tasks and more
  bool invalid_requests = false;  ///< users also submit what can never run
  bool operators_poll = false;    ///< operators read every page of the administration API now and then

  // Settings.
  bool tight_limits = false;        ///< teams are at their limit for most of the run
  bool slow_heartbeats = false;     ///< so that an unreachable machine is heard before it counts as silent
  bool small_store_limits = false;  ///< the key-value store takes little at once

  bool verbose = false;  ///< prints the controllers' logs and the faults
};

/// The settings of the controllers in a scenario.
Settings settings_for(const FaultScenario& scenario = {});

}  // namespace bendtide::sim
