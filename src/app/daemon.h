// The controller process: listens, and serves the connections of users, workers, operators and peers.
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

/// Runs one controller. All of it runs on one event loop in one thread.
class Daemon {
 public:
  Daemon(const Settings& settings, std::shared_ptr<spdlog::logger> log);

  /// Listens and serves; does not return. If an address cannot be bound, the error is logged and the process
  /// keeps running.
  void run();

 private:
  /// The API that an HTTP connection uses, given by the address that accepted it. `users` includes workers.
  enum class Audience { users, operators };

  io::Task<> accept_users();
  io::Task<> accept_internal();
  io::Task<> serve_users(io::Socket socket);
  /// Serves a connection of a peer or an operator. Both use the internal address; the first byte tells which
  /// protocol the connection speaks.
  io::Task<> serve_internal(io::Socket socket);
  /// `buffer`: the bytes that have been read already.
  io::Task<> serve_peer(io::Socket socket, std::string buffer);
  /// Passes a message to the core. Ignores it if its sender is not a peer in the settings.
  void on_peer_message(const codec::Envelope& envelope);
  /// Answers the requests on a connection until it is closed. `buffer`: the bytes that have been read
  /// already.
  io::Task<> serve_http(io::Socket socket, std::string buffer, Audience audience);
  /// Reads more bytes of a request into `buffer`. Returns false if the connection was closed, failed or timed
  /// out.
  io::Task<bool> read_request(io::Socket& socket, std::string& buffer, Audience audience);
  io::Task<HttpReply> answer(const http::Message& request, Audience audience);
  /// Closes the user connection that has been idle the longest. Returns false if none is idle.
  bool close_longest_idle_connection();

  Settings settings_;
  std::shared_ptr<spdlog::logger> log_;
  io::Loop loop_;
  Metrics metrics_;
  CoreDriver driver_;
  UserApi user_api_;
  AdminApi admin_api_;
  std::size_t connections_ = 0;          ///< accepted on either address
  std::list<io::Socket*> idle_sockets_;  ///< user connections waiting for a request, longest idle first
};

}  // namespace bendtide
