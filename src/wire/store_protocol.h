// The published protocol of the key-value store: requests and their responses.
#pragma once

#include <string_view>

#include "core/model/store_messages.h"
#include "wire/http_request.h"

namespace bendtide::wire {

HttpRequest request_of(const StoreRequest& request);

/// Reads the response to `request`. One that can't be read counts as none: its outcome is unknown.
[[nodiscard]] StoreResponse parse_store_response(const StoreRequest& request, int status,
                                                 std::string_view body);

}  // namespace bendtide::wire
