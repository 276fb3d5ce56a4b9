// A log of the events of a soak as observed from outside the controllers, in the order of one clock.
#pragma once

#include <deque>
#include <functional>
#include <iosfwd>
#include <string>

#include "core/model/time.h"

namespace bendtide::lab {

/// Keeps the last 500,000 events, with timestamps from the clock that it is given.
class History {
 public:
  explicit History(std::function<Micros()> now) : now_(std::move(now)) {}

  /// `description` starts with the id of the job, task, machine or component that the event concerns.
  void add(const std::string& description);
  /// Prints the events whose description contains `subject`, or all events if it is empty.
  void print(std::ostream& out, const std::string& subject) const;

 private:
  struct Event {
    Micros at{0};
    std::string description;
  };
  static constexpr std::size_t kMaxEvents = 500'000;

  std::function<Micros()> now_;
  std::deque<Event> events_;
};

}  // namespace bendtide::lab
