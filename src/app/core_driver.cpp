#include "app/core_driver.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <random>

#include "wire/cloud_protocol.h"
#include "wire/store_protocol.h"
#include "wire/user_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide {

namespace {

constexpr Micros kTickInterval = millis(50);
constexpr Micros kStoreTimeout = seconds(1);
constexpr Micros kCloudTimeout = seconds(5);
constexpr Micros kWorkerTimeout = millis(1500);
constexpr std::size_t kMaxIdleStoreConnections = 8;
constexpr std::size_t kMaxIdleCloudConnections = 2;
// Limits on the size of a response body.
constexpr std::size_t kMaxStoreBodyBytes = 1024 * 1024;
constexpr std::size_t kMaxCloudBodyBytes = 512 * 1024;
constexpr std::size_t kMaxWorkerBodyBytes = 512 * 1024;

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

/// Returns a random identifier that tells this run of the process from earlier runs on the same host.
std::string make_incarnation() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_number()));
  return text;
}

Micros wall_clock_now() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

spdlog::level::level_enum to_spdlog(LogLevel level) {
  switch (level) {
    case LogLevel::error:
      return spdlog::level::err;
    case LogLevel::info:
      return spdlog::level::info;
    case LogLevel::debug:
      return spdlog::level::debug;
  }
  return spdlog::level::debug;
}

/// Converts the result of an HTTP call. The outcome is "refused" if the request was certainly not sent, and
/// "unknown" if it may have been sent and no valid HTTP response arrived.
template <class Response, class Parse>
Response to_response(const io::HttpClient::Result& result, Parse&& parse) {
  Response response;
  if (!result.sent)
    response.outcome = Response::Outcome::refused;
  else if (result.status != 0)
    response = parse(result.status, result.body);
  return response;
}

}  // namespace

CoreDriver::CoreDriver(const Settings& settings, io::Loop& loop, Metrics& metrics,
                       std::shared_ptr<spdlog::logger> log)
    : loop_(loop),
      metrics_(metrics),
      log_(std::move(log)),
      core_(settings, make_incarnation(), random_number()),
      store_(loop, settings.store_address, kMaxIdleStoreConnections, kMaxStoreBodyBytes),
      cloud_(loop, settings.cloud_address, kMaxIdleCloudConnections, kMaxCloudBodyBytes) {
  core_.set_debug_enabled(log_->should_log(spdlog::level::debug));
  for (const Peer& peer : settings.peers)
    peers_.emplace(peer.host, std::make_unique<PeerLink>(loop, settings.host, peer.endpoint));
}

void CoreDriver::start() {
  for (auto& [host, link] : peers_) loop_.spawn(link->run());
  loop_.spawn(tick());
}

io::Task<> CoreDriver::tick() {
  for (;;) {
    handle([](Controller& core) { core.tick(); });
    co_await loop_.sleep(kTickInterval);
  }
}

void CoreDriver::update_core_clocks() { core_.set_clocks(loop_.now(), wall_clock_now()); }

void CoreDriver::perform_actions() {
  for (Action& action : core_.take_actions(loop_.now()))
    std::visit([this](auto& kind) { perform(kind); }, action);
}

// ---- outgoing calls ------------------------------------------------------------------------------

void CoreDriver::perform(StoreCall& call) {
  loop_.spawn(call_service<StoreResponse>(
      store_, std::move(call.request), kStoreTimeout, Metrics::Kind::store, wire::parse_store_response,
      [number = call.call](Controller& core, const StoreResponse& response) {
        core.on_store_response(number, response);
      }));
}

void CoreDriver::perform(CloudCall& call) {
  loop_.spawn(call_service<CloudResponse>(
      cloud_, std::move(call.request), kCloudTimeout, Metrics::Kind::cloud, wire::parse_cloud_response,
      [number = call.call](Controller& core, const CloudResponse& response) {
        core.on_cloud_response(number, response);
      }));
}

void CoreDriver::perform(WorkerCall& call) { loop_.spawn(call_worker(call.call, std::move(call.request))); }

template <class Response, class ServiceRequest, class Parse, class Deliver>
io::Task<> CoreDriver::call_service(io::HttpClient& client, ServiceRequest request, Micros timeout,
                                    Metrics::Kind kind, Parse parse, Deliver deliver) {
  const Micros started_at = loop_.now();
  wire::HttpRequest http = wire::request_of(request);
  auto result =
      co_await client.call(std::move(http.method), std::move(http.target), std::move(http.body), timeout);
  const auto response = to_response<Response>(
      result, [&](int status, const std::string& body) { return parse(request, status, body); });
  metrics_.observe(kind, loop_.now() - started_at, result.status != 0 && result.status < 500);
  handle([&](Controller& core) { deliver(core, response); });
}

io::Task<> CoreDriver::call_worker(std::uint64_t call, CommandRequest request) {
  wire::HttpRequest http = wire::request_of(request);
  const Micros started_at = loop_.now();
  io::HttpClient client(loop_, request.address, 0, kMaxWorkerBodyBytes);
  auto result = co_await client.call(std::move(http.method), std::move(http.target), std::move(http.body),
                                     kWorkerTimeout);
  const auto response = to_response<CommandResponse>(result, wire::parse_command_response);
  metrics_.observe(Metrics::Kind::commands, loop_.now() - started_at,
                   response.outcome == CommandResponse::Outcome::executed);
  handle([&](Controller& core) { core.on_command_response(call, response); });
}

void CoreDriver::perform(PeerSend& send) {
  const auto found = peers_.find(send.host);
  if (found != peers_.end()) found->second->send(std::move(send.message));
}

void CoreDriver::perform(LogLine& line) { log_->log(to_spdlog(line.level), "{}", line.text); }

// ---- replies -------------------------------------------------------------------------------------

io::Task<HttpReply> CoreDriver::submit(RequestHandler handler, Micros timeout) {
  const std::uint64_t number = next_request_++;
  PendingRequest& pending = *pending_.emplace(number, std::make_unique<PendingRequest>()).first->second;
  handle([&](Controller& core) { handler(core, number); });
  bool in_time = pending.reply.has_value();
  if (!in_time) in_time = co_await loop_.wait(pending.waiter, loop_.now() + timeout);
  HttpReply reply{503, "{}", 1, kJsonType};
  if (in_time && pending.reply) reply = std::move(*pending.reply);
  pending_.erase(number);
  co_return reply;
}

void CoreDriver::deliver_reply(std::uint64_t request, HttpReply reply) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) return;
  found->second->reply = std::move(reply);
  loop_.wake(found->second->waiter);
}

void CoreDriver::perform(AnswerUser& answer) {
  const UserReply& user_reply = answer.reply;
  deliver_reply(answer.request,
                {user_reply.status, wire::body_of(user_reply), user_reply.retry_after_s, kJsonType});
}

void CoreDriver::perform(AnswerHeartbeat& answer) {
  deliver_reply(answer.request, {answer.reply.status, wire::body_of(answer.reply), 0, kJsonType});
}

void CoreDriver::perform(AnswerAdmin& answer) {
  deliver_reply(answer.request, {answer.status, answer.body.dump(2), 0, kJsonType});
}

}  // namespace bendtide
