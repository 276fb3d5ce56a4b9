// What all components of the laboratory share: its plan, its clock, the history and the checker of the rules.
// Addresses are on loopback, numbered from one base port.
#pragma once

#include <map>
#include <random>

#include "history.h"
#include "io/loop.h"
#include "sim/checker.h"
#include "sim/simulated_key_value_store.h"
#include "sim/simulated_worker.h"

namespace bendtide::lab {

/// A defect planted in the simulated services, to show that the checker of a rule finds it.
enum class PlantedDefect : std::uint8_t {
  none,
  start_twice,      ///< a start command is executed on another machine as well
  keep_cancelled,   ///< workers execute no stop commands
  deny_jobs,        ///< polls for accepted jobs are answered 404
  invent_jobs,      ///< polls for unknown jobs are answered 200
  call_done_early,  ///< running jobs are called done
  take_back,        ///< jobs that are done are called running
  start_nothing,    ///< workers execute no start commands
  exceed_limits,    ///< the controllers are given limits ten times the real ones
  misplace          ///< submissions leave out the zone that the job is bound to
};

/// What a soak is made of. Two soaks with the same plan draw from the same seed, but run in real time: their
/// events differ.
struct Plan {
  std::uint64_t seed = 1;
  Micros faults_for = seconds(60);  ///< the time in which faults are injected and jobs are submitted
  Micros settle_for = seconds(45);  ///< after that, the time until all work has to be done, at most
  int machines = 24;                ///< at most
  double jobs_per_second = 2;
  bool faults = true;
  PlantedDefect planted_defect = PlantedDefect::none;
  std::string expected_rule;  ///< that the planted defect violates; the soak ends once it is violated
  int base_port = 0;
  std::string program;    ///< the controller's
  std::string directory;  ///< for settings files and logs
};

constexpr int kControllers = 3;

/// Outlives all components. Single-threaded: everything runs on its loop.
struct Laboratory {
  explicit Laboratory(const Plan& its_plan);

  /// Steady time since the laboratory began.
  Micros now() const { return loop.now() - began; }
  /// Uniform in [0, 1).
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }
  /// Uniform among 0 ... count - 1.
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random); }
  int any_controller() { return pick(kControllers); }
  Micros between(double from_seconds, double to_seconds) {
    return seconds(from_seconds + chance() * (to_seconds - from_seconds));
  }
  static std::string host(int controller) { return "node-" + std::to_string(controller); }
  static std::string zone(int controller) { return controller == 2 ? "west" : "east"; }
  std::string address(int port) const { return "127.0.0.1:" + std::to_string(plan.base_port + port); }

  // Ports, relative to the base port.
  static int user_port(int controller) { return controller; }
  static int internal_port(int controller) { return 3 + controller; }
  static int store_port(int controller) { return 6 + controller; }
  static int store_link_port(int controller) { return 9 + controller; }
  static int cloud_port() { return 12; }
  static int peer_link_port(int from, int to) { return 13 + from * kControllers + to; }
  static int worker_port() { return 30; }  ///< of every machine: each has an address of its own

  Plan plan;
  io::Loop loop;
  Micros began{0};
  std::mt19937_64 random;
  Settings settings;
  History history;
  sim::Checker checker;
  std::map<std::string, JobSpec> specs;
  bool closing = false;  ///< all coroutines end
};

}  // namespace bendtide::lab
