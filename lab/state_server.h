// The key-value store's stand-in: one store, a port for each controller, and faults for each of them.
#pragma once

#include <array>
#include <memory>

#include "http_server.h"
#include "laboratory.h"
#include "link_proxy.h"

namespace bendtide::lab {

class StateServer {
 public:
  explicit StateServer(Laboratory& lab);
  void run();

  /// Everybody is refused.
  void set_outage(bool on);
  /// One controller is refused, while the others are served.
  void set_refusal(int controller, bool on) { ports_.at(static_cast<std::size_t>(controller)).refused = on; }
  /// The way between a controller and the service.
  LinkProxy& link(int controller) { return *ports_.at(static_cast<std::size_t>(controller)).link; }

 private:
  struct Port {
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<LinkProxy> link;
    bool refused = false;
  };
  io::Task<HttpReply> serve(int controller, http::Message request);

  Laboratory& lab_;
  sim::SimulatedKeyValueStore store_;
  std::array<Port, kControllers> ports_;
};

}  // namespace bendtide::lab
