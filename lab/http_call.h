// HTTP requests that each use a new connection.
#pragma once

#include "io/http_client.h"

namespace bendtide::lab {

struct HttpCall {
  std::string address;
  std::string method;
  std::string target;
  std::string body;
  Micros timeout{0};  ///< for connecting, sending and receiving the whole response
};

/// Sends the request and returns the response. Its status is 0 if the connection failed or no complete
/// response arrived in time. Callers move a named HttpCall into `call` instead of passing a temporary,
/// because GCC 12 destroys some temporaries of a co_await expression twice.
io::Task<io::HttpClient::Result> perform(io::Loop& loop, HttpCall call);

}  // namespace bendtide::lab
