// The format of all log lines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/model/ids.h"
#include "core/model/job.h"
#include "core/model/time.h"

namespace bendtide {

/// Builds a log line of key-value pairs:
///
///   shard=node-0 token=1462 job=run-000412 start task=0 attempt=95813633 machine=n-000231: reason
///
/// The shard, token and job come first, followed by the event, the details in the order in which they were
/// added, and the reason. All lines use the same key for the same thing.
class LogMessage {
 public:
  /// `event` is a constant phrase of a few words, such as "start" or "job done".
  explicit LogMessage(std::string_view event) : event_(event) {}

  LogMessage& shard(std::string_view name) { return subject("shard", name); }
  LogMessage& token(FencingToken token) { return subject("token", to_string(token)); }
  LogMessage& job(std::string_view id) { return subject("job", id); }

  LogMessage& task(std::uint32_t index) { return detail("task", std::to_string(index)); }
  LogMessage& attempt(std::uint64_t number) { return detail("attempt", std::to_string(number)); }
  LogMessage& machine(std::string_view name) { return detail("machine", name); }
  LogMessage& peer(std::string_view host) { return detail("peer", host); }
  LogMessage& zone(std::string_view name) { return detail("zone", name); }
  /// Adds any other detail.
  LogMessage& detail(std::string_view key, std::string_view value) { return append(details_, key, value); }
  LogMessage& detail(std::string_view key, std::uint64_t value) { return detail(key, std::to_string(value)); }
  /// Adds a duration in whole milliseconds. The key should end in "_ms".
  LogMessage& milliseconds(std::string_view key, Micros span) {
    return detail(key, std::to_string(span.count() / 1000));
  }

  /// Sets the reason for the event.
  LogMessage& reason(std::string_view reason) {
    reason_ = reason;
    return *this;
  }

  /// Returns the finished line.
  std::string text() const {
    std::string line = subjects_ + event_ + details_;
    if (!reason_.empty()) line += ": " + reason_;
    return line;
  }

 private:
  LogMessage& subject(std::string_view key, std::string_view value) {
    subjects_.append(key).append("=").append(value).append(" ");
    return *this;
  }
  LogMessage& append(std::string& to, std::string_view key, std::string_view value) {
    to.append(" ").append(key).append("=").append(value);
    return *this;
  }

  std::string subjects_;
  std::string event_;
  std::string details_;
  std::string reason_;
};

}  // namespace bendtide
