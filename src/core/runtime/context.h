// What every piece of the core shares: the settings, the present moment as told by the shell, and the
// actions collected for it.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "core/model/actions.h"
#include "core/model/policy.h"
#include "core/model/settings.h"
#include "core/runtime/invariants.h"
#include "core/runtime/log_message.h"

namespace bendtide {

struct Context {
  Settings settings;
  Policy policy;            ///< operators' own settings
  std::string incarnation;  ///< names this process among all that ever ran under this host name
  std::mt19937_64 random;   ///< seeded by the shell
  Micros now{0};            ///< steady clock
  Micros wall{0};           ///< time of day, within the platform's bound
  std::vector<Action> actions;
  std::multimap<Micros, std::function<void()>> timers;
  bool debugging = false;  ///< whether debug lines are written
  InvariantCounts invariants{};

  void later(Micros delay, std::function<void()> what) { timers.emplace(now + delay, std::move(what)); }
  void act(Action a) { actions.push_back(std::move(a)); }
  void log(LogLevel level, std::string text) { act(LogLine{level, std::move(text)}); }
  void info(const LogMessage& message) { log(LogLevel::info, message.text()); }
  void info(std::string text) { log(LogLevel::info, std::move(text)); }
  /// `make_text` is called only if the line is written: most are about every single call or task.
  template <class MakeText>
  void debug(MakeText&& make_text) {
    if (!debugging) return;
    if constexpr (std::is_convertible_v<decltype(make_text()), std::string>)
      log(LogLevel::debug, make_text());
    else
      log(LogLevel::debug, make_text().text());
  }
  /// `story`: what is known of the job or part it is about.
  void violated(Invariant invariant, const std::string& story) {
    const auto index = static_cast<std::size_t>(invariant);
    ++invariants.violations[index];
    log(LogLevel::error, std::string("invariant ") + kInvariantNames[index] + " violated: " + story);
  }
};

}  // namespace bendtide
