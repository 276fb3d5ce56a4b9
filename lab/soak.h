// One soak: three controllers as real processes on loopback, simulated services and workers, faults drawn
// from a seed, and the rules of the protocol checked from outside.
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

/// The result of a soak.
struct Verdict {
  std::vector<std::string> violations;  ///< one line for each; none: the soak has passed
  std::vector<std::string> broken_rules;
  std::string summary;  ///< what was done, in one line
};

/// One run: builds everything in its constructor, and judges it at its end.
class Soak {
 public:
  explicit Soak(const Plan& plan);
  /// Runs for the time that the plan says; to be called once.
  Verdict run();
  /// Prints the events that name `subject`; with an empty one, all.
  void print_history(std::ostream& out, const std::string& subject) const {
    lab_.history.print(out, subject);
  }

 private:
  io::Task<> stop_at_the_end();
  io::Task<> read_metrics(int controller);
  /// All work is done; or the planted defect has been found, for which all of the time is used otherwise.
  bool has_ended() const;
  Verdict judge();
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
