// A link between two programs over loopback, with faults for each direction on its own.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "io/loop.h"

namespace bendtide::lab {

/// What one direction of a link does with the bytes that it is given.
struct Direction {
  bool held = false;                ///< keeps them until it is released, whatever has become of the sender
  std::function<Micros()> latency;  ///< drawn for each piece; none: no delay
};

/// Forwards every connection to its target, byte by byte and in order. The faults may be changed at any time
/// and hold for connections that are open, too.
class LinkProxy {
 public:
  LinkProxy(io::Loop& loop, const std::string& listen_at, std::string target);
  /// Serves for as long as the loop runs. The proxy has to outlive it.
  io::Task<> run();

  Direction to_server;
  Direction to_client;
  bool refuses = false;  ///< new connections are closed at once

 private:
  struct Connection {
    io::Socket client;
    io::Socket server;
  };
  io::Task<> open(io::Socket client);
  io::Task<> pump(std::shared_ptr<Connection> connection, bool towards_server);

  io::Loop& loop_;
  io::Socket listener_;
  std::string target_;
};

}  // namespace bendtide::lab
