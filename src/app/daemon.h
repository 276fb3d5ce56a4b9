// The shell around the core: listens, and serves the connections of users, workers, operators and peers.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "app/admin_api.h"
#include "app/core_driver.h"
#include "app/metrics.h"
#include "app/user_api.h"
#include "codec/codec.h"

namespace bendtide {

/// One controller's process. Everything runs in one thread, on one loop.
class Daemon {
 public:
  Daemon(const Settings& settings, std::shared_ptr<spdlog::logger> log);

  /// Listens and serves; throws if it can't listen.
  void run();

 private:
  /// Whom an HTTP connection belongs to, by the address that it came to.
  enum class Audience { users, operators };

  io::Task<> accept_users();
  io::Task<> accept_internal();
  io::Task<> serve_users(io::Socket socket);
  /// Peers and operators share an address; the first byte distinguishes them.
  io::Task<> serve_internal(io::Socket socket);
  /// `buffer`: what has been read already.
  io::Task<> serve_peer(io::Socket socket, std::string buffer);
  /// Ignores a message whose sender is none of the peers in the settings.
  void on_peer_message(const codec::Envelope& envelope);
  io::Task<> serve_http(io::Socket socket, std::string buffer, Audience audience);
  /// Waits for more of a request. False if the connection is over.
  io::Task<bool> read_request(io::Socket& socket, std::string& buffer, Audience audience);
  io::Task<HttpReply> answer(const http::Message& request, Audience audience);
  /// Ends the users' connection that has been idle for longest; false if none is idle.
  bool close_longest_idle();

  Settings settings_;
  std::shared_ptr<spdlog::logger> log_;
  io::Loop loop_;
  Metrics metrics_;
  CoreDriver driver_;
  UserApi user_api_;
  AdminApi admin_api_;
  std::size_t connections_ = 0;
  std::list<io::Socket*> idle_;  ///< users' connections without a request under way, the longest idle first
};

}  // namespace bendtide
