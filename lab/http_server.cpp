#include "http_server.h"

namespace bendtide::lab {

namespace {

constexpr std::size_t kBacklog = 256;
constexpr Micros kIdleTimeout = seconds(120);
constexpr Micros kWriteTimeout = seconds(5);

}  // namespace

HttpServer::HttpServer(io::Loop& loop, const std::string& address, Handler handler)
    : loop_(loop), listener_(io::Socket::listen(loop, address, kBacklog)), handler_(std::move(handler)) {}

io::Task<> HttpServer::run() {
  for (;;) {
    io::Socket socket = co_await listener_.accept();
    loop_.spawn(serve(std::move(socket)));
  }
}

io::Task<> HttpServer::serve(io::Socket socket) {
  const http::Limits limits;
  std::string buffer;
  for (;;) {
    http::ParseResult parsed = http::parse(buffer, http::Kind::request, limits);
    if (parsed.state == http::ParseResult::State::malformed) co_return;
    if (parsed.state == http::ParseResult::State::incomplete) {
      if (!co_await socket.read(buffer, loop_.now() + kIdleTimeout)) co_return;
      continue;
    }
    buffer.erase(0, parsed.consumed);
    const bool keep_alive = parsed.message.keep_alive;
    http::Message request = std::move(parsed.message);
    const HttpReply reply = co_await handler_(std::move(request));
    const std::string response = http::write_response(reply.status, reply.body, keep_alive);
    if (!co_await socket.write(response, loop_.now() + kWriteTimeout) || !keep_alive) co_return;
  }
}

}  // namespace bendtide::lab
