// Command line: bendtide_soak --program PATH [--seed N] [--duration SECONDS] ...

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "soak.h"

namespace {

using bendtide::lab::PlantedDefect;
using bendtide::lab::Verdict;

constexpr std::size_t kViolationsShown = 20;  ///< the rest is counted
// Where no port is given, the process takes one of so many ranges.
constexpr int kFirstPort = 10'000;
constexpr int kPortRanges = 400;
constexpr int kPortsInRange = 40;

const std::map<std::string, PlantedDefect>& planted_defects() {
  static const std::map<std::string, PlantedDefect> all{{"none", PlantedDefect::none},
                                                        {"start_twice", PlantedDefect::start_twice},
                                                        {"keep_cancelled", PlantedDefect::keep_cancelled},
                                                        {"deny_jobs", PlantedDefect::deny_jobs},
                                                        {"invent_jobs", PlantedDefect::invent_jobs},
                                                        {"call_done_early", PlantedDefect::call_done_early},
                                                        {"take_back", PlantedDefect::take_back},
                                                        {"start_nothing", PlantedDefect::start_nothing},
                                                        {"exceed_limits", PlantedDefect::exceed_limits},
                                                        {"misplace", PlantedDefect::misplace}};
  return all;
}

struct Options {
  std::uint64_t seed = 1;
  double duration = 60;
  double settle = 60;
  int machines = 24;
  double rate = 2;
  bool no_faults = false;
  std::string planted = "none";
  std::string expect;
  std::string program;
  std::string directory;
  int base_port = 0;
};

bendtide::lab::Plan plan_of(const Options& options) {
  bendtide::lab::Plan plan;
  plan.seed = options.seed;
  plan.fault_phase = bendtide::seconds(options.duration);
  plan.settle_timeout = bendtide::seconds(options.settle);
  plan.max_machines = options.machines;
  plan.jobs_per_second = options.rate;
  plan.inject_faults = !options.no_faults;
  plan.planted_defect = planted_defects().at(options.planted);
  plan.expected_rule = options.expect;
  plan.program = options.program;
  plan.directory = options.directory;
  plan.base_port =
      options.base_port != 0 ? options.base_port : kFirstPort + ::getpid() % kPortRanges * kPortsInRange;
  return plan;
}

/// Prints the result and returns the exit status. With --expect, 0 if the planted defect violated that rule.
int print_result(const Options& options, const Verdict& verdict, const bendtide::lab::Soak& soak) {
  std::cout << "seed " << options.seed << ": " << verdict.summary << "\n";
  if (!options.expect.empty()) {
    const bool seen =
        std::count(verdict.broken_rules.begin(), verdict.broken_rules.end(), options.expect) > 0;
    std::cout << options.planted << (seen ? " is seen as " : " is NOT seen as ") << options.expect << "\n";
    return seen ? 0 : 1;
  }
  if (verdict.violations.empty()) {
    std::cout << "no rule violated, all work done\n";
    std::filesystem::remove_all(options.directory);
    return 0;
  }
  for (std::size_t i = 0; i < std::min(kViolationsShown, verdict.violations.size()); ++i)
    std::cout << "VIOLATION " << verdict.violations[i] << "\n";
  const std::string history = options.directory + "/history.txt";
  std::ofstream out(history);
  soak.print_history(out, "");
  std::cout << verdict.violations.size() << " violations. Logs and history: " << options.directory
            << "\nrun it again: bendtide_soak --program " << options.program << " --seed " << options.seed
            << " --duration " << options.duration << " --settle " << options.settle << " --machines "
            << options.machines << " --rate " << options.rate << "\n";
  return 1;
}

}  // namespace

int main(int argc, char** argv) {  // NOLINT(bugprone-exception-escape): ends the program with its message
  Options options;
  CLI::App app{"bendtide_soak: three controllers on loopback under random faults, every rule checked"};
  app.add_option("--program", options.program, "the controller to be tried")->required();
  app.add_option("--seed", options.seed, "from which the faults and the users' jobs are drawn");
  app.add_option("--duration", options.duration, "seconds in which faults are injected and users submit");
  app.add_option("--settle", options.settle, "seconds after that until all work has to be done, at most");
  app.add_option("--machines", options.machines, "how many the cloud has");
  app.add_option("--rate", options.rate, "jobs a second");
  app.add_option("--port", options.base_port,
                 "the first of 40 ports; without it, one drawn from the process");
  app.add_option("--directory", options.directory, "for settings and logs; kept if there is a violation");
  app.add_flag("--no-faults", options.no_faults, "nothing goes wrong but what is planted");
  app.add_option("--planted", options.planted,
                 "a defect of the simulated services, to show that a checker finds it")
      ->check(CLI::IsMember(planted_defects()));
  app.add_option("--expect", options.expect, "the rule that the planted defect has to violate");
  CLI11_PARSE(app, argc, argv);
  if (options.directory.empty())
    options.directory = std::filesystem::temp_directory_path() / ("soak-" + std::to_string(::getpid()));
  int status = 1;
  try {
    std::filesystem::create_directories(options.directory);
    bendtide::lab::Soak soak(plan_of(options));
    const Verdict verdict = soak.run();
    status = print_result(options, verdict, soak);
  } catch (const std::exception& e) {
    std::cerr << "bendtide_soak: " << e.what() << "\n";
  }
  // Coroutines that still wait as the loop stops are never resumed, nor destroyed: to the checker of leaks
  // they would look like ones.
  std::cout.flush();
  std::quick_exit(status);
}
