#include "history.h"

#include <iomanip>
#include <ostream>

namespace bendtide::lab {

void History::add(const std::string& description) {
  events_.push_back({now_(), description});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

void History::print(std::ostream& out, const std::string& subject) const {
  for (const Event& event : events_) {
    if (event.description.find(subject) == std::string::npos) continue;
    out << std::fixed << std::setw(9) << std::setprecision(3) << in_seconds(event.at) << ' '
        << event.description << '\n';
  }
}

}  // namespace bendtide::lab
