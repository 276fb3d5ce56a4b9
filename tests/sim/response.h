// The response of a simulated HTTP server.
#pragma once

#include <string>

namespace bendtide::sim {

struct Response {
  int status = 0;
  std::string body;
};

}  // namespace bendtide::sim
