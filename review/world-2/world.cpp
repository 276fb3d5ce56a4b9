#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <thread>

namespace world {

namespace {

const std::chrono::steady_clock::time_point kStart = std::chrono::steady_clock::now();

const std::string kJobs = "/work";  ///< the path of submissions; a job's own path follows
constexpr double kIdleConnectionS = 300;
constexpr double kWorkerTimeoutS = 4;
constexpr double kDeadListedRunningS = 30;

using Lock = std::lock_guard<std::recursive_mutex>;

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Binds a listening socket to a free port below the range from which the system takes ports of its own.
int listen_on_free_port(int& port) {
  static std::mt19937 random{std::random_device{}()};
  static std::mutex mutex;
  static std::set<int> taken;  // also the ports of controllers, which listen there only later
  const std::lock_guard<std::mutex> lock(mutex);
  for (int attempt = 0; attempt < 2000; ++attempt) {
    port = std::uniform_int_distribution<int>(11'000, 31'000)(random);
    if (taken.contains(port)) continue;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::listen(fd, 512) == 0) {
      taken.insert(port);
      return fd;
    }
    ::close(fd);
  }
  throw std::runtime_error("no free port");
}

int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

int connect_to(int port, double timeout_s) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = errno;
    if (error == EINPROGRESS && ::poll(&wait, 1, static_cast<int>(timeout_s * 1000)) == 1) {
      socklen_t size = sizeof error;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Appends what arrives before `until`; false at the end of the connection or if nothing arrives.
bool receive(int fd, std::string& buffer, double until) {
  pollfd wait{fd, POLLIN, 0};
  const double left = until - now();
  if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) != 1) return false;
  char bytes[16384];
  const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
  if (n <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(n));
  return true;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Splits one message off the front of a buffer: its first line, whether the connection closes, and its body.
struct Message {
  std::string first_line;
  std::string body;
  bool close = false;
};
std::optional<Message> take_message(std::string& buffer) {
  const auto head_end = buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  const std::string head = buffer.substr(0, head_end);
  const std::string lowered = lower(head);
  std::size_t length = 0;
  if (const auto at = lowered.find("\r\ncontent-length:"); at != std::string::npos)
    length = std::strtoul(lowered.c_str() + at + 17, nullptr, 10);
  if (buffer.size() < head_end + 4 + length) return std::nullopt;
  Message message;
  message.first_line = head.substr(0, head.find("\r\n"));
  message.close = lowered.find("\r\nconnection: close") != std::string::npos;
  message.body = buffer.substr(head_end + 4, length);
  buffer.erase(0, head_end + 4 + length);
  return message;
}

std::string parameter(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  std::size_t begin = query == std::string::npos ? target.size() : query + 1;
  while (begin < target.size()) {
    const auto end = std::min(target.find('&', begin), target.size());
    const std::string pair = target.substr(begin, end - begin);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string value;
      const std::string raw = pair.substr(name.size() + 1);
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
          value += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += raw[i];
        }
      }
      return value;
    }
    begin = end + 1;
  }
  return {};
}

Response reply(int status, const json& body) { return {status, body.dump()}; }

std::string job_of(const std::string& task) { return task.substr(0, task.find('/')); }

}  // namespace

double now() { return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count(); }

void sleep_s(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

// ---- HTTP ---------------------------------------------------------------------------------------------

Response http_call(int port, const Request& request, double timeout_s) {
  const double until = now() + timeout_s;
  const int fd = connect_to(port, timeout_s);
  if (fd < 0) return {};
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  if (!request.body.empty() || request.method != "GET")
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "Connection: close\r\n\r\n" + request.body;
  Response response;
  std::string buffer;
  if (send_all(fd, text)) {
    for (;;) {
      if (const auto message = take_message(buffer)) {
        response.status = std::atoi(message->first_line.substr(9, 3).c_str());
        response.body = message->body;
        break;
      }
      if (!receive(fd, buffer, until)) break;
    }
  }
  ::close(fd);
  return response;
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  fd_ = listen_on_free_port(port_);
  std::thread([this] { accept_connections(); }).detach();
}

void Server::accept_connections() const {
  for (;;) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([this, fd] { serve(fd); }).detach();
  }
}

