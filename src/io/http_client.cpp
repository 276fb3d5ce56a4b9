#include "io/http_client.h"

namespace bendtide::io {

Task<HttpClient::Result> HttpClient::call(std::string method, std::string target, std::string body,
                                          Micros timeout) {
  const Micros deadline = loop_.now() + timeout;
  Result result;
  Socket socket = take_idle_connection();
  if (!socket.open()) socket = co_await Socket::connect(loop_, address_, deadline);
  if (!socket.open()) co_return result;

  const std::string request = http::write_request(method, target, address_, body);
  result.sent = true;
  if (!co_await socket.write(request, deadline)) co_return result;
  std::string buffer;
  while (co_await socket.read(buffer, deadline)) {
    http::ParseResult parsed = http::parse(buffer, http::Kind::response, limits_);
    if (parsed.state == http::ParseResult::State::incomplete) continue;
    if (parsed.state == http::ParseResult::State::malformed) break;
    result.status = parsed.message.status;
    result.body = std::move(parsed.message.body);
    // Bytes after the response belong to no request. A connection that sent some is not reused.
    const bool reusable = parsed.message.keep_alive && parsed.consumed == buffer.size();
    if (reusable && idle_.size() < max_idle_) idle_.push_back(std::move(socket));
    break;
  }
  co_return result;
}

Socket HttpClient::take_idle_connection() {
  while (!idle_.empty()) {
    Socket socket = std::move(idle_.back());
    idle_.pop_back();
    if (socket.reusable()) return socket;
  }
  return Socket();
}

}  // namespace bendtide::io
