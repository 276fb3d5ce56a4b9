// The controllers as real processes: settings files, links to each other, starts, pauses and ends.
#pragma once

#include <sys/types.h>

#include <array>
#include <memory>
#include <vector>

#include "laboratory.h"
#include "link_proxy.h"

namespace bendtide::lab {

/// Restarts a controller that ended unexpectedly. Controllers are numbered from 0 to kControllerCount - 1.
class Controllers {
 public:
  explicit Controllers(Laboratory& lab);
  /// Ends all processes that still run.
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;
  void run();

  void start(int controller);
  /// With SIGKILL, which it can't handle. Nothing happens if it is not running.
  void kill(int controller);
  bool is_running(int controller) const { return at(controller).pid > 0; }
  /// Stops the process, while its clocks run on.
  void pause(int controller);
  void resume(int controller);
  /// Carries the messages of one controller to another.
  LinkProxy& link(int from, int to);

  /// How often a process ended that was not killed by kill().
  int unexpected_ends() const { return unexpected_ends_; }
  std::string log_file(int controller) const;
  /// Lines of the log with the level `error`, and those of sanitizers.
  std::vector<std::string> errors(int controller) const;

 private:
  struct Process {
    pid_t pid = 0;
    bool paused = false;
  };
  Process& at(int controller) { return processes_.at(static_cast<std::size_t>(controller)); }
  const Process& at(int controller) const { return processes_.at(static_cast<std::size_t>(controller)); }
  std::string settings_file(int controller) const;
  void write_settings(int controller) const;
  io::Task<> watch();

  Laboratory& lab_;
  std::array<Process, kControllerCount> processes_{};
  std::array<std::unique_ptr<LinkProxy>, kControllerCount * kControllerCount> links_;
  int unexpected_ends_ = 0;
};

}  // namespace bendtide::lab
