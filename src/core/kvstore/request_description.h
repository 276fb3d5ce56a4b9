// Requests to the key-value store and its responses as text, for the log.
#pragma once

#include <string>

#include "core/model/store_messages.h"

namespace bendtide {

/// The keys of a request, which carry the ids of jobs and the names of shards, and the expected revisions.
std::string describe(const StoreRequest& request);

/// The outcome of a response, and the keys and revisions in it, as long as they are few.
std::string describe(const StoreResponse& response);

}  // namespace bendtide