void Server::serve(int fd) const {
  std::string buffer;
  for (;;) {
    const auto message = take_message(buffer);
    if (!message) {
      if (!receive(fd, buffer, now() + kIdleConnectionS)) break;
      continue;
    }
    Request request;
    const auto first = message->first_line.find(' ');
    const auto second = message->first_line.find(' ', first + 1);
    request.method = message->first_line.substr(0, first);
    request.target = message->first_line.substr(first + 1, second - first - 1);
    request.body = message->body;
    const Response response = handler_(request);
    if (response.status == 0) break;
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!send_all(fd, text) || message->close) break;
  }
  ::close(fd);
}

Link::Link(int target) : target_(target) {
  fd_ = listen_on_free_port(port_);
  std::thread([this] { accept_connections(); }).detach();
}

void Link::accept_connections() {
  for (;;) {
    const int client = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) continue;
    std::thread([this, client] {
      while (cut) sleep_s(0.005);
      const int server = connect_to(target_, 1);
      if (server < 0) {
        ::close(client);
        return;
      }
      const int on = 1;
      ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread back([this, server, client] { pump(server, client); });
      pump(client, server);
      back.join();
      ::close(client);
      ::close(server);
    }).detach();
  }
}

void Link::pump(int from, int to) {
  char bytes[16384];
  for (;;) {
    const ssize_t n = ::recv(from, bytes, sizeof bytes, 0);
    if (n <= 0) break;
    while (cut) sleep_s(0.005);
    if (!send_all(to, std::string(bytes, static_cast<std::size_t>(n)))) break;
  }
  ::shutdown(to, SHUT_WR);
  ::shutdown(from, SHUT_RD);
}

bool Bucket::take(double amount) {
  const double at = now();
  level_ = std::min(limit_, level_ + (at - at_) * rate_);
  at_ = at;
  if (level_ < amount) return false;
  level_ -= amount;
  return true;
}

// ---- state service ------------------------------------------------------------------------------------

StateService::StateService(World& world)
    : world_(world), requests_(world.deployment.state_rps, 1), writes_(world.deployment.write_rps, 1) {
  for (std::size_t i = 0; i < world.deployment.domains.size(); ++i) {
    servers_.push_back(std::make_unique<Server>(
        [this, i](const Request& request) { return serve(static_cast<int>(i), request); }));
    links.push_back(std::make_unique<Link>(servers_.back()->port()));
  }
}

int StateService::port(int controller) const {
  return links.at(static_cast<std::size_t>(controller))->port();
}

void StateService::set_outage(bool on) {
  const Lock lock(world_.mutex);
  expire();
  if (outage_ && !on)
    for (auto& [id, lease] : leases_) lease.ends_at = now() + lease.ttl_s;
  outage_ = on;
  world_.note(std::string("state service: outage ") + (on ? "begins" : "ends"));
}

void StateService::expire() {
  if (outage_) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.ends_at > now()) {
      ++lease;
      continue;
    }
    ++epoch_;
    std::erase_if(entries_, [&](const auto& entry) { return entry.second.lease == lease->first; });
    lease = leases_.erase(lease);
  }
}

Response StateService::serve(int controller, const Request& request) {
  if (intercept_any)
    if (const auto instead = intercept_any(controller, request)) return *instead;
  const json body = request.method == "POST" ? json::parse(request.body, nullptr, false) : json();
  if (request.target == "/multi" && intercept)
    if (const auto instead = intercept(controller, body)) return *instead;
  const Lock lock(world_.mutex);
  expire();
  if (outage_) return {503, "{}"};
  if (!requests_.take(1)) return {429, "{}"};
  if (request.target == "/multi") return multi(body);
  if (request.method == "GET" && request.target.rfind("/keys?", 0) == 0) return list(request.target);
  if (request.method == "GET" && request.target.rfind("/keys/", 0) == 0) return read(request.target);
  if (request.target == "/leases") {
    const double ttl_s = body.at("ttlMs").get<double>() / 1000;
    if (ttl_s < 0.1 || ttl_s > 600) return {400, "{}"};
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = {ttl_s, now() + ttl_s};
    return reply(200, {{"mooring", lease}});
  }
  if (request.target.rfind("/leases/", 0) == 0) {
    const auto lease = leases_.find(std::strtoull(request.target.c_str() + 8, nullptr, 10));
    if (lease == leases_.end()) return {404, "{}"};
    if (request.method == "DELETE") {
      lease->second.ends_at = 0;
      expire();
    } else {
      lease->second.ends_at = now() + lease->second.ttl_s;
    }
    return {200, "{}"};
  }
  return {400, "{}"};
}

