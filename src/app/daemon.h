// The shell round the core: sockets, clocks and logging.
#pragma once

#include <list>
#include <memory>
#include <unordered_map>

#include "app/metrics.h"
#include "app/peer_link.h"
#include "core/controller/controller.h"
#include "io/http_client.h"

namespace spdlog {
class logger;
}

namespace bendtide {

class Daemon {
 public:
  Daemon(const Settings& settings, std::shared_ptr<spdlog::logger> log);

  /// Listens and serves; throws if it can't listen.
  void run();

 private:
  struct Reply {
    int status = 503;
    std::string body = "{}";
    int retry_after_s = 0;
    std::string type = "application/json";
  };
  /// A request that waits for the core's answer.
  struct Pending {
    io::Waiter waiter;
    Reply reply;
  };

  io::Task<> accept_users();
  io::Task<> accept_internal();
  io::Task<> serve_users(io::Socket socket);
  io::Task<> serve_internal(io::Socket socket);
  io::Task<> serve_peer(io::Socket socket, std::string buffer);
  io::Task<> serve_http(io::Socket socket, std::string buffer, bool admin);
  io::Task<Reply> answer_user(const http::Message& request);
  io::Task<Reply> answer_admin(const http::Message& request);
  using Event = std::function<void(std::uint64_t request)>;
  io::Task<Reply> ask(Event event, Micros within);
  io::Task<> tick();

  void enter();  ///< tells the core the time
  void leave();  ///< carries out what the core wants done
  void perform(Action action);
  template <class Answer, class Request, class Read, class Done>
  io::Task<> call_service(io::HttpClient& client, Request request, Micros within, Metrics::Kind kind,
                          Read read, Done done);
  io::Task<> call_worker(std::uint64_t call, CommandRequest request);
  void reply(std::uint64_t request, Reply reply);

  Settings settings_;
  std::shared_ptr<spdlog::logger> log_;
  io::Loop loop_;
  Controller core_;
  Metrics metrics_;
  io::HttpClient state_;
  io::HttpClient cloud_;
  std::map<std::string, std::unique_ptr<PeerLink>> peers_;
  std::map<std::uint64_t, std::unique_ptr<Pending>> pending_;
  std::uint64_t next_request_ = 1;
  std::size_t connections_ = 0;
  std::list<io::Socket*> idle_;  ///< connections without a request under way, the longest idle first
};

}  // namespace bendtide
