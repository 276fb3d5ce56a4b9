// The command line: bendtide --config FILE [--check-config]. Ends with 1 if the settings can't be read or the
// controller can't start.

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "app/config.h"
#include "app/daemon.h"

namespace {

/// The level that the environment asks for in LOG_LEVEL: error, info or debug; info if it asks for none of
/// these.
spdlog::level::level_enum wanted_level() {
  const char* const value = std::getenv("LOG_LEVEL");
  const std::string level = value == nullptr ? "" : value;
  if (level == "error") return spdlog::level::err;
  if (level == "debug") return spdlog::level::debug;
  return spdlog::level::info;
}

/// Logs to standard error, each line with its time and the controller's host.
std::shared_ptr<spdlog::logger> make_log(const std::string& host) {
  auto log = std::make_shared<spdlog::logger>(host, std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_level(wanted_level());
  log->set_pattern("%Y-%m-%d %H:%M:%S.%e %n %l %v");
  return log;
}

}  // namespace

// What may throw here is the command line's own table, before anything has begun.
int main(int argc, char** argv) {  // NOLINT(bugprone-exception-escape): ends the program with its message
  CLI::App app{"bendtide: a cluster scheduler; one controller per process"};
  std::string config;
  bool check = false;
  app.add_option("--config", config, "settings file (TOML)")->required();
  app.add_flag("--check-config", check, "check the settings file and exit");
  app.set_version_flag("--version", std::string("bendtide ") + BENDTIDE_VERSION);
  CLI11_PARSE(app, argc, argv);
  try {
    const bendtide::Settings settings = bendtide::load_settings(config);
    if (check) {
      std::cout << config << ": good\n";
      return 0;
    }
    auto log = make_log(settings.host);
    bendtide::Daemon daemon(settings, log);
    daemon.run();
    return 0;
  } catch (const bendtide::ConfigError& error) {
    std::cerr << "bendtide: " << config << ": " << error.what() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "bendtide: " << error.what() << "\n";
  }
  return 1;
}
