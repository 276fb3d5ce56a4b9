#include "app/daemon.h"

#include <spdlog/spdlog.h>

#include "core/runtime/log_message.h"
#include "wire/names.h"

namespace bendtide {

namespace {

constexpr Micros kIdleTimeout = seconds(60);  ///< for a connection on which nothing arrives
constexpr Micros kWriteTimeout = seconds(5);
/// A link between controllers is silent while there is nothing to send; one whose other side is gone for good
/// ends with this.
constexpr Micros kPeerIdleTimeout = seconds(600);
constexpr std::size_t kInternalBacklog = 64;

/// The rest of the sockets is for the services we call, the peers and pushed commands.
std::size_t most_connections_for_users(const Settings& settings) { return settings.sockets * 3 / 4; }
std::size_t most_connections(const Settings& settings) { return settings.sockets * 7 / 8; }

}  // namespace

Daemon::Daemon(const Settings& settings, std::shared_ptr<spdlog::logger> log)
    : settings_(settings),
      log_(std::move(log)),
      driver_(settings_, loop_, metrics_, log_),
      user_api_(driver_),
      admin_api_(driver_, metrics_) {
  loop_.on_error = [this](const std::string& what) {
    log_->error("{}", LogMessage("task failed").why(what).text());
  };
}

void Daemon::run() {
  log_->info("{}", LogMessage("controller starts")
                       .zone(settings_.zone)
                       .detail("host", settings_.host)
                       .detail("peers", settings_.peers.size())
                       .text());
  std::string ignored;
  for (const std::string& kind : settings_.ignored_objectives) ignored += (ignored.empty() ? "" : ",") + kind;
  if (!ignored.empty())
    log_->info("{}", LogMessage("objectives without effect").detail("kinds", ignored).text());
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
    // Health checks, workers and users with a request come before connections without one.
    if (connections_ >= most_connections_for_users(settings_) && !close_longest_idle()) continue;
    loop_.spawn(serve_users(std::move(socket)));
  }
}

bool Daemon::close_longest_idle() {
  if (idle_.empty()) return false;
  idle_.front()->stop_reading();
  // Its coroutine removes it from the list once it is resumed; until then, others come first.
  idle_.splice(idle_.end(), idle_, idle_.begin());
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
  const auto place = is_idle ? idle_.insert(idle_.end(), &socket) : idle_.end();
  const bool more = co_await socket.read(buffer, loop_.now() + kIdleTimeout);
  if (is_idle) idle_.erase(place);
  co_return more;
}

io::Task<HttpReply> Daemon::answer(const http::Message& request, Audience audience) {
  if (audience == Audience::operators) co_return co_await admin_api_.answer(request);
  const Micros began = loop_.now();
  HttpReply reply = co_await user_api_.answer(request);
  const bool is_worker = request.target == wire::names::kHeartbeatPath;
  metrics_.observe(is_worker ? Metrics::Kind::worker : Metrics::Kind::user, loop_.now() - began,
                   reply.status < 500);
  co_return reply;
}

// ---- peers and operators -------------------------------------------------------------------------

io::Task<> Daemon::accept_internal() {
  io::Socket listener = io::Socket::listen(loop_, settings_.internal_address, kInternalBacklog);
  for (;;) {
    io::Socket socket = co_await listener.accept();
    if (connections_ < most_connections(settings_)) loop_.spawn(serve_internal(std::move(socket)));
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
      log_->error("{}", LogMessage("peer connection closed").why("its message can't be read").text());
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
