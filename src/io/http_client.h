// An HTTP client for one address, with a bounded pool of idle connections.
#pragma once

#include <string>
#include <vector>

#include "http/message.h"
#include "io/loop.h"

namespace bendtide::io {

/// Any number of calls may run at the same time, each on a connection of its own. The client must outlive its
/// calls.
class HttpClient {
 public:
  struct Result {
    bool sent = false;  ///< false: the server has certainly not received any part of the request
    int status = 0;     ///< 0: no complete response in time, or a malformed one
    std::string body;
  };

  /// `address`: HOST:PORT. `max_idle`: the number of idle connections to keep for later calls. `max_body`:
  /// the limit on the body of a response, in bytes.
  HttpClient(Loop& loop, std::string address, std::size_t max_idle, std::size_t max_body)
      : loop_(loop), address_(std::move(address)), max_idle_(max_idle), limits_{16 * 1024, max_body} {}

  /// Sends one request and waits for its response. Never retries. `timeout`: for the whole call, including
  /// the connection.
  Task<Result> call(std::string method, std::string target, std::string body, Micros timeout);

 private:
  /// Takes a reusable connection from the pool. Returns a socket that is not open if there is none.
  Socket take_idle_connection();

  Loop& loop_;
  std::string address_;
  std::size_t max_idle_;
  http::Limits limits_;
  std::vector<Socket> idle_;  ///< the most recently used last
};

}  // namespace bendtide::io
