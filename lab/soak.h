// One soak: three controllers as real processes on loopback, stand-ins for all that they talk to, faults from
// a seed, and the rules of the protocol checked from outside.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "controllers.h"
#include "fault_injector.h"
#include "laboratory.h"
#include "state_server.h"
#include "user_crowd.h"
#include "worker_fleet.h"

namespace bendtide::lab {

struct Verdict {
  std::vector<std::string> faults;  ///< one line for each; none: the soak is passed
  std::vector<std::string> broken_rules;
  std::string summary;  ///< what was done, in one line
};

class Soak {
 public:
  explicit Soak(const Plan& plan);
  /// Runs for the time that the plan says.
  Verdict run();
  /// What happened to the jobs of broken rules, or to `subject`.
  void print_history(std::ostream& out, const std::string& subject) const {
    lab_.history.print(out, subject);
  }

 private:
  io::Task<> stop_at_the_end();
  io::Task<> read_metrics(int controller);
  bool has_ended() const;
  void judge(Verdict& verdict);

  Laboratory lab_;
  StateServer state_;
  WorkerFleet workers_;
  Controllers controllers_;
  UserCrowd users_;
  FaultInjector injector_;
  std::array<std::string, kControllers> metrics_;
};

}  // namespace bendtide::lab
