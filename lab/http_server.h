// A small HTTP server for the simulated services of the laboratory: one address, one handler.
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

/// Serves every connection for as long as the client keeps it open.
class HttpServer {
 public:
  using Handler = std::function<io::Task<HttpReply>(http::Message)>;

  /// Listens at once; throws std::runtime_error if the address is taken.
  HttpServer(io::Loop& loop, const std::string& address, Handler handler);
  /// Serves for as long as the loop runs. The server has to outlive it.
  io::Task<> run();

 private:
  io::Task<> serve(io::Socket socket);

  io::Loop& loop_;
  io::Socket listener_;
  Handler handler_;
};

}  // namespace bendtide::lab
