#include "link_proxy.h"

namespace bendtide::lab {

namespace {

constexpr std::size_t kBacklog = 256;
constexpr Micros kConnectTimeout = seconds(1);
constexpr Micros kIdleTimeout = seconds(600);
constexpr Micros kWriteTimeout = seconds(5);
constexpr Micros kHoldPollInterval = millis(5);  ///< between checks of whether a held direction was released

}  // namespace

LinkProxy::LinkProxy(io::Loop& loop, const std::string& listen_at, std::string target)
    : loop_(loop), listener_(io::Socket::listen(loop, listen_at, kBacklog)), target_(std::move(target)) {}

io::Task<> LinkProxy::run() {
  for (;;) {
    io::Socket client = co_await listener_.accept();
    if (!refuses_connections) loop_.spawn(open_connection(std::move(client)));
  }
}

io::Task<> LinkProxy::open_connection(io::Socket client) {
  io::Socket server = co_await io::Socket::connect(loop_, target_, loop_.now() + kConnectTimeout);
  if (!server.open()) co_return;
  auto connection = std::make_shared<Connection>();
  connection->client = std::move(client);
  connection->server = std::move(server);
  loop_.spawn(forward(connection, true));
  loop_.spawn(forward(connection, false));
}

io::Task<> LinkProxy::forward(std::shared_ptr<Connection> connection, bool towards_server) {
  io::Socket& source = towards_server ? connection->client : connection->server;
  io::Socket& sink = towards_server ? connection->server : connection->client;
  const Direction& direction = towards_server ? to_server : to_client;
  std::string chunk;
  while (co_await source.read(chunk, loop_.now() + kIdleTimeout)) {
    if (direction.latency) {
      const Micros latency = direction.latency();
      if (latency > Micros{0}) co_await loop_.sleep(latency);
    }
    while (direction.held) co_await loop_.sleep(kHoldPollInterval);
    if (!co_await sink.write(chunk, loop_.now() + kWriteTimeout)) break;
    chunk.clear();
  }
  source.stop_reading();
  sink.stop_reading();
}

}  // namespace bendtide::lab
