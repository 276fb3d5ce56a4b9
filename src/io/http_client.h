// An HTTP client with a bounded pool of kept-alive connections to one address.
#pragma once

#include <string>
#include <vector>

#include "http/message.h"
#include "io/loop.h"

namespace bendtide::io {

/// Calls may be under way in any number at once: each has a connection of its own. The client has to outlive
/// them.
class HttpClient {
 public:
  struct Result {
    bool sent = false;  ///< false: the other side has surely not seen the request
    int status = 0;     ///< 0: no response, or one that can't be read
    std::string body;
  };

  /// `address`: HOST:PORT. `most_idle`: of connections that are kept for later calls. `longest_body`: of a
  /// response, in bytes.
  HttpClient(Loop& loop, std::string address, std::size_t most_idle, std::size_t longest_body)
      : loop_(loop), address_(std::move(address)), most_idle_(most_idle), limits_{16 * 1024, longest_body} {}

  /// Sends one request and waits for its response; never sends it twice. `within`: for all of it together.
  Task<Result> call(std::string method, std::string target, std::string body, Micros within);

 private:
  /// An idle connection that is still good; a socket that is not open if there is none.
  Socket take_idle();

  Loop& loop_;
  std::string address_;
  std::size_t most_idle_;
  http::Limits limits_;
  std::vector<Socket> idle_;  ///< the last used at the end
};

}  // namespace bendtide::io
