// A soak test: three controllers run as real processes on loopback, with simulated services and workers and
// random faults drawn from a seed. The checker verifies the rules of the protocol from outside the
// controllers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "controllers.h"
#include "fault_injector.h"
#include "laboratory.h"
#include "store_server.h"
#include "user_crowd.h"
#include "worker_fleet.h"

namespace bendtide::lab {

struct SoakResult {
  std::vector<std::string> violations;      ///< one line for each; empty if the soak has passed
  std::vector<std::string> violated_rules;  ///< names of the checker's rules
  std::string summary;                      ///< one line with the counts of jobs, requests and faults
};

/// The constructor creates all components; run() runs them once and collects the result.
class Soak {
 public:
  explicit Soak(const Plan& plan);
  /// Returns when all work is done after the fault phase, or at the end of the settle timeout. May be called
  /// only once.
  SoakResult run();
  /// Prints the events whose description contains `subject`, or all events if it is empty.
  void print_history(std::ostream& out, const std::string& subject) const {
    lab_.history.print(out, subject);
  }

 private:
  /// Runs the periodic checks and, at the end, reads the metrics and stops the loop.
  io::Task<> run_checks_until_end();
  /// Delivers late copies of start commands at intervals.
  io::Task<> deliver_late_start_copies();
  io::Task<> read_metrics(int controller);
  /// Whether the soak can end early: all work is done, or, if a violation is expected, it has been detected.
  bool is_finished() const;
  SoakResult collect_result();
  void add_late_copy_violations(SoakResult& result) const;
  std::string summary() const;

  Laboratory lab_;
  StoreServer store_;
  WorkerFleet workers_;
  Controllers controllers_;
  UserCrowd users_;
  FaultInjector injector_;
  std::array<std::string, kControllerCount> metrics_;
};

}  // namespace bendtide::lab
