#include "history.h"

#include <iomanip>
#include <ostream>

namespace bendtide::lab {

void History::add(const std::string& what) {
  events_.push_back({now_(), what});
  if (events_.size() > kKept) events_.pop_front();
}

void History::print(std::ostream& out, const std::string& subject) const {
  for (const Event& event : events_) {
    if (event.what.find(subject) == std::string::npos) continue;
    out << std::fixed << std::setw(9) << std::setprecision(3) << in_seconds(event.at) << ' ' << event.what
        << '\n';
  }
}

}  // namespace bendtide::lab
