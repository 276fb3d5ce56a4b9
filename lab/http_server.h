// A small HTTP server for the simulated services: one address and one request handler.
#pragma once

#include <functional>
#include <string>

#include "http/message.h"
#include "io/loop.h"

namespace bendtide::lab {

struct HttpReply {
  int status = 200;
  std::string body = "{}";
};

/// Serves each connection until the client closes it, asks to close it, or is idle for too long.
class HttpServer {
 public:
  using Handler = std::function<io::Task<HttpReply>(http::Message)>;

  /// Starts to listen. Throws std::runtime_error if it can't listen at the address.
  HttpServer(io::Loop& loop, const std::string& address, Handler handler);
  /// Accepts connections as long as the loop runs. The server must live until the loop has stopped.
  io::Task<> run();

 private:
  io::Task<> serve(io::Socket socket);

  io::Loop& loop_;
  io::Socket listener_;
  Handler handler_;
};

}  // namespace bendtide::lab
