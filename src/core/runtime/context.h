// What all modules of the core share.
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

/// The settings, the present time as set by the shell, the actions collected for it, and the timers of one
/// controller.
struct Context {
  Settings settings;
  Policy policy;                ///< what operators may change while controllers run
  std::string incarnation;      ///< names this process among all that ever ran under this host name
  std::mt19937_64 random;       ///< seeded by the shell
  Micros now{0};                ///< steady clock
  Micros wall{0};               ///< wall clock, which may differ between hosts within the platform's bound
  std::vector<Action> actions;  ///< in the order in which they are to be done
  std::multimap<Micros, std::function<void()>> timers;  ///< by the time on the steady clock
  bool debugging = false;                               ///< whether debug lines are written
  InvariantCounts invariants{};

  /// Calls `callback` once `delay` is over, in the next tick.
  void later(Micros delay, std::function<void()> callback) {
    timers.emplace(now + delay, std::move(callback));
  }
  void run_due_timers() {
    while (!timers.empty() && timers.begin()->first <= now) {
      const auto timer = timers.extract(timers.begin());
      timer.mapped()();
    }
  }
  void act(Action action);
  void log(LogLevel level, std::string text) { act(LogLine{level, std::move(text)}); }
  void info(const LogMessage& message) { log(LogLevel::info, message.text()); }
  /// `make_message` is called only if the line is written, as there is one for every single request or task.
  template <class MakeMessage>
  void debug(MakeMessage&& make_message) {
    if (debugging) log(LogLevel::debug, make_message().text());
  }
  /// Counts and logs a violation. `message`: what is known of the job or shard.
  void violated(Invariant invariant, const LogMessage& message) {
    const auto index = static_cast<std::size_t>(invariant);
    ++invariants.violations[index];
    log(LogLevel::error, std::string("invariant ") + kInvariantNames[index] + " violated: " + message.text());
  }
};

}  // namespace bendtide
