#include "app/daemon.h"

#include <spdlog/spdlog.h>

#include <random>

#include "wire/cloud_protocol.h"
#include "wire/names.h"
#include "wire/store_protocol.h"
#include "wire/user_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide {

namespace {

constexpr Micros kTick = millis(50);
constexpr Micros kIdle = seconds(60);           ///< how long a connection may say nothing
constexpr Micros kAnswerWithin = millis(4500);  ///< users and workers wait hardly longer
constexpr Micros kPollWithin = millis(1900);    ///< users wait 2 s for the state of a job
constexpr Micros kWriteWithin = seconds(5);
constexpr Micros kStateWithin = seconds(1);
constexpr Micros kCloudWithin = seconds(5);
constexpr Micros kOrdersWithin = millis(1500);
constexpr char kJson[] = "application/json";
constexpr std::size_t kStateBody = 1024 * 1024;
constexpr std::size_t kCloudBody = 512 * 1024;
constexpr std::size_t kWorkerBody = 512 * 1024;

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::string incarnation() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_number()));
  return text;
}

Micros wall_clock() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

Daemon::Daemon(const Settings& settings, std::shared_ptr<spdlog::logger> log)
    : settings_(settings),
      log_(std::move(log)),
      core_(settings, incarnation(), random_number()),
      state_(loop_, settings.store_address, 8, kStateBody),
      cloud_(loop_, settings.cloud_address, 2, kCloudBody) {
  core_.write_debug_lines(log_->should_log(spdlog::level::debug));
  loop_.on_error = [this](const std::string& what) { log_->error("a task ended: {}", what); };
  for (const Peer& peer : settings_.peers)
    peers_.emplace(peer.host, std::make_unique<PeerLink>(loop_, settings_.host, peer.endpoint));
}

void Daemon::run() {
  log_->info("{} starts in zone {} with {} peers", settings_.host, settings_.zone, settings_.peers.size());
  std::string ignored;
  for (const std::string& kind : settings_.ignored_objectives) ignored += " " + kind;
  if (!ignored.empty()) log_->info("objectives without effect, by kind:{}", ignored);
  loop_.spawn(accept_users());
  loop_.spawn(accept_internal());
  for (auto& [host, link] : peers_) loop_.spawn(link->run());
  loop_.spawn(tick());
  loop_.run();
}

// ---- the core ------------------------------------------------------------------------------------

void Daemon::enter() { core_.at(loop_.now(), wall_clock()); }

void Daemon::leave() {
  for (Action& action : core_.take_actions(loop_.now())) perform(std::move(action));
}

io::Task<> Daemon::tick() {
  for (;;) {
    enter();
    core_.tick();
    leave();
    co_await loop_.sleep(kTick);
  }
}

void Daemon::perform(Action action) {
  struct Visitor {
    Daemon& d;
    void operator()(StoreCall& a) {
      d.loop_.spawn(d.call_service<StoreResponse>(
          d.state_, std::move(a.request), kStateWithin, Metrics::Kind::state, wire::parse_store_response,
          [&core = d.core_, call = a.call](const StoreResponse& answer) {
            core.on_store_response(call, answer);
          }));
    }
    void operator()(CloudCall& a) {
      d.loop_.spawn(d.call_service<CloudResponse>(
          d.cloud_, std::move(a.request), kCloudWithin, Metrics::Kind::cloud, wire::parse_cloud_response,
          [&core = d.core_, call = a.call](const CloudResponse& answer) {
            core.on_cloud_response(call, answer);
          }));
    }
    void operator()(WorkerCall& a) { d.loop_.spawn(d.call_worker(a.call, std::move(a.request))); }
    void operator()(PeerSend& a) {
      if (auto it = d.peers_.find(a.host); it != d.peers_.end()) it->second->send(std::move(a.message));
    }
    void operator()(AnswerUser& a) {
      d.reply(a.request, {a.reply.status, wire::body_of(a.reply), a.reply.retry_after_s, kJson});
    }
    void operator()(AnswerHeartbeat& a) {
      d.reply(a.request, {a.reply.status, wire::body_of(a.reply), 0, kJson});
    }
    void operator()(AnswerAdmin& a) { d.reply(a.request, {a.status, a.body.dump(2), 0, kJson}); }
    void operator()(LogLine& a) {
      const auto level = a.level == LogLevel::error  ? spdlog::level::err
                         : a.level == LogLevel::info ? spdlog::level::info
                                                     : spdlog::level::debug;
      d.log_->log(level, "{}", a.text);
    }
  };
  std::visit(Visitor{*this}, action);
}

/// What becomes of a call: surely not sent, answered, or neither.
template <class Answer, class Read>
static Answer answer_of(const io::HttpClient::Result& result, Read&& read) {
  Answer answer;
  if (!result.sent)
    answer.outcome = Answer::Outcome::refused;
  else if (result.status != 0)
    answer = read(result.status, result.body);
  return answer;
}

