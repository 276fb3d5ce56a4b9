#include "stand.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include "wire/names.h"

extern char** environ;  // NOLINT

namespace review {

using bendtide::in_seconds;
using bendtide::lab::HttpCall;
using bendtide::lab::HttpReply;
using bendtide::lab::HttpServer;
using bendtide::lab::LinkProxy;

namespace {

constexpr int kInternal = 3;
constexpr int kState = 6;
constexpr int kStateLink = 9;
constexpr int kCloud = 12;
constexpr int kPeerLink = 13;
constexpr int kWorkerPort = 30;
constexpr int kPorts = 31;
constexpr double kFetchGbPerS = 10;
const std::string kJobPath = std::string(bendtide::wire::names::kJobsPath) + "/";

std::string job_of(const std::string& task) { return task.substr(0, task.find('/')); }

bool is_free(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return free;
}

json parse(const std::string& text) { return json::parse(text, nullptr, false); }

/// The controllers' processes, for the handler of SIGTERM.
std::array<pid_t, kControllers>* processes = nullptr;

void end_processes(int) {
  if (processes != nullptr)
    for (const pid_t pid : *processes)
      if (pid > 0) ::kill(pid, SIGKILL);
  ::_exit(kNotRun);
}

}  // namespace

// ---- worker --------------------------------------------------------------------------------------

Worker::Worker(Stand& stand, std::string name, std::string hull, std::string berth, std::string address)
    : stand_(stand),
      name_(std::move(name)),
      hull_(std::move(hull)),
      berth_(std::move(berth)),
      address_(std::move(address)),
      lease_from_(stand.now()),
      node_(static_cast<int>(stand.random(0, kControllers - 0.001))) {}

void Worker::start() {
  server_ = std::make_unique<HttpServer>(
      stand_.loop, address_, [this](bendtide::http::Message request) { return serve(std::move(request)); });
  stand_.loop.spawn(server_->run());
  stand_.loop.spawn(run_clock());
  stand_.loop.spawn(run_reports());
  stand_.record(name_ + ": up as " + hull_ + " in " + berth_ + " at " + address_);
}

void Worker::stop(const std::string& why) {
  if (stopped_) return;
  stand_.record(name_ + ": gone (" + why + ")");
  for (auto& [key, local] : tasks_)
    if (local.phase != "ended") end(key, local, "gone");
  tasks_.clear();
  stopped_ = true;
}

double Worker::free_cpus() const {
  double left = stand_.hull(hull_)->cpus;
  for (const auto& [key, local] : tasks_)
    if (local.phase != "ended") left -= stand_.jobs_.at(job_of(key.first)).body.at("cpus").get<double>();
  return left;
}

std::size_t Worker::active_tasks() const {
  std::size_t count = 0;
  for (const auto& [key, local] : tasks_) count += local.phase != "ended" ? 1 : 0;
  return count;
}

bool Worker::runs(const std::string& task) const {
  for (const auto& [key, local] : tasks_)
    if (key.first == task && local.phase == "running") return true;
  return false;
}

void Worker::finish_task(const std::string& task) {
  for (auto& [key, local] : tasks_)
    if (key.first == task && local.phase == "running") end(key, local, "done");
}

void Worker::begin_running(const Key& key, Local& local) {
  local.phase = "running";
  local.run = stand_.runs.size();
  stand_.runs.push_back({key.first, name_, stand_.now(), std::nullopt, ""});
  const double run_s = stand_.jobs_.at(job_of(key.first)).run_s;
  local.until = run_s < 0 ? Micros{0} : stand_.now() + seconds(run_s);
  stand_.record(key.first + " attempt " + std::to_string(key.second) + ": runs on " + name_);
  changed();
}

void Worker::end(const Key& key, Local& local, const std::string& cause) {
  if (local.phase == "running" || local.phase == "flushing") {
    stand_.runs[local.run].to = stand_.now();
    stand_.runs[local.run].end = cause;
    stand_.record(key.first + " attempt " + std::to_string(key.second) + ": off " + name_ + " (" + cause +
                  ")");
  }
  local.phase = "ended";
  local.cause = cause == "gone" ? "halted" : cause;
  local.until = Micros{0};
  changed();
}

void Worker::begin_session() {
  for (auto& [key, local] : tasks_)
    if (local.phase != "ended") end(key, local, "gone");
  tasks_.clear();
  ++watch_;
  lease_from_ = stand_.now();
  stand_.record(name_ + ": lease expired, session " + std::to_string(watch_));
  changed();
}

json Worker::report() {
  json tasks = json::array();
  for (const auto& [key, local] : tasks_) {
    json entry = {{"shard", key.first}, {"launch", key.second}, {"phase", local.phase}};
    if (local.phase == "ended") entry["cause"] = local.cause;
    if (local.phase == "ended" && local.saved) entry["saved"] = true;
    tasks.push_back(std::move(entry));
  }
  return {{"helm", name_},       {"address", address_}, {"hull", hull_},   {"berth", berth_},
          {"driftwood", spot},   {"watch", watch_},     {"tick", ++tick_}, {"baton", baton_},
          {"warningS", nullptr}, {"shards", tasks}};
}

Task<> Worker::run_clock() {
  while (!stopped_) {
    if (stand_.now() - lease_from_ > seconds(stand_.site_.lease_s)) begin_session();
    for (auto& [key, local] : tasks_) {
      if (local.phase == "ended" || local.until == Micros{0} || stand_.now() < local.until) continue;
      if (local.phase == "pulling") {
        begin_running(key, local);
      } else if (local.phase == "running") {
        end(key, local, "done");
      } else {
        local.saved = true;
        end(key, local, "halted");
      }
    }
    co_await stand_.sleep(0.02);
  }
}

Task<> Worker::run_reports() {
  while (!stopped_) {
    const Micros since = stand_.now() - last_report_at_;
    const bool due = stand_.now() >= next_report_at_ || (changed_ && since >= seconds(0.5) && pause_s_ == 0);
    if (!in_flight_ && due) stand_.loop.spawn(send_report());
    co_await stand_.sleep(0.02);
  }
}

Task<> Worker::send_report() {
  in_flight_ = true;
  changed_ = false;
  last_report_at_ = stand_.now();
  const Micros sent_at = stand_.now();
  const std::uint64_t session = watch_;
  const json body = report();
  if (on_report) on_report(body);
  HttpCall call{stand_.api(node_), "POST", "/checkin", body.dump(), seconds(4)};
  const auto result = co_await bendtide::lab::perform(stand_.loop, std::move(call));
  in_flight_ = false;
  if (stopped_) co_return;
  const Micros regular = sent_at + seconds(stand_.random(0.75, 1.25) * stand_.site_.report_s);
  if (result.status == 200 && !deaf) {
    pause_s_ = 0;
    next_report_at_ = regular;
    const json answer = parse(result.body);
    const std::uint64_t baton = answer.is_object() ? answer.value("baton", std::uint64_t{0}) : 0;
    if (session != watch_ || baton == 0 || baton < baton_) co_return;
    if (baton > baton_) {
      baton_ = baton;
      if (stand_.now() - token_change_reported_at_ >= seconds(stand_.site_.lease_s / 2)) {
        token_change_reported_at_ = stand_.now();
        changed();
      }
    }
    lease_from_ = std::max(lease_from_, sent_at);
    execute(answer.at("orders"), "answer");
    co_return;
  }
  const json answer = result.status == 421 && !deaf ? parse(result.body) : json();
  const std::string harbor = answer.is_object() ? answer.value("harbor", "") : "";
  for (int i = 0; i < kControllers; ++i)
    if (harbor == Stand::host(i) && i != node_) {
      node_ = i;
      next_report_at_ = stand_.now();
      pause_s_ = 0;
      co_return;
    }
  node_ = (node_ + 1) % kControllers;
  pause_s_ = 1;
  next_report_at_ = stand_.now() + seconds(1);
}

Task<HttpReply> Worker::serve(bendtide::http::Message request) {
  if (deaf || stopped_) {
    co_await stand_.sleep(6);
    co_return HttpReply{503, "{}"};
  }
  if (command_delay_s > 0) co_await stand_.sleep(command_delay_s);
  if (stopped_) co_return HttpReply{503, "{}"};
  if (request.target == "/status") co_return HttpReply{200, report().dump()};
  const json body = parse(request.body);
  if (!body.is_object() || !body.contains("baton") || !body.contains("watch"))
    co_return HttpReply{400, report().dump()};
  const auto baton = body.at("baton").get<std::uint64_t>();
  if (baton < baton_ || body.at("watch").get<std::uint64_t>() != watch_)
    co_return HttpReply{409, report().dump()};
  if (baton > baton_) {
    baton_ = baton;
    changed();
  }
  execute(body.value("orders", json::array()), "direct command");
  co_return HttpReply{200, report().dump()};
}

void Worker::execute(const json& orders, const char* channel) {
  for (const json& order : orders) {
    const Key key{order.at("shard").get<std::string>(), order.at("launch").get<std::uint64_t>()};
    const auto verb = order.at("verb").get<std::string>();
    stand_.record(key.first + " attempt " + std::to_string(key.second) + ": " + verb + " reaches " + name_ +
                  " by " + channel);
    if (verb == "run") run_command(key);
    if (verb == "kill") kill_command(key, order.value("windDownS", 0.0));
    if (verb == "clear")
      if (const auto found = tasks_.find(key); found != tasks_.end() && found->second.phase == "ended") {
        tasks_.erase(found);
        changed();
      }
  }
}

void Worker::run_command(const Key& key) {
  if (tasks_.contains(key)) return;
  const auto job = stand_.jobs_.find(job_of(key.first));
  std::string refusal;
  if (job == stand_.jobs_.end()) refusal = "unknown";
  for (const auto& [other, local] : tasks_)
    if (other.first == key.first && local.phase != "ended") refusal = "in_use";
  if (refusal.empty() && job->second.body.at("cpus").get<double>() > free_cpus() + 1e-6) refusal = "full";
  Local& local = tasks_[key];
  changed();
  if (!refusal.empty()) {
    local.phase = "ended";
    local.cause = refusal;
    return;
  }
  local.phase = "pulling";
  local.until = stand_.now() + seconds(job->second.body.at("pullGb").get<double>() / kFetchGbPerS);
}

void Worker::kill_command(const Key& key, double wind_down_s) {
  const auto found = tasks_.find(key);
  if (found == tasks_.end() || found->second.phase == "ended") return;
  Local& local = found->second;
  const json& job = stand_.jobs_.at(job_of(key.first)).body;
  const double stow_s = job.at("stowS").get<double>();
  if (local.phase == "running" && job.at("snapshotS").get<double>() > 0 && wind_down_s >= stow_s) {
    local.phase = "flushing";
    local.until = stand_.now() + seconds(stow_s);
    changed();
  } else if (local.phase != "flushing" || wind_down_s == 0) {
    end(key, local, "halted");
  }
}

// ---- set-up --------------------------------------------------------------------------------------

Stand::Stand(int argc, char** argv, Site site, std::vector<Hull> hulls)
    : site_(std::move(site)), hulls_(std::move(hulls)), random_(std::random_device{}()) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM TEMPORARY_FOLDER RECORD\n", argv[0]);
    std::exit(kNotRun);
  }
  program_ = argv[1];
  folder_ = argv[2];
  record_path_ = argv[3];
  const char* trouble = std::getenv("TROUBLE");
  trouble_ = trouble == nullptr || std::string(trouble) != "0";
  record_ = std::fopen(record_path_.c_str(), "w");
  if (record_ == nullptr || ::access(program_.c_str(), X_OK) != 0) {
    std::fprintf(stderr, "cannot write %s or run %s\n", record_path_.c_str(), program_.c_str());
    std::exit(kNotRun);
  }
  processes = &pids_;
  ::signal(SIGTERM, end_processes);
  ::signal(SIGINT, end_processes);
  started_at_ = loop.now();
  loop.on_error = [this](const std::string& what) { record("stand-in: " + what); };
  find_ports();
  record(trouble_ ? "with the disruption" : "without the disruption");

  bendtide::Settings limits;
  limits.store_requests_per_s = site_.state_rps;
  limits.store_writes_per_s = site_.state_write_rps;
  limits.store_transaction_writes = site_.txn_ops;
  limits.store_value_bytes = site_.value_kb * 1024;
  store_ = std::make_unique<bendtide::sim::SimulatedKeyValueStore>(limits);
  value_bytes_ = limits.store_value_bytes;
  txn_ops_ = limits.store_transaction_writes;
  for (int i = 0; i < kControllers; ++i) {
    servers_.push_back(std::make_unique<HttpServer>(
        loop, at(kState + i),
        [this, i](bendtide::http::Message request) { return serve_state(i, std::move(request)); }));
    state_links_.push_back(std::make_unique<LinkProxy>(loop, at(kStateLink + i), at(kState + i)));
    for (int to = 0; to < kControllers; ++to)
      if (to != i)
        peer_links_[{i, to}] =
            std::make_unique<LinkProxy>(loop, at(kPeerLink + i * kControllers + to), at(kInternal + to));
  }
  servers_.push_back(std::make_unique<HttpServer>(
      loop, at(kCloud), [this](bendtide::http::Message request) { return serve_cloud(std::move(request)); }));
  for (auto& server : servers_) loop.spawn(server->run());
  for (auto& link : state_links_) loop.spawn(link->run());
  for (auto& [ends, link] : peer_links_) loop.spawn(link->run());
  write_settings(site_, "first");
}

