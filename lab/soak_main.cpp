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
using bendtide::lab::SoakResult;

constexpr std::size_t kMaxPrintedViolations = 20;  ///< the total is printed as well
// Without --port, the process id selects one of these ranges of ports.
constexpr int kFirstPort = 10'000;
constexpr int kPortRanges = 400;
constexpr int kPortsPerRange = 40;

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
  bool late_starts = false;
  std::string planted = "none";
  std::string expect;
  std::string program;
  std::string directory;
  int base_port = 0;
};

bendtide::lab::Plan make_plan(const Options& options) {
  bendtide::lab::Plan plan;
  plan.seed = options.seed;
  plan.fault_phase = bendtide::seconds(options.duration);
  plan.settle_timeout = bendtide::seconds(options.settle);
  plan.max_machines = options.machines;
  plan.jobs_per_second = options.rate;
  plan.inject_faults = !options.no_faults;
  plan.late_start_copies = options.late_starts;
  plan.planted_defect = planted_defects().at(options.planted);
  plan.expected_rule = options.expect;
  plan.program = options.program;
  plan.directory = options.directory;
  plan.base_port =
      options.base_port != 0 ? options.base_port : kFirstPort + ::getpid() % kPortRanges * kPortsPerRange;
  return plan;
}

/// Prints the result and returns the exit status. With --expect, that is 0 if the expected rule was violated.
/// Without it, 0 if there is no violation; then the directory is removed. Otherwise the history is written
/// there.
int print_result(const Options& options, const SoakResult& result, const bendtide::lab::Soak& soak) {
  std::cout << "seed " << options.seed << ": " << result.summary << "\n";
  if (!options.expect.empty()) {
    const bool detected =
        std::count(result.violated_rules.begin(), result.violated_rules.end(), options.expect) > 0;
    std::cout << options.planted << (detected ? " violates the rule " : " does NOT violate the rule ")
              << options.expect << "\n";
    return detected ? 0 : 1;
  }
  if (result.violations.empty()) {
    std::cout << "no rule violated, all work done\n";
    std::filesystem::remove_all(options.directory);
    return 0;
  }
  for (std::size_t i = 0; i < std::min(kMaxPrintedViolations, result.violations.size()); ++i)
    std::cout << "VIOLATION " << result.violations[i] << "\n";
  const std::string history = options.directory + "/history.txt";
  std::ofstream out(history);
  soak.print_history(out, "");
  std::cout << result.violations.size() << " violations; logs and history are in " << options.directory
            << "\nto repeat the soak: bendtide_soak --program " << options.program << " --seed "
            << options.seed << " --duration " << options.duration << " --settle " << options.settle
            << " --machines " << options.machines << " --rate " << options.rate
            << (options.late_starts ? " --late-starts" : "") << "\n";
  return 1;
}

}  // namespace

int main(int argc, char** argv) {  // NOLINT(bugprone-exception-escape): exceptions end the program
  Options options;
  CLI::App app{
      "bendtide_soak: runs three controllers on loopback under random faults and checks the rules of the "
      "protocol"};
  app.add_option("--program", options.program, "path of the controller executable")->required();
  app.add_option("--seed", options.seed, "seed for the random faults and jobs");
  app.add_option("--duration", options.duration,
                 "seconds during which faults are injected and jobs submitted");
  app.add_option("--settle", options.settle, "limit in seconds for finishing all work after that");
  app.add_option("--machines", options.machines, "capacity of the cloud in machines");
  app.add_option("--rate", options.rate, "submitted jobs per second");
  app.add_option("--port", options.base_port,
                 "first of 40 consecutive ports; by default derived from the process id");
  app.add_option("--directory", options.directory,
                 "directory for settings and logs; kept if there is a violation");
  app.add_flag("--no-faults", options.no_faults, "inject no faults other than the planted defect");
  app.add_flag("--late-starts", options.late_starts,
               "deliver late copies of start commands that were carried out and answered");
  app.add_option("--planted", options.planted,
                 "defect of the simulated services that the checker must detect")
      ->check(CLI::IsMember(planted_defects()));
  app.add_option("--expect", options.expect, "rule that the planted defect must violate");
  CLI11_PARSE(app, argc, argv);
  if (options.directory.empty())
    options.directory = std::filesystem::temp_directory_path() / ("soak-" + std::to_string(::getpid()));
  int status = 1;
  try {
    std::filesystem::create_directories(options.directory);
    bendtide::lab::Soak soak(make_plan(options));
    const SoakResult result = soak.run();
    status = print_result(options, result, soak);
  } catch (const std::exception& e) {
    std::cerr << "bendtide_soak: " << e.what() << "\n";
  }
  // Coroutines that are suspended when the loop stops are never destroyed. A normal exit would make the leak
  // sanitizer report them.
  std::cout.flush();
  std::quick_exit(status);
}
