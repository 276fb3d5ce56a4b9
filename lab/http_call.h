// One HTTP request on a connection of its own.
#pragma once

#include "io/http_client.h"

namespace bendtide::lab {

struct HttpCall {
  std::string address;
  std::string method;
  std::string target;
  std::string body;
  Micros within{0};  ///< from the start of the connection to the whole response
};

/// Status 0 of the result: no response in time, or no connection. GCC 12 destroys some temporaries of a
/// co_await expression twice: callers name the call and move it here.
io::Task<io::HttpClient::Result> perform(io::Loop& loop, HttpCall call);

}  // namespace bendtide::lab