Response StateService::read(const std::string& target) {
  const std::string key = target.substr(6);
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) return reply(404, {{"epoch", epoch_}});
  json row = {{"path", key}, {"v", entry->second.value}, {"stamp", entry->second.stamp}};
  if (entry->second.lease != 0) row["mooring"] = entry->second.lease;
  return reply(200, row);
}

Response StateService::list(const std::string& target) {
  const std::string under = parameter(target, "under");
  const std::string from = parameter(target, "from");
  const std::string most_text = parameter(target, "most");
  const std::size_t most = std::min<std::size_t>(1000, most_text.empty() ? 1000 : std::stoul(most_text));
  json rows = json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (auto entry = entries_.lower_bound(under); entry != entries_.end() && entry->first.rfind(under, 0) == 0;
       ++entry) {
    if (entry->first <= from) continue;
    json row = {{"path", entry->first}, {"v", entry->second.value}, {"stamp", entry->second.stamp}};
    bytes += row.dump().size() + 1;
    if (rows.size() >= most || bytes > 500 * 1024) {
      more = true;
      break;
    }
    rows.push_back(std::move(row));
  }
  return reply(200, {{"rows", rows}, {"more", more}, {"epoch", epoch_}});
}

Response StateService::multi(const json& transaction) {
  const json& writes = transaction.at("writes");
  const json& when = transaction.at("when");
  const auto limit = static_cast<std::size_t>(world_.deployment.txn_ops);
  if (writes.size() > limit || when.size() > 4 * limit || transaction.dump().size() > 64 * 1024)
    return {400, "{}"};
  if (!writes_.take(static_cast<double>(writes.size()))) return {429, "{}"};
  for (const json& write : writes) {
    if (!write.contains("put")) continue;
    if (static_cast<double>(write.at("v").dump().size()) > world_.deployment.value_kb * 1024)
      return {400, "{}"};
    if (write.contains("mooring") && !leases_.contains(write.at("mooring").get<std::uint64_t>()))
      return reply(400, {{"error", "no such lease"}});
  }
  json failed = json::array();
  for (const json& condition : when) {
    const auto entry = entries_.find(condition.at("path").get<std::string>());
    const std::uint64_t stamp = entry == entries_.end() ? 0 : entry->second.stamp;
    if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition.at("path"));
  }
  if (!failed.empty()) return reply(409, {{"failed", failed}, {"epoch", epoch_}});
  if (!writes.empty()) ++epoch_;
  for (const json& write : writes) {
    if (write.contains("put"))
      entries_[write.at("put").get<std::string>()] = {write.at("v"), epoch_,
                                                      write.value("mooring", std::uint64_t{0})};
    else
      entries_.erase(write.at("remove").get<std::string>());
  }
  return reply(200, {{"epoch", epoch_}});
}

// ---- machines -----------------------------------------------------------------------------------------

Machine::Machine(World& world, std::string name, const HullSettings& hull, std::string zone, bool spot,
                 double up_at)
    : world_(world),
      name_(std::move(name)),
      hull_(hull),
      zone_(std::move(zone)),
      spot_(spot),
      rented_at_(now()),
      up_at_(up_at) {
  server_ = std::make_unique<Server>([this](const Request& request) { return on_orders(request); });
  node_ = static_cast<int>(world_.random() % world_.deployment.domains.size());
  std::thread([this] { run(); }).detach();
}

std::string Machine::address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

bool Machine::is_up() const { return !is_dead() && now() >= up_at_; }

double Machine::free_cpus() const {
  double free = hull_.cpus;
  for (const auto& [key, task] : tasks_)
    if (task.phase != "ended") free -= world_.jobs.at(job_of(key.first)).body.at("cpus").get<double>();
  return free;
}

bool Machine::holds(const std::string& job) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return job_of(entry.first.first) == job && entry.second.phase != "ended";
  });
}

std::size_t Machine::tasks_on_it() const {
  return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(), [](const auto& entry) { return entry.second.phase != "ended"; }));
}

void Machine::die() {
  const Lock lock(world_.mutex);
  if (is_dead()) return;
  world_.note(name_ + " stops with all that is on it");
  lose_tasks();
  dead_at_ = now();
}

void Machine::end_on_machine(const Key& key, Task& task) {
  if (task.phase == "running" || task.phase == "flushing") {
    world_.on_machines[key.first].erase(name_);
    world_.note(key.first + " attempt " + std::to_string(key.second) + " is off " + name_);
  }
}

void Machine::lose_tasks() {
  for (auto& [key, task] : tasks_) end_on_machine(key, task);
  tasks_.clear();
}