template <class Answer, class Request, class Read, class Done>
io::Task<> Daemon::call_service(io::HttpClient& client, Request request, Micros within, Metrics::Kind kind,
                                Read read, Done done) {
  const Micros began = loop_.now();
  wire::HttpRequest http = wire::request_of(request);
  auto result =
      co_await client.call(std::move(http.method), std::move(http.target), std::move(http.body), within);
  const auto answer = answer_of<Answer>(
      result, [&](int status, const std::string& body) { return read(request, status, body); });
  metrics_.observe(kind, loop_.now() - began, result.status != 0 && result.status < 500);
  enter();
  done(answer);
  leave();
}

io::Task<> Daemon::call_worker(std::uint64_t call, CommandRequest request) {
  wire::HttpRequest http = wire::request_of(request);
  const Micros began = loop_.now();
  io::HttpClient client(loop_, request.address, 0, kWorkerBody);
  auto result = co_await client.call(std::move(http.method), std::move(http.target), std::move(http.body),
                                     kOrdersWithin);
  const auto answer = answer_of<CommandResponse>(result, wire::parse_command_response);
  metrics_.observe(Metrics::Kind::orders, loop_.now() - began,
                   answer.outcome == CommandResponse::Outcome::executed);
  enter();
  core_.on_command_response(call, answer);
  leave();
}

// Callers name the event before they await: GCC 12 destroys temporaries of a co_await expression twice.
io::Task<Daemon::Reply> Daemon::ask(Event event, Micros within) {
  const std::uint64_t id = next_request_++;
  Pending& pending = *pending_.emplace(id, std::make_unique<Pending>()).first->second;
  pending.reply.status = 0;
  enter();
  event(id);
  leave();
  if (pending.reply.status == 0 && !co_await loop_.wait(pending.waiter, loop_.now() + within))
    pending.reply = {503, "{}", 1, kJson};
  Reply reply = std::move(pending.reply);
  pending_.erase(id);
  co_return reply;
}

void Daemon::reply(std::uint64_t request, Reply reply) {
  auto it = pending_.find(request);
  if (it == pending_.end()) return;
  it->second->reply = std::move(reply);
  loop_.wake(it->second->waiter);
}

// ---- users and workers ---------------------------------------------------------------------------

io::Task<> Daemon::accept_users() {
  io::Socket listener = io::Socket::listen(loop_, settings_.api_address, settings_.sockets);
  // The rest of the sockets is for the services we call, the peers and pushed commands.
  const std::size_t most = settings_.sockets * 3 / 4;
  for (;;) {
    io::Socket socket = co_await listener.accept();
    if (connections_ >= most) {
      // Health checks, workers and users that have something to say come before connections that say nothing.
      if (idle_.empty()) continue;
      idle_.front()->stop_reading();
      idle_.splice(idle_.end(), idle_, idle_.begin());  // it takes itself out once it is resumed
    }
    loop_.spawn(serve_users(std::move(socket)));
  }
}

io::Task<> Daemon::serve_users(io::Socket socket) {
  ++connections_;
  co_await serve_http(std::move(socket), {}, false);
  --connections_;
}

io::Task<> Daemon::serve_http(io::Socket socket, std::string buffer, bool admin) {
  const http::Limits limits;
  for (;;) {
    http::Parse parsed = http::parse(buffer, http::Kind::request, limits);
    if (parsed.state == http::Parse::State::incomplete) {
      const bool idle = buffer.empty() && !admin;
      if (buffer.empty()) buffer.shrink_to_fit();
      const auto place = idle ? idle_.insert(idle_.end(), &socket) : idle_.end();
      const bool more = co_await socket.read(buffer, loop_.now() + kIdle);
      if (idle) idle_.erase(place);
      if (!more) co_return;
      continue;
    }
    if (parsed.state == http::Parse::State::malformed) {
      co_await socket.write(http::write_response(parsed.status, "{\"error\":\"malformed HTTP\"}", false),
                            loop_.now() + kWriteWithin);
      co_return;
    }
    buffer.erase(0, parsed.consumed);
    const Micros began = loop_.now();
    Reply reply;
    if (admin) {
      reply = co_await answer_admin(parsed.message);
    } else {
      reply = co_await answer_user(parsed.message);
      const bool worker = parsed.message.target == wire::names::kHeartbeatPath;
      metrics_.observe(worker ? Metrics::Kind::worker : Metrics::Kind::user, loop_.now() - began,
                       reply.status < 500);
    }
    const bool keep = parsed.message.keep_alive;
    if (!co_await socket.write(
            http::write_response(reply.status, reply.body, keep, reply.retry_after_s, reply.type),
            loop_.now() + kWriteWithin) ||
        !keep)
      co_return;
  }
}