Stand::~Stand() {
  for (int i = 0; i < kControllers; ++i) kill_controller(i);
  processes = nullptr;
  if (record_ != nullptr) std::fclose(record_);
}

void Stand::find_ports() {
  for (int attempt = 0; attempt < 200; ++attempt) {
    base_port_ = 20000 + static_cast<int>(random(0, 300)) * 40;
    bool free = true;
    for (int i = 0; i < kPorts && free; ++i) free = is_free(base_port_ + i);
    if (free) return;
  }
  std::fprintf(stderr, "no free ports\n");
  std::exit(kNotRun);
}

double Stand::random(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void Stand::record(const std::string& line) {
  std::fprintf(record_, "%9.3f %s\n", now_s(), line.c_str());
  std::fflush(record_);
}

Task<> Stand::sleep(double s) { return loop.sleep(seconds(s)); }

int Stand::run(const std::function<Task<int>()>& scenario) {
  int verdict = kNotRun;
  const auto watch = [this, &verdict, &scenario]() -> Task<> {
    verdict = co_await scenario();
    loop.stop();
  };
  const auto limit = [this]() -> Task<> {
    co_await sleep(117);
    record("the time of the script is over");
    loop.stop();
  };
  loop.spawn(watch());
  loop.spawn(limit());
  loop.run();
  record("verdict " + std::to_string(verdict) +
         (verdict == kHeld     ? " (held)"
          : verdict == kBroken ? " (broken)"
                               : " (could not run)"));
  return verdict;
}

// ---- controllers -----------------------------------------------------------------------------------

void Stand::write_settings(const Site& site, const std::string& name) {
  for (int i = 0; i < kControllers; ++i) {
    std::ofstream out(folder_ + "/" + name + "-" + host(i) + ".toml");
    out << "host_name = \"" << host(i) << "\"\ndomain = \""
        << site.controller_zones.at(static_cast<std::size_t>(i)) << "\"\napi_addr = \"" << api(i)
        << "\"\ninternal_addr = \"" << at(kInternal + i) << "\"\n";
    for (int peer = 0; peer < kControllers; ++peer)
      if (peer != i)
        out << "[[known]]\nhost_name = \"" << host(peer) << "\"\ndomain = \""
            << site.controller_zones.at(static_cast<std::size_t>(peer)) << "\"\nendpoint = \""
            << at(kPeerLink + i * kControllers + peer) << "\"\n";
    out << "[external]\ncloud = \"" << at(kCloud) << "\"\nstate = \"" << at(kStateLink + i)
        << "\"\n[settings]\nsize = " << kControllers << "\nclock_error_ms = 250.0\nzones = [";
    for (std::size_t z = 0; z < site.zones.size(); ++z)
      out << (z > 0 ? ", " : "") << "\"" << site.zones[z] << "\"";
    out << "]\n";
    for (const Team& team : site.teams)
      out << "[[settings.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus
          << "\ncpus_max = " << team.cpus_max << "\ngpus = 0.0\ngpus_max = 0.0\n";
    out << "[settings.workers]\nreport_s = " << site.report_s << "\nlease_s = " << site.lease_s
        << "\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = " << site.cancel_s
        << "\n[settings.state]\nrps = " << site.state_rps << "\nwrite_rps = " << site.state_write_rps
        << "\nvalue_kb = " << site.value_kb << "\ntxn_ops = " << site.txn_ops
        << "\n[settings.cloud]\nrps = " << site.cloud_rps << "\nlist_lag_s = " << site.list_lag_s
        << "\n[settings.machine_limits]\ncores = 0.2\nmemory_mb = 72.0\nsockets = " << site.sockets << "\n"
        << site.more_settings;
  }
}

void Stand::start_controller(int i, const std::string& name) {
  const std::string settings = folder_ + "/" + name + "-" + host(i) + ".toml";
  const std::string log = folder_ + "/" + host(i) + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string option = "--config";
  std::string path = settings;
  std::string program = program_;
  char* arguments[] = {program.data(), option.data(), path.data(), nullptr};
  const int error = posix_spawn(&pids_[static_cast<std::size_t>(i)], program_.c_str(), &actions, nullptr,
                                arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pids_[static_cast<std::size_t>(i)] = 0;
    record(host(i) + ": cannot be started");
  } else {
    record(host(i) + ": started with the settings '" + name + "'");
  }
}

void Stand::kill_controller(int i) {
  pid_t& pid = pids_[static_cast<std::size_t>(i)];
  if (pid <= 0) return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  pid = 0;
  record(host(i) + ": killed");
}

void Stand::signal_controller(int i, int signal) {
  ::kill(pids_[static_cast<std::size_t>(i)], signal);
  record(host(i) + ": signal " + std::to_string(signal));
}

bool Stand::controller_runs(int i) {
  pid_t& pid = pids_[static_cast<std::size_t>(i)];
  if (pid <= 0) return false;
  if (::waitpid(pid, nullptr, WNOHANG) != pid) return true;
  pid = 0;
  record(host(i) + ": ended by itself");
  return false;
}

Task<bool> Stand::wait_healthy(double limit_s) {
  const Micros end = now() + seconds(limit_s);
  while (now() < end) {
    int healthy = 0;
    for (int i = 0; i < kControllers; ++i) {
      HttpCall call{api(i), "GET", "/healthz", "", seconds(1)};
      const auto result = co_await bendtide::lab::perform(loop, std::move(call));
      healthy += result.status == 200 ? 1 : 0;
    }
    if (healthy == kControllers) {
      record("all controllers are healthy");
      co_return true;
    }
    co_await sleep(0.2);
  }
  record("the controllers are not healthy in time");
  co_return false;
}

// ---- state service ---------------------------------------------------------------------------------

void Stand::set_state_limits(std::size_t value_kb, std::size_t txn_ops, double write_rps) {
  value_bytes_ = value_kb * 1024;
  txn_ops_ = txn_ops;
  lower_writes_ = std::make_unique<bendtide::TokenBucket>(write_rps, write_rps);
  record("state service: its limits are " + std::to_string(value_kb) + " KiB a value, " +
         std::to_string(txn_ops) + " changes a transaction and " + std::to_string(write_rps) +
         " changes a second from now on");
}

void Stand::cut_from_state(int i, bool on) {
  LinkProxy& link = *state_links_.at(static_cast<std::size_t>(i));
  link.to_server.held = on;
  link.to_client.held = on;
  record(host(i) + (on ? ": cut from" : ": reaches") + std::string(" the state service"));
}

void Stand::cut_from_peers(int i, bool on) {
  for (auto& [ends, link] : peer_links_) {
    if (ends.first != i && ends.second != i) continue;
    link->to_server.held = on;
    link->to_client.held = on;
  }
  record(host(i) + (on ? ": cut from" : ": reaches") + std::string(" the other controllers"));
}

Task<HttpReply> Stand::serve_state(int controller, bendtide::http::Message request) {
  co_await sleep(random(0.002, 0.008));
  if (state_fault) {
    const int status = state_fault(controller, request.target, request.body);
    if (status != 0) co_return HttpReply{status, "{}"};
  }
  if (request.target == "/multi") {
    const json body = parse(request.body);
    if (!body.is_object()) co_return HttpReply{400, R"({"error":"not JSON"})"};
    const json writes = body.value("writes", json::array());
    std::size_t largest = 0;
    for (const json& write : writes)
      if (write.contains("put")) largest = std::max(largest, write.at("v").dump().size());
    const bool too_large = writes.size() > txn_ops_ || largest > value_bytes_ ||
                           body.value("when", json::array()).size() > 4 * txn_ops_ ||
                           request.body.size() > 64 * 1024;
    if (too_large) {
      std::string keys;
      for (const json& write : writes) keys += " " + write.value("put", write.value("remove", ""));
      const int times = ++refused_transactions_[keys];
      if (times <= 3 || times % 20 == 0)
        record("state service: 400 to " + host(controller) + " for a transaction of " +
               std::to_string(writes.size()) + " changes, largest value " + std::to_string(largest) +
               " bytes (time " + std::to_string(times) + "):" + keys);
      co_return HttpReply{400, R"({"error":"too large"})"};
    }
    if (lower_writes_ && !lower_writes_->try_take(now(), static_cast<double>(writes.size())))
      co_return HttpReply{429, "{}"};
  }
  if (request.target == "/multi" && late_write && late_write(controller, request.body)) {
    const std::size_t number = late_writes.size();
    late_writes.push_back({controller, request.body, now(), false});
    record("state service: transaction " + std::to_string(number) + " of " + host(controller) +
           " gets no answer: " + request.body);
    while (!late_writes[number].carried_out) co_await sleep(0.1);
    co_return HttpReply{503, "{}"};  // its sender has given up
  }
  const bool lost = request.target == "/multi" && lost_answer && lost_answer(controller, request.body);
  const bendtide::wire::HttpRequest call{request.method, request.target, request.body};
  const auto response = store_->handle(call, now());
  if (lost) {
    record("state service: a transaction of " + host(controller) +
           " is carried out and its answer is lost: " + request.body + " -> " +
           std::to_string(response.status) + " " + response.body);
    co_await sleep(4);  // its sender gives up
  }
  if (state_done) state_done(controller, request.target, request.body, response.status);
  co_return HttpReply{response.status, response.body};
}

void Stand::carry_out(std::size_t number) {
  LateWrite& write = late_writes.at(number);
  if (write.carried_out) return;
  write.carried_out = true;
  const auto response = store_->handle({"POST", "/multi", write.body}, now());
  record("state service: transaction " + std::to_string(number) + " of " + host(write.controller) +
         " is carried out " + std::to_string(in_seconds(now() - write.sent_at)) +
         " s late: " + std::to_string(response.status) + " " + response.body);
}

// ---- cloud -----------------------------------------------------------------------------------------

const Hull* Stand::hull(const std::string& label) const {
  for (const Hull& hull : hulls_)
    if (hull.label == label) return &hull;
  return nullptr;
}

std::string Stand::rent(const std::string& hull, const std::string& berth, bool spot) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", next_helm_);
  const std::string address = "127.1." + std::to_string(next_helm_ / 250) + "." +
                              std::to_string(next_helm_ % 250 + 1) + ":" + std::to_string(port(kWorkerPort));
  ++next_helm_;
  helms_[name] = {hull, berth, address, spot, now(), false};
  return name;
}