void Machine::run() {
  bool began = false;
  for (;;) {
    sleep_s(0.01);
    bool report_now = false;
    {
      const Lock lock(world_.mutex);
      if (is_dead()) return;
      if (!is_up()) continue;
      if (!began) {
        began = true;
        lease_from_ = now();
        world_.note(name_ + " is up in " + zone_);
      }
      advance();
      const bool due = now() >= next_report_at_ || (changed_ && now() - reported_at_ >= 0.5);
      if (due && !in_flight_ && now() >= may_report_at_) {
        in_flight_ = true;
        report_now = true;
      }
    }
    if (report_now) std::thread([this] { send_report(); }).detach();
  }
}

void Machine::advance() {
  if (now() - lease_from_ > world_.deployment.lease_s) {
    world_.note(name_ + " has had no answer for its whole lease: session " + std::to_string(watch_ + 1) +
                " begins");
    lose_tasks();
    ++watch_;
    lease_from_ = now();
    changed_ = true;
  }
  for (auto& [key, task] : tasks_) {
    if (task.phase == "ended" || now() < task.ends_at) continue;
    changed_ = true;
    const Job& job = world_.jobs.at(job_of(key.first));
    if (task.phase == "pulling") {
      images_.insert(job.body.at("payload").get<std::string>());
      task.phase = "running";
      task.ends_at = world_.completed.contains(key.first) ? now() : now() + job.run_s;
      world_.on_machines[key.first].insert(name_);
      world_.note(key.first + " attempt " + std::to_string(key.second) + " is on " + name_);
      if (fails_tasks) {
        end_on_machine(key, task);
        task = {"ended", "error", 0};
        ++failures_;
      }
      continue;
    }
    end_on_machine(key, task);
    if (task.phase == "running") {
      world_.completed.insert(key.first);
      task = {"ended", "done", 0};
    } else {
      task = {"ended", "halted", 0};
    }
  }
}

json Machine::report() {
  json tasks = json::array();
  for (const auto& [key, task] : tasks_) {
    json entry = {{"shard", key.first}, {"launch", key.second}, {"phase", task.phase}};
    if (task.phase == "ended") entry["cause"] = task.cause;
    tasks.push_back(std::move(entry));
  }
  return {{"helm", name_},       {"address", address()}, {"hull", hull_.label}, {"berth", zone_},
          {"driftwood", spot_},  {"watch", watch_},      {"tick", ++tick_},     {"baton", baton_},
          {"warningS", nullptr}, {"shards", tasks}};
}

void Machine::next_node(double delay_s) {
  node_ = (node_ + 1) % static_cast<int>(world_.deployment.domains.size());
  may_report_at_ = now() + delay_s;
  changed_ = true;
}

void Machine::send_report() {
  std::string body;
  std::uint64_t watch = 0;
  double sent_at = 0;
  int port = 0;
  {
    const Lock lock(world_.mutex);
    body = report().dump();
    watch = watch_;
    sent_at = now();
    reported_at_ = sent_at;
    changed_ = false;
    const double spread = std::uniform_real_distribution<double>(0.75, 1.25)(world_.random);
    next_report_at_ = sent_at + world_.deployment.report_s * spread;
    port = world_.controllers.at(static_cast<std::size_t>(node_))->api_port();
  }
  const Response response = http_call(port, {"POST", "/checkin", body}, kWorkerTimeoutS);
  const Lock lock(world_.mutex);
  in_flight_ = false;
  if (is_dead()) return;
  if (response.status == 421) {
    const json answer = json::parse(response.body, nullptr, false);
    const std::string harbor = answer.is_object() ? answer.value("harbor", "") : "";
    for (std::size_t i = 0; i < world_.controllers.size(); ++i)
      if (world_.controllers[i]->host() == harbor && static_cast<int>(i) != node_) {
        node_ = static_cast<int>(i);
        changed_ = true;
        next_report_at_ = now();
        return;
      }
    return next_node(1);
  }
  if (response.status != 200 || now() - sent_at > kWorkerTimeoutS) return next_node(1);
  const json answer = json::parse(response.body, nullptr, false);
  if (!answer.is_object() || watch != watch_) return;
  const auto baton = answer.value("baton", std::uint64_t{0});
  if (!answer.contains("baton") || baton < baton_) return;
  if (baton > baton_ && now() - baton_counted_at_ > world_.deployment.lease_s / 2) {
    baton_counted_at_ = now();
    changed_ = true;
  }
  baton_ = baton;
  lease_from_ = std::max(lease_from_, sent_at);
  for (const json& order : answer.value("orders", json::array()))
    if (order.at("verb") == "run")
      world_.starts.push_back({order.at("shard"), name_, "reply", sent_at, now()});
  execute(answer.value("orders", json::array()), "reply to the report sent at " + number(sent_at));
}

