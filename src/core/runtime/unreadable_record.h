// The log line for a stored record that can't be read.
#pragma once

#include <string>

#include "core/model/records.h"
#include "core/runtime/context.h"

namespace bendtide {

/// Logs that the record at `key` is ignored because it can't be read. Logs nothing if there is no record.
inline void log_unreadable(Context& context, const std::string& key, const records::ReadError& error) {
  if (error.kind == records::ReadError::Kind::no_record) return;
  context.debug([&] {
    return LogMessage("unreadable record ignored").detail("key", key).reason(records::to_string(error));
  });
}

}  // namespace bendtide