Worker& Stand::add_machine(const std::string& hull, const std::string& berth) {
  const std::string name = rent(hull, berth, false);
  Helm& helm = helms_.at(name);
  helm.up = true;
  auto& worker = workers_[name];
  worker = std::make_unique<Worker>(*this, name, hull, berth, helm.address);
  worker->start();
  return *worker;
}

Task<> Stand::boot(std::string name, double boot_s) {
  co_await sleep(boot_s);
  const auto found = helms_.find(name);
  if (found == helms_.end()) co_return;
  found->second.up = true;
  auto& worker = workers_[name];
  worker =
      std::make_unique<Worker>(*this, name, found->second.hull, found->second.berth, found->second.address);
  worker->spot = found->second.spot;
  worker->start();
}

Task<HttpReply> Stand::serve_cloud(bendtide::http::Message request) {
  co_await sleep(0.05);
  if (request.target == "/catalog") {
    json hulls = json::array();
    for (const Hull& hull : hulls_)
      hulls.push_back({{"label", hull.label},
                       {"cpus", hull.cpus},
                       {"cards", 0},
                       {"memGb", hull.mem_gb},
                       {"cacheGb", 70},
                       {"fetchGbPerS", kFetchGbPerS},
                       {"hourly", hull.hourly},
                       {"marketPrice", hull.hourly / 4},
                       {"readyS", hull.ready_s},
                       {"berths", hull.berths}});
    co_return HttpReply{200, json{{"hulls", hulls}}.dump()};
  }
  if (request.method == "POST" && request.target == "/machines") {
    const json body = parse(request.body);
    const auto charter = body.at("charter").get<std::string>();
    if (const auto earlier = charters_.find(charter); earlier != charters_.end())
      co_return HttpReply{200, earlier->second};
    const auto label = body.at("hull").get<std::string>();
    const Hull* type = hull(label);
    if (type == nullptr) co_return HttpReply{400, R"({"error":"malformed"})"};
    const bool spot = body.at("driftwood").get<bool>();
    json names = json::array();
    for (int i = 0; i < body.at("howMany").get<int>(); ++i) {
      int existing = 0;
      for (const auto& [name, helm] : helms_) existing += helm.hull == label && helm.spot == spot ? 1 : 0;
      if (existing >= (spot ? type->spot_capacity : type->capacity)) break;
      const std::string name = rent(label, body.at("berth").get<std::string>(), spot);
      names.push_back(name);
      loop.spawn(boot(name, type->boot_s));
    }
    record("cloud: " + request.body + " -> " + std::to_string(names.size()) + " machines");
    if (names.empty()) {
      ++refused_rentals;
      co_return HttpReply{503, R"({"error":"no capacity"})"};
    }
    charters_[charter] = json{{"helms", names}}.dump();
    co_return HttpReply{200, charters_[charter]};
  }
  if (request.target == "/machines/delete") {
    const json body = parse(request.body);
    record("cloud: deletes " + body.at("helms").dump());
    for (const json& entry : body.at("helms")) {
      const auto name = entry.get<std::string>();
      helms_.erase(name);
      const auto found = workers_.find(name);
      if (found == workers_.end()) continue;
      found->second->stop("deleted");
      gone_.push_back(std::move(found->second));
      workers_.erase(found);
    }
    co_return HttpReply{200, "{}"};
  }
  // GET /machines: a list as old as `list_lag_s`; machines that are younger are missing.
  std::string from;
  if (const auto begin = request.target.find("from="); begin != std::string::npos)
    from = request.target.substr(begin + 5, request.target.find('&', begin) - begin - 5);
  json rows = json::array();
  for (const auto& [name, helm] : helms_) {
    const Micros age = now() - helm.rented_at - seconds(site_.list_lag_s);
    if (age < Micros{0} || name <= from) continue;
    rows.push_back({{"uid", name},
                    {"address", helm.address},
                    {"hull", helm.hull},
                    {"berth", helm.berth},
                    {"driftwood", helm.spot},
                    {"phase", helm.up ? "running" : "starting"},
                    {"ageS", in_seconds(age)}});
  }
  co_return HttpReply{200, json{{"helms", rows}, {"more", false}}.dump()};
}

