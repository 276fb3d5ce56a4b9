// Drives the core: hands it events with the time at which they happen, and carries out the actions that
// follow.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <type_traits>

#include "app/http_reply.h"
#include "app/metrics.h"
#include "app/peer_link.h"
#include "core/controller/controller.h"
#include "io/http_client.h"

namespace spdlog {
class logger;
}

namespace bendtide {

/// Owns the core and the connections to all that the core calls: the key-value store, the cloud, the workers
/// and the other controllers. Its coroutines refer to it: it has to outlive the last run of the loop. One
/// thread, that of the loop.
class CoreDriver {
 public:
  CoreDriver(const Settings& settings, io::Loop& loop, Metrics& metrics, std::shared_ptr<spdlog::logger> log);

  /// Spawns the links to the other controllers and the core's regular tick.
  void start();

  /// The only way to the core: passes the steady and the wall time and an event to it, and carries out the
  /// actions that follow from it. Returns what the event returns. If the event throws, nothing is carried
  /// out.
  template <class Event>
  std::invoke_result_t<Event, Controller&> handle(Event&& event) {
    begin_event();
    if constexpr (std::is_void_v<std::invoke_result_t<Event, Controller&>>) {
      event(core_);
      perform_actions();
    } else {
      auto result = event(core_);
      perform_actions();
      return result;
    }
  }

  /// An event that the core answers later, under this number.
  using RequestHandler = std::function<void(Controller& core, std::uint64_t request)>;
  /// Hands a request to the core and waits for the reply; 503 if there is none within `within`. The request
  /// is handed over before this first suspends.
  ///
  /// Callers name `request` before they await: GCC 12 destroys temporaries of a co_await expression twice.
  io::Task<HttpReply> submit(RequestHandler request, Micros within);

  /// Whether `host` is one of the other controllers.
  bool is_peer(const std::string& host) const { return peers_.contains(host); }
  /// For what is read without an event: the core's own counts.
  const Controller& core() const { return core_; }

 private:
  /// A request that waits for the core's reply.
  struct Pending {
    io::Waiter waiter;
    std::optional<HttpReply> reply;
  };

  void begin_event();
  void perform_actions();
  io::Task<> tick();

  // One for each kind of action.
  void perform(StoreCall& call);
  void perform(CloudCall& call);
  void perform(WorkerCall& call);
  void perform(PeerSend& send);
  void perform(AnswerUser& answer);
  void perform(AnswerHeartbeat& answer);
  void perform(AnswerAdmin& answer);
  void perform(LogLine& line);

  /// Sends a request to a service and hands the response to the core.
  /// `parse`: (request, status, body) -> Response; `deliver`: (core, response).
  template <class Response, class ServiceRequest, class Parse, class Deliver>
  io::Task<> call_service(io::HttpClient& client, ServiceRequest request, Micros within, Metrics::Kind kind,
                          Parse parse, Deliver deliver);
  io::Task<> call_worker(std::uint64_t call, CommandRequest request);
  /// Passes the reply on, unless the request has been given up.
  void reply(std::uint64_t request, HttpReply reply);

  io::Loop& loop_;
  Metrics& metrics_;
  std::shared_ptr<spdlog::logger> log_;
  Controller core_;
  io::HttpClient store_;
  io::HttpClient cloud_;
  std::map<std::string, std::unique_ptr<PeerLink>> peers_;  ///< by host
  std::map<std::uint64_t, std::unique_ptr<Pending>> pending_;
  std::uint64_t next_request_ = 1;
};

}  // namespace bendtide