io::Task<Daemon::Reply> Daemon::answer_user(const http::Message& request) {
  using namespace wire::names;
  auto error = [](int status, const std::string& why) {
    UserReply reply;
    reply.status = status;
    reply.error = why;
    return Reply{status, wire::body_of(reply), 0, kJson};
  };
  const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
  const bool get = request.method == "GET", post = request.method == "POST";

  if (path == kHealthPath) {
    if (!get) co_return error(405, "GET only");
    enter();
    const bool healthy = core_.healthy();
    leave();
    if (healthy) co_return Reply{200, "{}", 0, kJson};
    co_return Reply{503, "{}", 1, kJson};
  }
  if (path == kHeartbeatPath) {
    if (!post) co_return error(405, "POST only");
    auto heartbeat = wire::parse_heartbeat(request.body);
    if (auto* why = std::get_if<wire::FieldError>(&heartbeat)) co_return error(400, why->text());
    Event event = [&](std::uint64_t id) { core_.on_heartbeat(id, std::get<Heartbeat>(heartbeat)); };
    co_return co_await ask(std::move(event), kAnswerWithin);
  }
  if (path == kJobsPath) {
    if (!post) co_return error(405, "POST only");
    auto spec = wire::parse_job_spec(request.body);
    const auto* why = std::get_if<wire::FieldError>(&spec);
    const std::string known = why == nullptr ? "" : wire::find_job_id(request.body);
    if (why != nullptr && known.empty()) co_return error(400, why->text());
    Event event = [&](std::uint64_t id) {
      why == nullptr ? core_.on_submit(id, std::get<JobSpec>(spec))
                     : core_.on_malformed(id, known, why->text());
    };
    co_return co_await ask(std::move(event), kAnswerWithin);
  }
  if (path.starts_with(std::string(kJobsPath) + "/")) {
    std::string_view rest = path.substr(sizeof kJobsPath);
    const bool cancel = rest.ends_with(kCancelSuffix);
    if (cancel) rest.remove_suffix(sizeof kCancelSuffix - 1);
    const std::string id(rest);
    if (!wire::is_job_id(id)) co_return error(404, "no such job");
    if (cancel ? !post : !get) co_return error(405, cancel ? "POST only" : "GET only");
    Event event = [&](std::uint64_t request_id) {
      cancel ? core_.on_cancel(request_id, id) : core_.on_poll(request_id, id);
    };
    co_return co_await ask(std::move(event), cancel ? kAnswerWithin : kPollWithin);
  }
  co_return error(404, "no such resource");
}

// ---- other controllers and operators -------------------------------------------------------------

io::Task<> Daemon::accept_internal() {
  io::Socket listener = io::Socket::listen(loop_, settings_.internal_address, 64);
  for (;;) {
    io::Socket socket = co_await listener.accept();
    if (connections_ < settings_.sockets * 7 / 8) loop_.spawn(serve_internal(std::move(socket)));
  }
}

io::Task<> Daemon::serve_internal(io::Socket socket) {
  ++connections_;
  std::string buffer;
  if (co_await socket.read(buffer, loop_.now() + kIdle)) {
    if (static_cast<unsigned char>(buffer.front()) == codec::kMagic)
      co_await serve_peer(std::move(socket), std::move(buffer));
    else
      co_await serve_http(std::move(socket), std::move(buffer), true);
  }
  --connections_;
}

io::Task<> Daemon::serve_peer(io::Socket socket, std::string buffer) {
  for (;;) {
    codec::Decoded frame = codec::decode(buffer);
    if (frame.state == codec::Decoded::State::malformed) {
      log_->error("a controller's message can't be read; the connection is closed");
      co_return;
    }
    if (frame.state == codec::Decoded::State::incomplete) {
      // A link is silent while there is nothing to say; one that is gone for good ends here some day.
      if (!co_await socket.read(buffer, loop_.now() + seconds(600))) co_return;
      continue;
    }
    buffer.erase(0, frame.consumed);
    if (!peers_.contains(frame.envelope.sender)) continue;
    enter();
    core_.on_peer(frame.envelope.sender, frame.envelope.message);
    leave();
  }
}

io::Task<Daemon::Reply> Daemon::answer_admin(const http::Message& request) {
  using What = AdminRequest::What;
  auto error = [](int status, const std::string& why) {
    return Reply{status, Value{{"error", why}}.dump(), 0, kJson};
  };
  struct Row {
    const char* path;
    What what;
  };
  static constexpr Row entries[] = {{"/admin/settings", What::policy},
                                    {"/admin/parts", What::shards},
                                    {"/admin/machines", What::machines},
                                    {"/admin/jobs", What::jobs},
                                    {"/admin/negotiations", What::negotiations}};
  if (request.target == "/admin/metrics" && request.method == "GET") {
    metrics_.set_core(core_.invariants(), core_.state().answers_not_acted_on);
    co_return Reply{200, metrics_.text(), 0, "text/plain; version=0.0.4"};
  }
  for (const Row& entry : entries) {
    if (request.target != entry.path) continue;
    AdminRequest asked{entry.what, {}};
    if (entry.what == What::policy && request.method == "PATCH") {
      asked = {What::change_policy, Value::parse(request.body, nullptr, false)};
      if (asked.body.is_discarded()) co_return error(400, "body: not JSON");
    } else if (request.method != "GET") {
      co_return error(405, entry.what == What::policy ? "GET or PATCH only" : "GET only");
    }
    Event event = [&](std::uint64_t id) { core_.on_admin(id, asked); };
    co_return co_await ask(std::move(event), kAnswerWithin);
  }
  co_return error(404, "no such resource");
}

}  // namespace bendtide