Worker* Stand::worker_of(const std::string& task) {
  for (auto& [name, worker] : workers_)
    if (worker->runs(task)) return worker.get();
  return nullptr;
}

void Stand::finish_task(const std::string& task) {
  if (Worker* worker = worker_of(task)) worker->finish_task(task);
}

// ---- jobs and users --------------------------------------------------------------------------------

std::size_t Stand::running(const std::string& uid) const {
  std::size_t count = 0;
  for (const Run& run : runs) count += job_of(run.task) == uid && !run.to ? 1 : 0;
  return count;
}

std::size_t Stand::completed(const std::string& uid) const {
  std::map<std::string, bool> done;
  for (const Run& run : runs)
    if (job_of(run.task) == uid && run.end == "done") done[run.task] = true;
  return done.size();
}

double Stand::usage(const std::string& team) const {
  double cpus = 0;
  for (const Run& run : runs) {
    const json& body = jobs_.at(job_of(run.task)).body;
    if (!run.to && body.at("crew") == team) cpus += body.at("cpus").get<double>();
  }
  return cpus;
}

json Stand::job_body(const std::string& uid, const std::string& shape, const std::string& team, int tasks,
                     double cpus) {
  const bool service = shape == "daemon";
  return {{"uid", uid},
          {"jobclass", service ? "query-front" : "record-recompute"},
          {"crew", team},
          {"shape", shape},
          {"rank", service ? "prod" : "normal"},
          {"shards", tasks},
          {"cpus", cpus},
          {"cards", 0.0},
          {"memGb", 4.0},
          {"payload", service ? "img-01" : "img-02"},
          {"pullGb", 1.5},
          {"hulls", nullptr},
          {"berth", nullptr},
          {"oneZone", false},
          {"apart", false},
          {"driftwood", false},
          {"expectS", service ? 0.0 : 50.0},
          {"snapshotS", 0.0},
          {"stowS", 0.0},
          {"dueS", service ? json() : json(300.0)}};
}

