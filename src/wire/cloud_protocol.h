// The published protocol of the cloud: requests and their responses.
#pragma once

#include <string_view>

#include "core/model/cloud_messages.h"
#include "wire/http_request.h"

namespace bendtide::wire {

HttpRequest request_of(const CloudRequest& request);

/// Reads the response to `request`. One that can't be read counts as none: its outcome is unknown.
[[nodiscard]] CloudResponse parse_cloud_response(const CloudRequest& request, int status,
                                                 std::string_view body);

}  // namespace bendtide::wire
