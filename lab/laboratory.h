// State shared by all components of the laboratory: the plan, the event loop and its clock, the random
// numbers, the history and the checker. All addresses are on loopback, at ports counted from one base port.
#pragma once

#include <map>
#include <random>

#include "history.h"
#include "io/loop.h"
#include "sim/checker.h"
#include "sim/late_start_copies.h"
#include "sim/simulated_key_value_store.h"
#include "sim/simulated_worker.h"

namespace bendtide::lab {

/// A defect planted in the simulated services or in the settings, to show that the checker detects it.
enum class PlantedDefect : std::uint8_t {
  none,
  start_twice,      ///< a second machine executes each start command, too
  keep_cancelled,   ///< stop commands do not reach the workers
  deny_jobs,        ///< polls for accepted jobs return status 404
  invent_jobs,      ///< polls for unknown jobs return status 200
  call_done_early,  ///< polls report running jobs as done
  take_back,        ///< polls report a job as running after they reported it as done
  start_nothing,    ///< start commands do not reach the workers
  exceed_limits,    ///< the controllers' settings allow ten times each team's limit
  misplace          ///< submissions omit the zone that the job is bound to
};

/// The parameters of a soak. Soaks run in real time, so two soaks with the same plan and seed do not produce
/// the same sequence of events.
struct Plan {
  std::uint64_t seed = 1;
  Micros fault_phase = seconds(60);     ///< how long faults are injected and jobs submitted
  Micros settle_timeout = seconds(45);  ///< limit for finishing all work after the fault phase
  int max_machines = 24;                ///< capacity of the cloud
  double jobs_per_second = 2;
  bool inject_faults = true;
  /// Copies of start commands that were carried out and answered reach their machines again and again. A copy
  /// that starts anything is a violation, and so is a pair of circumstances in which no copy arrived.
  bool late_start_copies = false;
  PlantedDefect planted_defect = PlantedDefect::none;
  std::string expected_rule;  ///< violated by the planted defect; the soak ends at the violation
  int base_port = 0;
  std::string program;    ///< path of the controller executable
  std::string directory;  ///< for the settings files, the logs and the history
};

constexpr int kControllerCount = 3;

/// Must outlive all components. Single-threaded: all components run on `loop`.
struct Laboratory {
  explicit Laboratory(const Plan& soak_plan);

  /// Time since the laboratory was created, on the steady clock.
  Micros now() const { return loop.now() - started_at; }
  /// Uniform in [0, 1).
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random); }
  /// Uniform in 0 ... count - 1.
  int random_index(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random); }
  int random_controller() { return random_index(kControllerCount); }
  /// Uniform between two durations in seconds.
  Micros random_duration(double from_seconds, double to_seconds) {
    return seconds(from_seconds + random_fraction() * (to_seconds - from_seconds));
  }
  static std::string host_name(int controller) { return "node-" + std::to_string(controller); }
  static std::string zone(int controller) { return controller == 2 ? "west" : "east"; }
  std::string address(int port) const { return "127.0.0.1:" + std::to_string(plan.base_port + port); }

  // Ports, relative to the base port.
  static int user_port(int controller) { return controller; }
  static int internal_port(int controller) { return 3 + controller; }
  static int store_port(int controller) { return 6 + controller; }
  static int store_link_port(int controller) { return 9 + controller; }
  static int cloud_port() { return 12; }
  static int peer_link_port(int from, int to) { return 13 + from * kControllerCount + to; }
  static int worker_port() { return 30; }  ///< the same for all machines, which have different addresses

  Plan plan;
  io::Loop loop;
  Micros started_at{0};
  std::mt19937_64 random;
  Settings settings;
  History history;
  sim::Checker checker;
  sim::LateStartCopies late_start_copies;
  std::map<std::string, JobSpec> job_specs;
  bool closing = false;  ///< set at the end of the soak: periodic coroutines return
};

}  // namespace bendtide::lab