Task<Answer> Stand::call(int controller, std::string method, std::string target, std::string body,
                         double limit_s) {
  HttpCall call{api(controller), method, target, body, seconds(limit_s)};
  const auto result = co_await bendtide::lab::perform(loop, std::move(call));
  Answer answer{result.status, parse(result.body)};
  record(method + " " + target + " at " + host(controller) + " -> " + std::to_string(result.status) + " " +
         result.body);
  co_return answer;
}

Task<bool> Stand::submit(std::string uid, int controller) {
  JobState& state = jobs_.at(uid);
  const Micros end = now() + seconds(60);
  while (now() < end) {
    const Answer answer = co_await call(controller, "POST", "/work", state.body.dump(), 5);
    if (answer.status == 200 || answer.status == 201) {
      state.accepted = true;
      state.accepted_at = now();
      state.phase = answer.phase();
      co_return true;
    }
    if (answer.status == 400 || answer.status == 422) co_return false;
    co_await sleep(1.5);
  }
  co_return false;
}

Task<Answer> Stand::poll(std::string uid, int controller) {
  const Answer answer = co_await call(controller, "GET", kJobPath + uid, "", 2);
  JobState& state = jobs_.at(uid);
  if (answer.status == 200) {
    state.phase = answer.phase();
    if (state.phase == "done" && !state.done) state.done = now();
  }
  co_return answer;
}

Task<Answer> Stand::cancel_once(std::string uid, int controller) {
  const Answer answer = co_await call(controller, "POST", kJobPath + uid + "/cancel", "{}", 5);
  JobState& state = jobs_.at(uid);
  if (answer.status == 200 && answer.phase() == "cancelled" && !state.cancelled) state.cancelled = now();
  if (answer.status == 200 && answer.phase() == "done" && !state.done) state.done = now();
  co_return answer;
}

Task<bool> Stand::cancel(std::string uid, int controller, double limit_s) {
  const Micros end = now() + seconds(limit_s);
  while (now() < end) {
    const Answer answer = co_await cancel_once(uid, controller);
    if (answer.status == 200) co_return true;
    controller = (controller + 1) % kControllers;
    co_await sleep(1.2);
  }
  co_return false;
}

Task<bool> Stand::wait_for(std::function<bool()> condition, double limit_s) {
  const Micros end = now() + seconds(limit_s);
  while (now() < end) {
    if (condition()) co_return true;
    co_await sleep(0.05);
  }
  co_return condition();
}

}  // namespace review
