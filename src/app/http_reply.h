// What is answered to an HTTP request, before HTTP's own framing (http/).
#pragma once

#include <string>

namespace bendtide {

inline constexpr char kJsonType[] = "application/json";

struct HttpReply {
  int status = 503;
  std::string body = "{}";
  int retry_after_s = 0;  ///< 0: no such header
  std::string type = kJsonType;
};

}  // namespace bendtide
