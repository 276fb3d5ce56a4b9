// What happened, as seen from outside the controllers: one line for each event, in the order of one clock.
#pragma once

#include <deque>
#include <functional>
#include <iosfwd>
#include <string>

#include "core/model/time.h"

namespace bendtide::lab {

/// Keeps the last 500,000 events. Times are those of the function that it is given.
class History {
 public:
  explicit History(std::function<Micros()> now) : now_(std::move(now)) {}

  /// `what` begins with the id of the job, machine or controller that it is about.
  void add(const std::string& what);
  /// Prints the events that name `subject`; with an empty one, all that are kept.
  void print(std::ostream& out, const std::string& subject) const;

 private:
  struct Event {
    Micros at{0};
    std::string what;
  };
  static constexpr std::size_t kKept = 500'000;

  std::function<Micros()> now_;
  std::deque<Event> events_;
};

}  // namespace bendtide::lab