Response Machine::on_orders(const Request& request) {
  const Lock lock(world_.mutex);
  if (!is_up()) return {};
  if (request.target == "/status") return {200, report().dump()};
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("baton") || !body.contains("watch")) return {400, "{}"};
  advance();
  if (body.at("baton").get<std::uint64_t>() < baton_ || body.at("watch").get<std::uint64_t>() != watch_)
    return {409, report().dump()};
  const auto baton = body.at("baton").get<std::uint64_t>();
  if (baton > baton_ && now() - baton_counted_at_ > world_.deployment.lease_s / 2) {
    baton_counted_at_ = now();
    changed_ = true;
  }
  baton_ = baton;
  for (const json& order : body.value("orders", json::array()))
    if (order.at("verb") == "run")
      world_.starts.push_back({order.at("shard"), name_, "orders", now(), now()});
  execute(body.value("orders", json::array()), "direct request");
  return {200, report().dump()};
}

void Machine::execute(const json& orders, const std::string& by) {
  for (const json& order : orders) {
    const std::string verb = order.at("verb");
    const Key key{order.at("shard").get<std::string>(), order.at("launch").get<std::uint64_t>()};
    world_.note(name_ + " is told to " + verb + " " + key.first + " attempt " + std::to_string(key.second) +
                ", by " + by);
    changed_ = true;
    const auto found = tasks_.find(key);
    if (verb == "run" && found == tasks_.end()) tasks_[key] = start(key.first);
    if (verb == "kill" && found != tasks_.end() && found->second.phase != "ended")
      stop(key, found->second, order.value("windDownS", 0.0));
    if (verb == "clear" && found != tasks_.end() && found->second.phase == "ended") tasks_.erase(found);
  }
}

Machine::Task Machine::start(const std::string& task) {
  const auto job = world_.jobs.find(job_of(task));
  if (job == world_.jobs.end()) return {"ended", "unknown", 0};
  double mem_gb = 0;
  for (const auto& [key, other] : tasks_) {
    if (other.phase == "ended") continue;
    if (key.first == task) return {"ended", "in_use", 0};
    mem_gb += world_.jobs.at(job_of(key.first)).body.at("memGb").get<double>();
  }
  const json& body = job->second.body;
  if (body.at("cpus").get<double>() > free_cpus() + 1e-6 ||
      mem_gb + body.at("memGb").get<double>() > hull_.mem_gb + 1e-6)
    return {"ended", "full", 0};
  const bool cached = images_.contains(body.at("payload").get<std::string>());
  return {"pulling", "", now() + (cached ? 0 : body.at("pullGb").get<double>() / hull_.fetch_gb_per_s)};
}

void Machine::stop(const Key& key, Task& task, double grace_s) {
  const json& body = world_.jobs.at(job_of(key.first)).body;
  const double stow_s = body.value("stowS", 0.0);
  if (task.phase == "running" && body.value("snapshotS", 0.0) > 0 && grace_s >= stow_s) {
    task.phase = "flushing";
    task.ends_at = now() + stow_s;
    return;
  }
  if (task.phase == "flushing" && grace_s > 0) return;
  end_on_machine(key, task);
  task = {"ended", "halted", 0};
}

// ---- cloud --------------------------------------------------------------------------------------------

Cloud::Cloud(World& world) : world_(world), calls_(world.deployment.cloud_rps, 2) {
  server_ = std::make_unique<Server>([this](const Request& request) { return serve(request); });
}

const HullSettings* Cloud::hull(const std::string& label) const {
  for (const HullSettings& hull : world_.deployment.hulls)
    if (hull.label == label) return &hull;
  return nullptr;
}

Machine& Cloud::add_running(const std::string& label, const std::string& zone, int number) {
  const Lock lock(world_.mutex);
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", number);
  next_number_ = std::max(next_number_, number + 1);
  auto& machine = machines_[name];
  machine = std::make_unique<Machine>(world_, name, *hull(label), zone, false, now());
  return *machine;
}

Machine* Cloud::find(const std::string& name) {
  const auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : found->second.get();
}

