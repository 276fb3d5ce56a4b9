// The protocol of the key-value store: encodes requests and decodes responses.
#pragma once

#include <string_view>

#include "core/model/store_messages.h"
#include "wire/http_request.h"

namespace bendtide::wire {

/// Encodes a request.
HttpRequest request_of(const StoreRequest& request);

/// Decodes the response to `request`. A malformed response is treated like a missing one: its outcome is
/// `unknown`.
[[nodiscard]] StoreResponse parse_store_response(const StoreRequest& request, int status,
                                                 std::string_view body);

}  // namespace bendtide::wire
