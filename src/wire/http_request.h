// A request of the published protocol, before HTTP's own framing (http/).
#pragma once

#include <string>

namespace bendtide::wire {

struct HttpRequest {
  std::string method;
  std::string target;  ///< path and parameters, escaped
  std::string body;    ///< JSON; empty: none
};

}  // namespace bendtide::wire
