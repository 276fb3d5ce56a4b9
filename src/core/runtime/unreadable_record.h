// The log line about a stored record that could not be read.
#pragma once

#include <string>

#include "core/model/records.h"
#include "core/runtime/context.h"

namespace bendtide {

/// Logs that the record of `key` is dropped. Where there is no record, there is nothing to log.
inline void log_unreadable(Context& context, const std::string& key, const records::ReadError& error) {
  if (error.kind == records::ReadError::Kind::no_record) return;
  context.debug(
      [&] { return LogMessage("record dropped").detail("key", key).why(records::to_string(error)); });
}

}  // namespace bendtide