std::vector<Machine*> Cloud::machines() {
  std::vector<Machine*> all;
  for (auto& [name, machine] : machines_)
    if (!gone_at_.contains(name)) all.push_back(machine.get());
  return all;
}

Response Cloud::serve(const Request& request) {
  const Lock lock(world_.mutex);
  if (outage) return reply(503, {{"error", "trouble"}});
  if (!calls_.take(1)) return {429, "{}"};
  if (request.target == "/catalog") {
    json hulls = json::array();
    for (const HullSettings& hull : world_.deployment.hulls)
      hulls.push_back({{"label", hull.label},
                       {"cpus", hull.cpus},
                       {"cards", 0},
                       {"memGb", hull.mem_gb},
                       {"cacheGb", 200},
                       {"fetchGbPerS", hull.fetch_gb_per_s},
                       {"hourly", hull.hourly},
                       {"marketPrice", hull.hourly / 4},
                       {"readyS", hull.ready_s},
                       {"berths", hull.berths}});
    return reply(200, {{"hulls", hulls}});
  }
  if (request.method == "POST") {
    const json body = json::parse(request.body, nullptr, false);
    if (request.target == "/machines") return rent(body);
    if (request.target != "/machines/delete") return {400, "{}"};
    for (const json& name : body.at("helms")) {
      Machine* machine = find(name.get<std::string>());
      if (machine == nullptr || gone_at_.contains(machine->name())) continue;
      world_.note("cloud: " + machine->name() + " is deleted");
      machine->die();
      gone_at_[machine->name()] = now();
    }
    return {200, "{}"};
  }
  return list(request.target);
}

Response Cloud::rent(const json& body) {
  const std::string charter = body.at("charter");
  if (const auto earlier = rented_.find(charter); earlier != rented_.end()) return {200, earlier->second};
  const HullSettings* type = hull(body.at("hull"));
  const std::string zone = body.at("berth");
  if (type == nullptr || std::find(type->berths.begin(), type->berths.end(), zone) == type->berths.end())
    return {400, "{}"};
  json names = json::array();
  const int wanted = std::min(50, body.at("howMany").get<int>());
  const bool spot = body.at("driftwood");
  for (int i = 0; i < wanted && rented_count_ < world_.deployment.rentable; ++i) {
    if (spot && ++spot_count_ > world_.deployment.spot_rentable) break;
    ++rented_count_;
    char name[16];
    std::snprintf(name, sizeof name, "n-%06d", next_number_++);
    machines_[name] = std::make_unique<Machine>(world_, name, *type, zone, body.at("driftwood"),
                                                now() + world_.deployment.boot_s);
    names.push_back(name);
  }
  world_.note("cloud: " + std::to_string(wanted) + " machines asked for, " + type->label + " in " + zone +
              ", charter " + charter + ": " + (names.empty() ? "no capacity" : names.dump()));
  if (names.empty()) return reply(503, {{"error", "no capacity"}});
  rented_[charter] = json{{"helms", names}}.dump();
  return {200, rented_[charter]};
}

Response Cloud::list(const std::string& target) {
  const std::string from = parameter(target, "from");
  const std::string most_text = parameter(target, "most");
  const std::size_t most = std::min<std::size_t>(500, most_text.empty() ? 500 : std::stoul(most_text));
  const double as_of = now() - world_.deployment.list_lag_s;
  json rows = json::array();
  bool more = false;
  for (const auto& [name, machine] : machines_) {
    const auto gone = gone_at_.find(name);
    if (name <= from || machine->rented_at() > as_of || (gone != gone_at_.end() && gone->second <= as_of))
      continue;
    if (rows.size() >= most) {
      more = true;
      break;
    }
    const bool failed = machine->is_dead() && as_of - machine->dead_at() > kDeadListedRunningS;
    const char* phase = failed ? "failed" : (machine->is_up() || machine->is_dead() ? "running" : "starting");
    rows.push_back({{"uid", name},
                    {"address", machine->address()},
                    {"hull", machine->hull().label},
                    {"berth", machine->zone()},
                    {"driftwood", machine->spot()},
                    {"phase", phase},
                    {"ageS", as_of - machine->rented_at()}});
  }
  return reply(200, {{"helms", rows}, {"more", more}});
}

// ---- controllers --------------------------------------------------------------------------------------

Controller::Controller(World& world, int index)
    : world_(world),
      index_(index),
      host_("helm-" + std::to_string(index)),
      api_port_(free_port()),
      internal_port_(free_port()) {}

