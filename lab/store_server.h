// Serves the simulated key-value store over HTTP, with a separate port and separate faults for each
// controller.
#pragma once

#include <array>
#include <memory>

#include "core/model/records.h"
#include "http_server.h"
#include "laboratory.h"
#include "link_proxy.h"

namespace bendtide::lab {

/// All ports share one store. Controllers are numbered from 0 to kControllerCount - 1.
class StoreServer {
 public:
  explicit StoreServer(Laboratory& lab);
  /// Starts to serve all ports.
  void start();

  /// During an outage the requests of all controllers fail with status 503.
  void set_outage(bool on);
  /// While set, the requests of this controller fail with status 503; the others are served.
  void set_refused(int controller, bool on) { ports_.at(static_cast<std::size_t>(controller)).refused = on; }
  /// The processes that lead the shards, as stored.
  std::vector<std::string> leaders() const { return store_.values_under(records::kLeasePrefix); }
  /// The proxy through which a controller reaches the store.
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
