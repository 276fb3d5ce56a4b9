// The content of a response to an HTTP request; http/ adds the framing.
#pragma once

#include <string>

namespace bendtide {

inline constexpr char kJsonType[] = "application/json";

struct HttpReply {
  int status = 503;
  std::string body = "{}";
  int retry_after_s = 0;         ///< value of the Retry-After header; 0: the header is omitted
  std::string type = kJsonType;  ///< value of the Content-Type header
};

}  // namespace bendtide