void Controller::write_settings() const {
  const Deployment& d = world_.deployment;
  std::ofstream out(world_.folder + "/" + host_ + ".toml");
  const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
  out << "host_name = \"" << host_ << "\"\ndomain = \"" << d.domains.at(static_cast<std::size_t>(index_))
      << "\"\n"
      << "api_addr = " << address(api_port_) << "internal_addr = " << address(internal_port_);
  for (int other = 0; other < static_cast<int>(d.domains.size()); ++other)
    if (other != index_)
      out << "[[known]]\nhost_name = \"helm-" << other << "\"\ndomain = \""
          << d.domains.at(static_cast<std::size_t>(other))
          << "\"\nendpoint = " << address(world_.peer_links.at({index_, other})->port());
  out << "[external]\ncloud = " << address(world_.cloud->port())
      << "state = " << address(world_.state->port(index_)) << "[settings]\nsize = " << d.domains.size()
      << "\nzones = " << json(d.zones).dump() << "\nclock_error_ms = 250.0\n";
  for (const TeamSettings& team : d.teams)
    out << "[[settings.teams]]\nname = \"" << team.name << "\"\ncpus = " << number(team.cpus)
        << "\ncpus_max = " << number(team.cpus_max) << "\ngpus = 0.0\ngpus_max = 0.0\n";
  out << "[settings.workers]\nreport_s = " << number(d.report_s) << "\nlease_s = " << number(d.lease_s)
      << "\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = " << number(d.cancel_s)
      << "\n[settings.state]\nrps = " << number(d.state_rps) << "\nwrite_rps = " << number(d.write_rps)
      << "\nvalue_kb = " << number(d.value_kb) << "\ntxn_ops = " << d.txn_ops
      << "\n[settings.cloud]\nrps = " << number(d.cloud_rps) << "\nlist_lag_s = " << number(d.list_lag_s)
      << "\n[settings.machine_limits]\ncores = 0.2\nmemory_mb = 72.0\nsockets = " << d.sockets << "\n";
}

void Controller::start() {
  if (running()) return;
  const std::string settings = world_.folder + "/" + host_ + ".toml";
  const std::string log = world_.folder + "/" + host_ + ".log";
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (file >= 0) ::dup2(file, STDERR_FILENO);
    ::execl(world_.program.c_str(), world_.program.c_str(), "--config", settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  pid_ = pid;
  world_.note(host_ + " starts");
}

void Controller::kill() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
  world_.note(host_ + " is killed");
}

void Controller::pause() const {
  ::kill(pid_, SIGSTOP);
  world_.note(host_ + " stands still");
}

void Controller::resume() const {
  ::kill(pid_, SIGCONT);
  world_.note(host_ + " goes on");
}

void Controller::cut_from_state_and_peers(bool on) {
  world_.state->links.at(static_cast<std::size_t>(index_))->cut = on;
  for (auto& [pair, link] : world_.peer_links)
    if (pair.first == index_ || pair.second == index_) link->cut = on;
  world_.note(host_ + (on ? " is cut from" : " reaches again") +
              " the state service and the other controllers");
}

// ---- world --------------------------------------------------------------------------------------------

World::World(Deployment settings, const std::string& program_path, const std::string& work_folder,
             const std::string& record)
    : deployment(std::move(settings)), program(program_path), folder(work_folder), record_(record) {
  std::signal(SIGPIPE, SIG_IGN);
  state = std::make_unique<StateService>(*this);
  cloud = std::make_unique<Cloud>(*this);
  const int count = static_cast<int>(deployment.domains.size());
  for (int i = 0; i < count; ++i) controllers.push_back(std::make_unique<Controller>(*this, i));
  for (int from = 0; from < count; ++from)
    for (int to = 0; to < count; ++to)
      if (from != to)
        peer_links[{from, to}] =
            std::make_unique<Link>(controllers.at(static_cast<std::size_t>(to))->internal_port());
  for (const auto& controller : controllers) controller->write_settings();
}

World::~World() = default;

void World::start() {
  for (const auto& controller : controllers) controller->start();
}

bool World::wait_until_healthy(double timeout_s) {
  const double until = now() + timeout_s;
  while (now() < until) {
    const bool all = std::all_of(controllers.begin(), controllers.end(), [](const auto& controller) {
      return http_call(controller->api_port(), {"GET", "/healthz", ""}, 1).status == 200;
    });
    if (all) {
      note("all controllers are healthy");
      return true;
    }
    sleep_s(0.1);
  }
  return false;
}

