// The content of an HTTP request; http/ adds the framing.
#pragma once

#include <string>

namespace bendtide::wire {

struct HttpRequest {
  std::string method;
  std::string target;  ///< path and query parameters, percent-encoded
  std::string body;    ///< JSON; empty if the request has no body
};

}  // namespace bendtide::wire
