// The protocol of the cloud: encodes requests and decodes responses.
#pragma once

#include <string_view>

#include "core/model/cloud_messages.h"
#include "wire/http_request.h"

namespace bendtide::wire {

/// Encodes a request.
HttpRequest request_of(const CloudRequest& request);

/// Decodes the response to `request`. A malformed response is treated like a missing one: its outcome is
/// `unknown`.
[[nodiscard]] CloudResponse parse_cloud_response(const CloudRequest& request, int status,
                                                 std::string_view body);

}  // namespace bendtide::wire
