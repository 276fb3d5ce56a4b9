// Runs the controllers as real processes: writes their settings files, starts, pauses and kills them, and
// proxies the links between them.
#pragma once

#include <sys/types.h>

#include <array>
#include <memory>
#include <vector>

#include "laboratory.h"
#include "link_proxy.h"

namespace bendtide::lab {

/// Restarts controllers that exit unexpectedly. Controllers are numbered from 0 to kControllerCount - 1.
class Controllers {
 public:
  explicit Controllers(Laboratory& lab);
  /// Kills all processes that still run.
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;
  /// Starts all controllers, the links between them and the check for exited processes.
  void start_all();

  /// Does nothing if the controller is running.
  void start(int controller);
  /// Sends SIGKILL, which a process can't handle, and waits for the exit. Does nothing if the controller is
  /// not running.
  void kill(int controller);
  bool is_running(int controller) const { return at(controller).pid > 0; }
  /// Stops the process with SIGSTOP until resume(). The system's clocks, which it reads, continue.
  void pause(int controller);
  void resume(int controller);
  /// The proxy through which controller `from` sends messages to controller `to`.
  LinkProxy& link(int from, int to);

  /// Number of process exits not caused by kill().
  int unexpected_exits() const { return unexpected_exits_; }
  std::string log_file(int controller) const;
  /// The lines of the controller's log that have the level `error` or that a sanitizer wrote.
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
  /// Detects processes that have exited, and restarts them.
  io::Task<> restart_exited();

  Laboratory& lab_;
  std::array<Process, kControllerCount> processes_{};
  std::array<std::unique_ptr<LinkProxy>, kControllerCount * kControllerCount> links_;
  int unexpected_exits_ = 0;
};

}  // namespace bendtide::lab