void World::note(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex_);
  char at[32];
  std::snprintf(at, sizeof at, "%9.3f ", now());
  record_ << at << line << "\n" << std::flush;
}

json World::job_body(int number, const std::string& team, const std::string& shape, int tasks, double cpus) {
  char uid[32];
  std::snprintf(uid, sizeof uid, "run-%06d", number);
  return {{"uid", uid},
          {"jobclass", shape == "daemon" ? "query-front" : "record-recompute"},
          {"crew", team},
          {"shape", shape},
          {"rank", "prod"},
          {"shards", tasks},
          {"cpus", cpus},
          {"cards", 0.0},
          {"memGb", 4.0},
          {"payload", "img-1"},
          {"pullGb", 0.5},
          {"hulls", nullptr},
          {"berth", nullptr},
          {"oneZone", false},
          {"apart", false},
          {"driftwood", false},
          {"expectS", shape == "daemon" ? 0.0 : 5.0},
          {"snapshotS", 0.0},
          {"stowS", 0.0},
          {"dueS", nullptr}};
}

Answer World::ask(int controller, const std::string& method, const std::string& target,
                  const std::string& body, double timeout_s) {
  Answer answer;
  answer.sent_at = now();
  const int port = controllers.at(static_cast<std::size_t>(controller))->api_port();
  const Response response = http_call(port, {method, target, body}, timeout_s);
  answer.at = now();
  answer.status = response.status;
  answer.body = json::parse(response.body, nullptr, false);
  if (answer.body.is_object()) answer.phase = answer.body.value("phase", "");
  note("user to helm-" + std::to_string(controller) + ", sent at " + number(answer.sent_at) + ": " + method +
       " " + target + (body.empty() ? "" : " " + body) + " -> " +
       (response.status == 0 ? "no answer" : std::to_string(response.status) + " " + response.body));
  return answer;
}

Answer World::submit(int controller, const Job& job) {
  {
    const Lock lock(mutex);
    jobs[job.body.at("uid").get<std::string>()] = job;
  }
  return ask(controller, "POST", kJobs, job.body.dump(), 5);
}

bool World::submit_until_accepted(int controller, const Job& job, double timeout_s) {
  const double until = now() + timeout_s;
  while (now() < until) {
    const int status = submit(controller, job).status;
    if (status == 200 || status == 201) return true;
    sleep_s(1);
  }
  return false;
}

Answer World::poll(int controller, const std::string& job) {
  return ask(controller, "GET", kJobs + "/" + job, "", 2);
}

Answer World::cancel(int controller, const std::string& job) {
  return ask(controller, "POST", kJobs + "/" + job + "/cancel", "", 5);
}

bool World::cancel_until_confirmed(int controller, const std::string& job, double timeout_s) {
  const double until = now() + timeout_s;
  while (now() < until) {
    const Answer answer = cancel(controller, job);
    if (answer.status == 200 && answer.phase == "cancelled") return true;
    sleep_s(1);
  }
  return false;
}

std::size_t World::tasks_on_machines(const std::string& job) {
  const Lock lock(mutex);
  std::size_t count = 0;
  for (const auto& [task, machines] : on_machines)
    if (job_of(task) == job) count += machines.size();
  return count;
}

bool World::is_on_a_machine(const std::string& job) { return tasks_on_machines(job) > 0; }

double World::cpus_used_by_team(const std::string& team) {
  const Lock lock(mutex);
  double used = 0;
  for (Machine* machine : cloud->machines())
    for (const auto& [id, job] : jobs)
      if (job.body.at("crew") == team && machine->holds(id)) used += job.body.at("cpus").get<double>();
  return used;
}

bool World::wait_for(const std::function<bool()>& condition, double timeout_s) {
  const double until = now() + timeout_s;
  for (;;) {
    {
      const Lock lock(mutex);
      if (condition()) return true;
    }
    if (now() >= until) return false;
    sleep_s(0.02);
  }
}

Arguments parse(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: PROGRAM FOLDER RECORD TROUBLE\n";
    std::exit(2);
  }
  return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

void finish(World& world, int status, const std::string& why) {
  for (const auto& controller : world.controllers) controller->kill();
  world.note("result " + std::to_string(status) + ": " + why);
  std::cout << "result " << status << " after " << number(now()) << " s: " << why << std::endl;
  std::_Exit(status);
}

}  // namespace world
