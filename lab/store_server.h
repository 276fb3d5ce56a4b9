// The simulated key-value store as a server: one store, a port for each controller, and faults for each port.
#pragma once

#include <array>
#include <memory>

#include "http_server.h"
#include "laboratory.h"
#include "link_proxy.h"

namespace bendtide::lab {

/// Controllers are numbered from 0 to kControllerCount - 1.
class StoreServer {
 public:
  explicit StoreServer(Laboratory& lab);
  void run();

  /// During an outage all controllers are refused.
  void set_outage(bool on);
  /// One controller is refused, while the others are served.
  void set_refusal(int controller, bool on) { ports_.at(static_cast<std::size_t>(controller)).refused = on; }
  /// The link between a controller and the store.
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
  std::array<Port, kControllerCount> ports_;
};

}  // namespace bendtide::lab
