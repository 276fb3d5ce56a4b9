// Describes requests to the key-value store and their responses as text for the log.
#pragma once

#include <string>

#include "core/model/store_messages.h"

namespace bendtide {

/// Returns the keys of a request, which contain job IDs and shard names, and the expected revisions.
std::string describe(const StoreRequest& request);

/// Returns the outcome of a response, its conflicting keys, its revision and its lease. The key and revision
/// of each entry follow if there are at most four entries, and otherwise only the number of entries.
std::string describe(const StoreResponse& response);

}  // namespace bendtide
