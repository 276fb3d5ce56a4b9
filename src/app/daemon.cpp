#include "app/daemon.h"

#include <spdlog/spdlog.h>

#include "core/runtime/log_message.h"
#include "wire/names.h"

namespace bendtide {

namespace {

/// Closes an HTTP connection, or a new connection of any kind, on which nothing arrives.
constexpr Micros kIdleTimeout = seconds(60);
constexpr Micros kWriteTimeout = seconds(5);
/// Longer than kIdleTimeout, because a controller that has nothing to send keeps its connection open in
/// silence. Closes the connections of controllers that are permanently gone.
constexpr Micros kPeerIdleTimeout = seconds(600);
constexpr std::size_t kInternalBacklog = 64;

// Limits on accepted connections. The remaining sockets are reserved for outgoing connections: to the
// key-value store and the cloud, to the other controllers, and to workers for commands.

/// The number of connections above which the public address accepts no more.
std::size_t max_connections_for_users(const Settings& settings) { return settings.sockets * 3 / 4; }
/// The number of connections above which the internal address, for peers and operators, accepts no more.
std::size_t max_connections(const Settings& settings) { return settings.sockets * 7 / 8; }

}  // namespace

Daemon::Daemon(const Settings& settings, std::shared_ptr<spdlog::logger> log)
    : settings_(settings),
      log_(std::move(log)),
      driver_(settings_, loop_, metrics_, log_),
      user_api_(driver_),
      admin_api_(driver_, metrics_) {
  loop_.on_error = [this](const std::string& what) {
    log_->error("{}", LogMessage("coroutine failed").reason(what).text());
  };
}

void Daemon::run() {
  log_->info("{}", LogMessage("controller starting")
                       .zone(settings_.zone)
                       .detail("host", settings_.host)
                       .detail("peers", settings_.peers.size())
                       .text());
  std::string ignored;
  for (const std::string& kind : settings_.ignored_objectives) ignored += (ignored.empty() ? "" : ",") + kind;
  if (!ignored.empty())
    log_->info("{}", LogMessage("unsupported objectives ignored").detail("kinds", ignored).text());
  loop_.spawn(accept_users());
  loop_.spawn(accept_internal());
  driver_.start();
  loop_.run();
}

// ---- users and workers ---------------------------------------------------------------------------

io::Task<> Daemon::accept_users() {
  io::Socket listener = io::Socket::listen(loop_, settings_.api_address, settings_.sockets);
  for (;;) {
    io::Socket socket = co_await listener.accept();
    // At the limit, a new connection replaces the one that has been idle the longest. If none is idle, the
    // new connection is closed.
    if (connections_ >= max_connections_for_users(settings_) && !close_longest_idle_connection()) continue;
    loop_.spawn(serve_users(std::move(socket)));
  }
}

bool Daemon::close_longest_idle_connection() {
  if (idle_sockets_.empty()) return false;
  idle_sockets_.front()->stop_reading();
  // The coroutine that serves the connection removes it from the list only when it is resumed. Until then,
  // moving it to the end lets further calls close other connections.
  idle_sockets_.splice(idle_sockets_.end(), idle_sockets_, idle_sockets_.begin());
  return true;
}

io::Task<> Daemon::serve_users(io::Socket socket) {
  ++connections_;
  co_await serve_http(std::move(socket), {}, Audience::users);
  --connections_;
}

// ---- HTTP ----------------------------------------------------------------------------------------

io::Task<> Daemon::serve_http(io::Socket socket, std::string buffer, Audience audience) {
  const http::Limits limits;
  for (;;) {
    http::ParseResult parsed = http::parse(buffer, http::Kind::request, limits);
    if (parsed.state == http::ParseResult::State::incomplete) {
      const bool more = co_await read_request(socket, buffer, audience);
      if (!more) co_return;
      continue;
    }
    if (parsed.state == http::ParseResult::State::malformed) {
      const std::string response =
          http::write_response(parsed.status, "{\"error\":\"malformed HTTP\"}", false);
      co_await socket.write(response, loop_.now() + kWriteTimeout);
      co_return;
    }
    buffer.erase(0, parsed.consumed);
    const HttpReply reply = co_await answer(parsed.message, audience);
    const bool keep_alive = parsed.message.keep_alive;
    const std::string response =
        http::write_response(reply.status, reply.body, keep_alive, reply.retry_after_s, reply.type);
    const bool written = co_await socket.write(response, loop_.now() + kWriteTimeout);
    if (!written || !keep_alive) co_return;
  }
}

io::Task<bool> Daemon::read_request(io::Socket& socket, std::string& buffer, Audience audience) {
  const bool is_idle = buffer.empty() && audience == Audience::users;
  if (buffer.empty()) buffer.shrink_to_fit();
  const auto idle_entry = is_idle ? idle_sockets_.insert(idle_sockets_.end(), &socket) : idle_sockets_.end();
  const bool more = co_await socket.read(buffer, loop_.now() + kIdleTimeout);
  if (is_idle) idle_sockets_.erase(idle_entry);
  co_return more;
}

io::Task<HttpReply> Daemon::answer(const http::Message& request, Audience audience) {
  if (audience == Audience::operators) co_return co_await admin_api_.answer(request);
  const Micros started_at = loop_.now();
  HttpReply reply = co_await user_api_.answer(request);
  const bool is_worker = request.target == wire::names::kHeartbeatPath;
  metrics_.observe(is_worker ? Metrics::Kind::worker : Metrics::Kind::user, loop_.now() - started_at,
                   reply.status < 500);
  co_return reply;
}

// ---- peers and operators -------------------------------------------------------------------------

io::Task<> Daemon::accept_internal() {
  io::Socket listener = io::Socket::listen(loop_, settings_.internal_address, kInternalBacklog);
  for (;;) {
    io::Socket socket = co_await listener.accept();
    if (connections_ < max_connections(settings_)) loop_.spawn(serve_internal(std::move(socket)));
  }
}

io::Task<> Daemon::serve_internal(io::Socket socket) {
  ++connections_;
  std::string buffer;
  if (co_await socket.read(buffer, loop_.now() + kIdleTimeout)) {
    if (static_cast<unsigned char>(buffer.front()) == codec::kMagic)
      co_await serve_peer(std::move(socket), std::move(buffer));
    else
      co_await serve_http(std::move(socket), std::move(buffer), Audience::operators);
  }
  --connections_;
}

io::Task<> Daemon::serve_peer(io::Socket socket, std::string buffer) {
  for (;;) {
    codec::Decoded frame = codec::decode(buffer);
    if (frame.state == codec::Decoded::State::malformed) {
      log_->error("{}", LogMessage("peer connection closed").reason("malformed message").text());
      co_return;
    }
    if (frame.state == codec::Decoded::State::incomplete) {
      const bool more = co_await socket.read(buffer, loop_.now() + kPeerIdleTimeout);
      if (!more) co_return;
      continue;
    }
    buffer.erase(0, frame.consumed);
    on_peer_message(frame.envelope);
  }
}

void Daemon::on_peer_message(const codec::Envelope& envelope) {
  if (!driver_.is_peer(envelope.sender)) return;
  driver_.handle([&](Controller& core) { core.on_peer(envelope.sender, envelope.message); });
}

}  // namespace bendtide
