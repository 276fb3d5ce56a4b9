// The context that all modules of the core share.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/model/actions.h"
#include "core/model/policy.h"
#include "core/model/settings.h"
#include "core/runtime/invariants.h"
#include "core/runtime/log_message.h"

namespace bendtide {

/// The settings, clocks, timers and pending actions of one controller. The shell sets the clocks and executes
/// the actions.
struct Context {
  Settings settings;
  Policy policy;            ///< settings that operators may change at run time
  std::string incarnation;  ///< identifies this process among all that ever ran under this host name
  std::mt19937_64 random;   ///< seeded by the shell
  Micros now{0};            ///< steady clock
  Micros wall{0};           ///< wall clock; hosts may differ by up to the clock error bound of the platform
  std::vector<Action> actions;                          ///< in the order of execution
  std::multimap<Micros, std::function<void()>> timers;  ///< by due time on the steady clock
  bool debug_enabled = false;                           ///< whether debug lines are written
  InvariantCounts invariants{};

  /// Calls `callback` in the first tick after `delay`.
  void run_after(Micros delay, std::function<void()> callback) {
    timers.emplace(now + delay, std::move(callback));
  }
  void run_due_timers() {
    while (!timers.empty() && timers.begin()->first <= now) {
      const auto timer = timers.extract(timers.begin());
      timer.mapped()();
    }
  }
  /// Appends an action for the shell to execute.
  void emit(Action action);
  void log(LogLevel level, std::string text) { emit(LogLine{level, std::move(text)}); }
  void info(const LogMessage& message) { log(LogLevel::info, message.text()); }
  /// Calls `make_message` only if debug lines are written, because there is one for every request or task.
  template <class MakeMessage>
  void debug(MakeMessage&& make_message) {
    if (debug_enabled) log(LogLevel::debug, make_message().text());
  }
  /// Counts and logs a violation. `message` describes the job or shard concerned.
  void report_violation(Invariant invariant, const LogMessage& message) {
    const auto index = static_cast<std::size_t>(invariant);
    ++invariants.violations[index];
    log(LogLevel::error, std::string("invariant ") + kInvariantNames[index] + " violated: " + message.text());
  }
};

}  // namespace bendtide
