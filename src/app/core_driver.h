// Connects the core, which does no I/O, to the event loop: passes events with their time to the core and
// performs the actions that the core returns.
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

/// Owns the core and its connections to the key-value store, the cloud, the workers and the other
/// controllers. Must outlive the last run of the loop, because its coroutines refer to it. Not thread-safe:
/// use it on the thread of the loop only.
class CoreDriver {
 public:
  CoreDriver(const Settings& settings, io::Loop& loop, Metrics& metrics, std::shared_ptr<spdlog::logger> log);

  /// Starts the links to the other controllers and the periodic tick of the core.
  void start();

  /// Sets the core's steady and wall clocks, calls `event` with the core, performs the resulting actions, and
  /// returns the value that `event` returned. All changes to the core go through this function. If `event`
  /// throws, no action is performed.
  template <class Event>
  std::invoke_result_t<Event, Controller&> handle(Event&& event) {
    update_core_clocks();
    if constexpr (std::is_void_v<std::invoke_result_t<Event, Controller&>>) {
      event(core_);
      perform_actions();
    } else {
      auto result = event(core_);
      perform_actions();
      return result;
    }
  }

  /// Passes a request to the core. The core replies later, referring to the request by its number.
  using RequestHandler = std::function<void(Controller& core, std::uint64_t request)>;
  /// Passes a request to the core and waits for the reply. Returns status 503 if there is none within
  /// `timeout`. `handler` is called before the coroutine suspends for the first time.
  ///
  /// `handler` must be a named variable moved into the call: GCC 12 destroys some temporaries of a co_await
  /// expression twice.
  io::Task<HttpReply> submit(RequestHandler handler, Micros timeout);

  /// Whether `host` is one of the other controllers in the settings.
  bool is_peer(const std::string& host) const { return peers_.contains(host); }
  /// Read-only access outside of an event, for example to the core's counters.
  const Controller& core() const { return core_; }

 private:
  /// A request that is waiting for the reply of the core.
  struct PendingRequest {
    io::Waiter waiter;
    std::optional<HttpReply> reply;
  };

  void update_core_clocks();
  /// Performs the actions that the core has queued.
  void perform_actions();
  /// Calls Controller::tick() periodically; never returns.
  io::Task<> tick();

  // One overload for each kind of action.
  void perform(StoreCall& call);
  void perform(CloudCall& call);
  void perform(WorkerCall& call);
  void perform(PeerSend& send);
  void perform(AnswerUser& answer);
  void perform(AnswerHeartbeat& answer);
  void perform(AnswerAdmin& answer);
  void perform(LogLine& line);

  /// Sends a request to a service and passes the response to the core.
  /// `parse`: called with (request, status, body); returns the Response.
  /// `deliver`: called with (core, response).
  template <class Response, class ServiceRequest, class Parse, class Deliver>
  io::Task<> call_service(io::HttpClient& client, ServiceRequest request, Micros timeout, Metrics::Kind kind,
                          Parse parse, Deliver deliver);
  /// Sends commands to a worker, on a connection of their own, and passes the response to the core.
  io::Task<> call_worker(std::uint64_t call, CommandRequest request);
  /// Wakes the coroutine that is waiting for the reply. Does nothing if the request has timed out.
  void deliver_reply(std::uint64_t request, HttpReply reply);

  io::Loop& loop_;
  Metrics& metrics_;
  std::shared_ptr<spdlog::logger> log_;
  Controller core_;
  io::HttpClient store_;
  io::HttpClient cloud_;
  std::map<std::string, std::unique_ptr<PeerLink>> peers_;            ///< by host
  std::map<std::uint64_t, std::unique_ptr<PendingRequest>> pending_;  ///< by request number
  std::uint64_t next_request_ = 1;
};

}  // namespace bendtide
