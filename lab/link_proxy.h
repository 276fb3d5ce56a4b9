// A TCP proxy between two processes on loopback that injects faults into each direction separately.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "io/loop.h"

namespace bendtide::lab {

/// The faults of one direction of a link.
struct Direction {
  bool held = false;  ///< bytes wait until this is reset and are delivered even if the sender has gone
  std::function<Micros()> latency;  ///< returns the delay of each chunk; empty: no delay
};

/// Forwards every connection to its target and keeps the order of the bytes. Faults may be changed at any
/// time; those of a direction also apply to connections that are already open.
class LinkProxy {
 public:
  LinkProxy(io::Loop& loop, const std::string& listen_at, std::string target);
  /// Accepts connections as long as the loop runs. The proxy must live until the loop has stopped.
  io::Task<> run();

  Direction to_server;
  Direction to_client;
  bool refuses_connections = false;  ///< new connections are closed as soon as they are accepted

 private:
  struct Connection {
    io::Socket client;
    io::Socket server;
  };
  io::Task<> open_connection(io::Socket client);
  /// Forwards one direction of a connection until its source closes and everything received is delivered,
  /// or until a write fails; then ends the other direction, too.
  io::Task<> forward(std::shared_ptr<Connection> connection, bool towards_server);

  io::Loop& loop_;
  io::Socket listener_;
  std::string target_;
};

}  // namespace bendtide::lab
