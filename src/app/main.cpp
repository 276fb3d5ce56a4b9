// Command line: bendtide --config FILE

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "app/config.h"
#include "app/daemon.h"

namespace {

std::shared_ptr<spdlog::logger> make_log(const std::string& host) {
  auto log = std::make_shared<spdlog::logger>(host, std::make_shared<spdlog::sinks::stderr_sink_st>());
  const char* wish = std::getenv("LOG_LEVEL");
  const std::string level = wish == nullptr ? "info" : wish;
  log->set_level(level == "error"   ? spdlog::level::err
                 : level == "debug" ? spdlog::level::debug
                                    : spdlog::level::info);
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
  } catch (const bendtide::ConfigError& e) {
    std::cerr << "bendtide: " << config << ": " << e.what() << "\n";
  } catch (const std::exception& e) {
    std::cerr << "bendtide: " << e.what() << "\n";
  }
  return 1;
}
