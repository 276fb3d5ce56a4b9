#include "link_proxy.h"

namespace bendtide::lab {

namespace {

constexpr std::size_t kBacklog = 256;
constexpr Micros kConnectWithin = seconds(1);
constexpr Micros kIdle = seconds(600);
constexpr Micros kWriteWithin = seconds(5);
constexpr Micros kCheckHeldEvery = millis(5);  ///< whether a held direction has been released

}  // namespace

LinkProxy::LinkProxy(io::Loop& loop, const std::string& listen_at, std::string target)
    : loop_(loop), listener_(io::Socket::listen(loop, listen_at, kBacklog)), target_(std::move(target)) {}

io::Task<> LinkProxy::run() {
  for (;;) {
    io::Socket client = co_await listener_.accept();
    if (!refuses) loop_.spawn(open(std::move(client)));
  }
}

io::Task<> LinkProxy::open(io::Socket client) {
  io::Socket server = co_await io::Socket::connect(loop_, target_, loop_.now() + kConnectWithin);
  if (!server.open()) co_return;
  auto connection = std::make_shared<Connection>();
  connection->client = std::move(client);
  connection->server = std::move(server);
  loop_.spawn(pump(connection, true));
  loop_.spawn(pump(connection, false));
}

/// Ends with its source, once all that came from it is delivered; then the other direction ends too.
io::Task<> LinkProxy::pump(std::shared_ptr<Connection> connection, bool towards_server) {
  io::Socket& source = towards_server ? connection->client : connection->server;
  io::Socket& sink = towards_server ? connection->server : connection->client;
  const Direction& direction = towards_server ? to_server : to_client;
  std::string piece;
  while (co_await source.read(piece, loop_.now() + kIdle)) {
    if (direction.latency) {
      const Micros latency = direction.latency();
      if (latency > Micros{0}) co_await loop_.sleep(latency);
    }
    while (direction.held) co_await loop_.sleep(kCheckHeldEvery);
    if (!co_await sink.write(piece, loop_.now() + kWriteWithin)) break;
    piece.clear();
  }
  source.stop_reading();
  sink.stop_reading();
}

}  // namespace bendtide::lab
