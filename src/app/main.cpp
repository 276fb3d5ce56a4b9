// The command line: bendtide --config FILE [--check-config]. Exits with 1 if the settings are invalid or the
// controller cannot be set up.

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "app/config.h"
#include "app/daemon.h"

namespace {

/// Returns the log level from the environment variable LOG_LEVEL: error, info or debug. The default is info.
spdlog::level::level_enum log_level_from_environment() {
  const char* const value = std::getenv("LOG_LEVEL");
  const std::string level = value == nullptr ? "" : value;
  if (level == "error") return spdlog::level::err;
  if (level == "debug") return spdlog::level::debug;
  return spdlog::level::info;
}

/// Creates a logger to standard error. Each line starts with its time, the controller's host and the level.
std::shared_ptr<spdlog::logger> make_logger(const std::string& host) {
  auto log = std::make_shared<spdlog::logger>(host, std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_level(log_level_from_environment());
  log->set_pattern("%Y-%m-%d %H:%M:%S.%e %n %l %v");
  return log;
}

}  // namespace

// Only the setup of the command-line parser can throw out of main(). The exception ends the program with its
// message before anything has started.
int main(int argc, char** argv) {  // NOLINT(bugprone-exception-escape): see above
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
      std::cout << config << ": valid\n";
      return 0;
    }
    auto log = make_logger(settings.host);
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
