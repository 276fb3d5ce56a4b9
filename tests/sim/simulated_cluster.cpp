#include "sim/simulated_cluster.h"

#include "codec/codec.h"
#include "core/controller/overview.h"
#include "wire/cloud_protocol.h"
#include "wire/store_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

const std::string kState = "state";
const std::string kCloud = "cloud";

std::vector<MachineType> machine_types() {
  MachineType small{"small", {8000, 0, 64000}, 50, 0.8, 0.5, 0.12, seconds(6), {"east", "west"}};
  MachineType large{"large", {16000, 0, 64000}, 50, 0.8, 0.8, 0.2, seconds(8), {"east", "west"}};
  return {small, large};
}

}  // namespace

Settings settings_for(const FaultScenario& plan) {
  Settings s;
  s.zones = {"east", "west"};
  s.teams = {{"blue", {16000, 0}, {48000, 0}}, {"green", {16000, 0}, {30000, 0}}};
  if (plan.tight_limits) s.teams = {{"blue", {8000, 0}, {24000, 0}}, {"green", {8000, 0}, {20000, 0}}};
  s.heartbeat_interval = seconds(plan.slow_reports ? 4 : 1.5);
  s.worker_lease = seconds(plan.slow_reports ? 20 : 12);
  s.cancel_within = seconds(40);
  s.store_requests_per_s = 200;
  s.store_writes_per_s = 60;
  s.store_value_bytes = plan.small_values ? 900 : 8 * 1024;
  s.store_transaction_writes = plan.small_values ? 5 : 12;
  s.cloud_calls_per_s = 4;
  s.cloud_list_lag = seconds(3);
  s.sockets = 800;
  return s;
}

SimulatedCluster::SimulatedCluster(const FaultScenario& plan)
    : plan_(plan),
      settings_(settings_for(plan)),
      random_(plan.seed),
      checker_(settings_),
      state_(settings_),
      cloud_(machine_types(), 14, [this](Cloud::Machine& m) { boot(m); }) {
  for (int i = 0; i < 3; ++i) {
    auto node = std::make_unique<Node>();
    node->host = "node-" + std::to_string(i);
    node->drift = (chance() - 0.5) * 0.001;
    node->offset = seconds(chance() * 1000);
    if (plan_.wide && i == 2) node->zone = "west";
    nodes_.push_back(std::move(node));
  }
  for (const char* zone : {"east", "west", "east"}) cloud_.add("small", zone, false, Micros{0});
  make_users();
}

// ---- the network ---------------------------------------------------------------------------------

bool SimulatedCluster::is_cut(const std::string& a, const std::string& b) const {
  return cuts_.contains(std::minmax(a, b));
}

void SimulatedCluster::cut(const std::string& a, const std::string& b, bool hold, Micros span) {
  const std::pair<std::string, std::string> key = std::minmax(a, b);
  if (!cuts_.try_emplace(key, Cut{hold, {}}).second) return;
  after(span, [this, key] {
    Cut cut = std::move(cuts_.at(key));
    cuts_.erase(key);
    Micros delay = millis(1);
    for (auto& deliver : cut.parked) after(delay += millis(1), std::move(deliver));
  });
}

void SimulatedCluster::send(const std::string& from, const std::string& to, std::function<void()> deliver) {
  if (auto it = cuts_.find(std::minmax(from, to)); it != cuts_.end()) {
    if (it->second.hold) it->second.parked.push_back(std::move(deliver)), ++seen_["messages held"];
    return;
  }
  Micros latency = millis(1) + Micros{pick(4000)};
  if (chance() < 0.01) latency += millis(200 + pick(1500));
  after(latency, std::move(deliver));
}

/// A machine that hangs takes what was sent to it when it goes on.
void SimulatedCluster::deliver(const std::string& to, std::function<void()> what, const std::string& from) {
  send(from, to, [this, to, what = std::move(what)] { when_awake(to, what); });
}

void SimulatedCluster::when_awake(const std::string& to, const std::function<void()>& what) {
  auto it = cloud_.machines().find(to);
  if (it != cloud_.machines().end() && it->second.worker && it->second.worker->hanging)
    after(millis(100), [this, to, what] { when_awake(to, what); });
  else
    what();
}

// ---- controllers ---------------------------------------------------------------------------------

void SimulatedCluster::start(Node& node) {
  Settings s = settings_;
  s.host = node.host;
  s.zone = node.zone;
  for (const auto& other : nodes_)
    if (other->host != node.host) s.peers.push_back({other->host, other->zone, other->host});
  if (plan_.planted_defect == PlantedDefect::ignore_quota)
    for (Team& team : s.teams) team.limit.cpu *= 10;
  node.life = ++lives_;
  node.core = std::make_unique<Controller>(s, "life-" + std::to_string(node.life), node.life);
  node.core->write_debug_lines(plan_.verbose);
  node.up = true;
  tick(node, node.life);
}

void SimulatedCluster::crash(Node& node, Micros back_in) {
  if (!node.up) return;
  node.up = false;
  awards_ += node.core->net().counters().awards;
  node.core.reset();
  node.frozen_until = node.freezes_for = Micros{0};
  node.users.clear();
  node.workers.clear();
  after(back_in, [this, &node] { start(node); });
}

void SimulatedCluster::on_node(Node& node, std::uint64_t life,
                               const std::function<void(Controller&)>& event) {
  if (!node.up || node.life != life) return;
  if (now_ < node.frozen_until)
    return at(node.frozen_until, [this, &node, life, event] { on_node(node, life, event); });
  node.core->at(steady(node), now_ + seconds(1'000'000));
  event(*node.core);
  if (node.freezes_for == Micros{0}) return finish(node, life);
  node.frozen_until = now_ + std::exchange(node.freezes_for, Micros{0});
  at(node.frozen_until, [this, &node, life] { finish(node, life); });
}

void SimulatedCluster::finish(Node& node, std::uint64_t life) {
  if (!node.up || node.life != life) return;
  for (Action& action : node.core->take_actions(steady(node))) {
    if (observer_) observer_(node.host, action);
    perform(node, std::move(action));
  }
}

Micros SimulatedCluster::steady(const Node& node) const {
  const auto now = static_cast<std::int64_t>(static_cast<double>(now_.count()) * (1.0 + node.drift));
  return Micros{now} + node.offset;
}

void SimulatedCluster::tick(Node& node, std::uint64_t life) {
  if (!node.up || node.life != life) return;
  on_node(node, life, [](Controller& c) { c.tick(); });
  if (node.up && node.life == life)
    for (const auto& [name, shard] : node.core->state().shards) wrong_sums_ += shard.sums_hold() ? 0 : 1;
  after(millis(50), [this, &node, life] { tick(node, life); });
}

template <class Answer>
void SimulatedCluster::call(Node& node, const std::string& to, Micros within, std::function<Answer()> serve,
                            std::function<void(Controller&, const Answer&)> done) {
  const std::uint64_t life = node.life;
  auto open = std::make_shared<bool>(true);
  auto conclude = [this, &node, life, open, done](const Answer& answer) {
    if (!std::exchange(*open, false)) return;
    on_node(node, life, [done, answer](Controller& c) { done(c, answer); });
  };
  deliver(
      to,
      [this, &node, to, serve, conclude] {
        auto answer_it = [this, &node, to, serve, conclude] {
          Answer answer = serve();
          auto send_back = [this, &node, to, conclude, answer] {
            send(to, node.host, [conclude, answer] { conclude(answer); });
          };
          if (to != kState || now_ >= answers_late_until_ || chance() > 0.3) return send_back();
          ++seen_["answers of the state service held up"];
          after(millis(30 + pick(900)), send_back);
        };
        if (to == kState && state_slowness_ > 1)
          after(Micros{static_cast<std::int64_t>(5000 * state_slowness_)}, answer_it);
        else
          answer_it();
      },
      node.host);
  after(within, [conclude] { conclude(Answer{}); });
}

template <class WithOrders>
WithOrders SimulatedCluster::with_planted_defect(WithOrders message) const {
  if (plan_.planted_defect == PlantedDefect::keep_cancelled)
    std::erase_if(message.commands, [](const Command& o) { return o.kind == Command::Kind::stop; });
  std::erase_if(message.commands, [&](const Command& o) {
    if (o.kind != Command::Kind::start) return false;
    const JobSpec& spec = specs_.at(o.task.job);
    return plan_.planted_defect == PlantedDefect::start_nothing ||
           (plan_.planted_defect == PlantedDefect::starve_team && spec.team == "green") ||
           (plan_.planted_defect == PlantedDefect::starve_large && spec.tasks > 16);
  });
  return message;
}

void SimulatedCluster::count_starts(const std::vector<Command>& orders) {
  for (const Command& o : orders)
    if (o.kind == Command::Kind::start && checker_.ordered(o.task, now_) && plan_.verbose)
      std::printf("%9.3f ---- %s/%u is started though it is cancelled\n", in_seconds(now_),
                  o.task.job.c_str(), o.task.index);
}

void SimulatedCluster::perform(Node& node, Action action) {
  struct Visitor {
    SimulatedCluster& d;
    Node& node;
    void operator()(StoreCall& a) {
      if (std::holds_alternative<Transaction>(a.request) && d.now_ < d.transactions_late_until_ &&
          !d.state_out_ && d.chance() < 0.3) {
        ++d.seen_["transactions carried out late"];
        d.after(seconds(2 + d.chance() * 10),
                [day = &d, http = wire::request_of(a.request)] { day->state_.handle(http, day->now_); });
        return d.after(seconds(1), [day = &d, n = &node, life = node.life, call = a.call] {
          day->on_node(*n, life, [call](Controller& c) { c.on_store_response(call, StoreResponse{}); });
        });
      }
      d.call<StoreResponse>(
          node, kState, seconds(1),
          [day = &d, request = a.request, host = node.host] {
            if (day->refused_hosts_.contains(host)) return wire::parse_store_response(request, 503, "{}");
            if (day->plan_.wide)
              day->copy_later(
                  [day, http = wire::request_of(request)] { day->state_.handle(http, day->now_); });
            Response r = day->state_.handle(wire::request_of(request), day->now_);
            return wire::parse_store_response(request, r.status, r.body);
          },
          [call = a.call](Controller& c, const StoreResponse& answer) { c.on_store_response(call, answer); });
    }
    void operator()(CloudCall& a) {
      d.call<CloudResponse>(
          node, kCloud, seconds(5),
          [day = &d, request = a.request] {
            Response r = day->cloud_.handle(wire::request_of(request), day->now_);
            return wire::parse_cloud_response(request, r.status, r.body);
          },
          [call = a.call](Controller& c, const CloudResponse& answer) { c.on_cloud_response(call, answer); });
    }
    void operator()(WorkerCall& a) {
      d.count_starts(a.request.commands);
      const std::string machine = a.request.address.substr(0, a.request.address.find(':'));
      d.call<CommandResponse>(
          node, machine, millis(1500),
          [day = &d, machine, body = wire::request_of(d.with_planted_defect(std::move(a.request))).body] {
            auto it = day->cloud_.machines().find(machine);
            if (it == day->cloud_.machines().end() || it->second.dead || !it->second.worker ||
                it->second.worker->deaf)
              return CommandResponse{};
            day->copy_later([day, machine, body] {
              auto again = day->cloud_.machines().find(machine);
              if (again != day->cloud_.machines().end() && !again->second.dead && again->second.worker)
                again->second.worker->orders(body, day->now_);
            });
            Response r = it->second.worker->orders(body, day->now_);
            return wire::parse_command_response(r.status, r.body);
          },
          [call = a.call](Controller& c, const CommandResponse& answer) {
            c.on_command_response(call, answer);
          });
    }
    void operator()(PeerSend& a) {
      for (auto& other : d.nodes_) {
        if (other->host != a.host) continue;
        const std::string frame = codec::encode({node.host, a.message});
        d.send(node.host, a.host, [day = &d, other = other.get(), frame] {
          codec::Decoded in = codec::decode(frame);
          if (in.state != codec::Decoded::State::complete)
            throw std::logic_error("a frame can't be read back");
          day->on_node(*other, other->life,
                       [in](Controller& c) { c.on_peer(in.envelope.sender, in.envelope.message); });
        });
      }
    }
    void operator()(AnswerUser& a) {
      auto it = node.users.find(a.request);
      if (it == node.users.end()) return;
      auto answer = std::move(it->second);
      node.users.erase(it);
      answer(a.reply);
    }
    void operator()(AnswerHeartbeat& a) {
      auto it = node.workers.find(a.request);
      if (it == node.workers.end()) return;
      auto answer = std::move(it->second);
      node.workers.erase(it);
      answer(a.reply);
    }
    void operator()(AnswerAdmin&) {}
    void operator()(LogLine& a) {
      if (a.level == LogLevel::error) ++d.seen_["errors in the log"];
      if (a.text.ends_with(" shard acquired")) ++d.seen_["parts taken"];
      if (a.text.find("worker lease expired") != std::string::npos) ++d.seen_["leases over"];
      if (a.text.find("acknowledges nothing") != std::string::npos) ++d.seen_["machines called deaf"];
      if (d.plan_.verbose)
        std::printf("%9.3f %s %s\n", in_seconds(d.now_), node.host.c_str(), a.text.c_str());
    }
  };
  std::visit(Visitor{*this, node}, action);
}

std::uint64_t SimulatedCluster::awards() const {
  std::uint64_t n = awards_;
  for (const auto& node : nodes_)
    if (node->core) n += node->core->net().counters().awards;
  return n;
}

// ---- workers -------------------------------------------------------------------------------------

void SimulatedCluster::boot(Cloud::Machine& machine) {
  const std::string name = machine.name;
  double wait = 2 + chance() * 8;
  if (now_ < boots_badly_until_) wait *= chance() < 0.4 ? 1000 : 4;
  after(seconds(wait), [this, name] {
    auto it = cloud_.machines().find(name);
    if (it == cloud_.machines().end() || it->second.dead) return;
    Worker::Hooks hooks;
    hooks.checker = &checker_;
    hooks.job = [this](const std::string& id) {
      auto spec = specs_.find(id);
      return spec == specs_.end() ? nullptr : &spec->second;
    };
    hooks.run_time = [this](const TaskId& task) {
      const JobSpec& spec = specs_.at(task.job);
      return spec.shape == Shape::service ? seconds(100'000)
             : plan_.long_tasks && spec.tasks <= 3
                 ? Micros{spec.estimate.count() * (1 + task.index % 3) / 3}  // they end far apart
                 : Micros{spec.estimate.count() * (8 + task.index % 5) / 10};
    };
    it->second.worker = std::make_unique<Worker>(it->second, *cloud_.type(it->second.type), settings_,
                                                 std::move(hooks), now_);
  });
}

void SimulatedCluster::machines_step() {
  for (auto& [name, m] : cloud_.machines()) {
    if (!m.worker || m.dead) continue;
    m.worker->advance(now_);
    most_failures_ = std::max(most_failures_, m.worker->failures);
    if (m.worker->wants_report(now_)) report(m);
  }
  checker_.look(now_);
  for (const Team& team : settings_.teams)
    if (!(checker_.used(team.name) + Quota{2000, 0}).fits_in(team.limit)) ++seen_["a team at its limit"];
  meet_ends();
  after(millis(100), [this] { machines_step(); });
}

void SimulatedCluster::report(Cloud::Machine& machine) {
  Worker& worker = *machine.worker;
  if (worker.target.empty()) worker.target = nodes_[worker.next_node++ % nodes_.size()]->host;
  const std::string name = machine.name, host = worker.target;
  const std::string body = worker.report(now_);
  const std::uint64_t number = worker.report_number;
  auto with_worker = [this, name, number](const std::function<void(Worker&)>& f) {
    auto it = cloud_.machines().find(name);
    if (it == cloud_.machines().end() || it->second.dead || !it->second.worker) return;
    Worker& w = *it->second.worker;
    if (w.reporting() && w.report_number == number && !w.hanging) f(w);
  };
  auto copy = [this, body] {
    Node& any = *nodes_[static_cast<std::size_t>(pick(3))];
    auto copy = wire::parse_heartbeat(body);
    const std::uint64_t request = any.next_request++;
    on_node(any, any.life,
            [request, copy](Controller& c) { c.on_heartbeat(request, std::get<Heartbeat>(copy)); });
  };
  copy_later(copy);
  if (now_ < reports_late_until_ && chance() < 0.4) {
    ++seen_["copies of reports"];
    after(seconds(2) + Micros{static_cast<std::int64_t>(static_cast<double>(settings_.worker_lease.count()) *
                                                        1.6 * chance())},
          copy);
  }
  if (worker.mute) {
    ++seen_["reports that reached nobody"];
    return after(millis(500),
                 [this, with_worker] { with_worker([this](Worker& w) { w.report_failed(now_); }); });
  }
  after(seconds(4), [this, with_worker] { with_worker([this](Worker& w) { w.report_failed(now_); }); });
  for (auto& node : nodes_) {
    if (node->host != host) continue;
    send(name, host, [this, node = node.get(), body, name, with_worker] {
      if (!node->up) return with_worker([this](Worker& w) { w.report_failed(now_); });
      const std::uint64_t request = node->next_request++;
      node->workers[request] = [this, node, name, with_worker](const HeartbeatReply& reply) {
        HeartbeatReply sent = with_planted_defect(reply);
        if (plan_.planted_defect == PlantedDefect::start_cancelled)
          for (const Command& o : reply.commands)
            if (o.kind == Command::Kind::stop)
              sent.commands.push_back({Command::Kind::start, o.task, o.attempt + 1'000'000, {}});
        count_starts(sent.commands);
        if (plan_.planted_defect == PlantedDefect::start_twice ||
            plan_.planted_defect == PlantedDefect::start_anywhere)
          for (const Command& o : reply.commands) {
            if (o.kind != Command::Kind::start) continue;
            for (auto& [other_name, other] : cloud_.machines()) {
              if (other_name == name || !other.worker || other.dead) continue;
              const JobSpec& spec = specs_.at(o.task.job);
              if (plan_.planted_defect == PlantedDefect::start_anywhere &&
                  (!spec.zone || *spec.zone == other.zone))
                continue;
              // The order must look right to the worker: its own fencing token and incarnation.
              CommandRequest order{other.name, 1, reply.fencing_token.value() + 1'000'000, {o}};
              other.worker->orders(wire::request_of(order).body, now_);
              break;
            }
          }
        const std::string text = wire::body_of(sent);
        send(node->host, name, [this, with_worker, status = sent.status, text] {
          with_worker([&](Worker& w) {
            if (!w.deaf) w.report_answered(status, text, now_);
          });
        });
      };
      auto parsed = wire::parse_heartbeat(body);
      on_node(*node, node->life,
              [request, parsed](Controller& c) { c.on_heartbeat(request, std::get<Heartbeat>(parsed)); });
    });
  }
}

// ---- users ---------------------------------------------------------------------------------------

void SimulatedCluster::make_users() {
  for (int i = 0; i < plan_.jobs; ++i) {
    auto user = std::make_unique<User>();
    JobSpec& s = user->spec;
    s.id = "run-" + std::to_string(1000 + pick(100'000) * 100 + i);
    s.team = chance() < 0.5 ? "blue" : "green";
    s.job_class = "class";
    s.image = "image-" + std::to_string(pick(3));
    s.image_gb = 1.0;
    s.each = {2000, 0, 4000};
    if (chance() < (plan_.hasty_users ? 0.03 : 0.3)) {
      s.shape = Shape::service;
      s.tasks = 1;
      s.priority = Priority::high;
    } else {
      s.tasks = static_cast<std::uint32_t>(1 + pick(24));
      s.estimate = seconds(4 + chance() * 10);
      s.spot = chance() < 0.5;
      s.deadline = seconds(120);
      if (plan_.long_tasks) {
        s.tasks = 2 + static_cast<std::uint32_t>(pick(chance() < 0.7 ? 2 : 8));
        s.estimate = seconds(30 + chance() * 50);
      }
      if (chance() < 0.3) s.checkpoint = seconds(2), s.save = seconds(1);
      const double kind = chance() * (plan_.zone_bound ? 0.4 : 1);
      if (kind < 0.12)
        s.one_zone = true;
      else if (kind < 0.24)
        s.spread = true;
      else if (kind < 0.4)
        s.zone = chance() < 0.5 ? "east" : "west";
      if (chance() < 0.2) s.types = {"large"};
    }
    if (plan_.hasty_users && s.shape == Shape::array) {
      s.tasks = static_cast<std::uint32_t>(1 + pick(3));
      s.estimate = seconds(3 + chance() * 5);
    }
    user->submit_at = seconds(3 + chance() * (plan_.rush ? 1 : 140));
    if (chance() < 0.25 && !plan_.hasty_users) user->cancel_at = user->submit_at + seconds(2 + chance() * 40);
    specs_[s.id] = s;
    users_.push_back(std::move(user));
  }
}

/// Open connections stay where they are; a new one goes to a healthy controller.
SimulatedCluster::Node& SimulatedCluster::node_for_user() {
  Node& node = *nodes_[static_cast<std::size_t>(pick(3))];
  const bool connected = plan_.hasty_users && node.up;
  if (connected || (node.up && node.core->healthy())) return node;
  Node* chosen = &node;
  for (auto& other : nodes_)
    if (other->up && other->core->healthy()) chosen = other.get();
  return *chosen;
}

void SimulatedCluster::ask(const Question& question, const Reaction& answer) {
  ask_at(node_for_user(), question, answer);
}

void SimulatedCluster::ask_at(Node& node, const Question& question, const Reaction& answer) {
  if (!node.up) return answer(nullptr);
  auto open = std::make_shared<bool>(true);
  auto conclude = [open, answer](const UserReply* reply) {
    if (std::exchange(*open, false)) answer(reply);
  };
  const std::uint64_t request = node.next_request++;
  node.users[request] = [conclude](const UserReply& reply) { conclude(&reply); };
  after(seconds(2), [conclude] { conclude(nullptr); });
  on_node(node, node.life, [question, request](Controller& c) { question(c, request); });
}

/// What follows an acceptance at once: questions everywhere, the submission once more, and perhaps a
/// cancellation, after which all of them are asked again.
void SimulatedCluster::hurry(User& user) {
  if (std::exchange(user.hurried, true)) return;
  ++seen_["jobs asked about at once"];
  look_closely(user);
  after(millis(pick(300)), [this, &user] { submit(user, now_); });
  if (chance() < 0.5) return;
  ++seen_["jobs cancelled at once"];
  after(millis(pick(300)), [this, &user] { cancel(user); });
}

void SimulatedCluster::look_closely(User& user) {
  for (auto& node : nodes_) {
    const Micros asked = now_;
    ask_at(
        *node, [id = user.spec.id](Controller& c, std::uint64_t r) { c.on_poll(r, id); },
        [this, &user, asked](const UserReply* reply) {
          if (reply != nullptr && reply->status != 503)
            checker_.told(user.spec.id, reply->status, reply->phase, asked, now_);
        });
  }
}

void SimulatedCluster::submit(User& user, Micros since) {
  const Micros asked = now_;
  ask([spec = user.spec](Controller& c, std::uint64_t r) { c.on_submit(r, spec); },
      [this, &user, since, asked](const UserReply* reply) {
        if (reply != nullptr && (reply->status == 200 || reply->status == 201)) {
          checker_.accepted(user.spec.id, now_);
          checker_.told(user.spec.id, reply->status, reply->phase, asked, now_);
          user.accepted = true;
          after(seconds(4 + chance()), [this, &user] { poll(user); });
          if (plan_.hasty_users) hurry(user);
          if (user.cancel_at) at(std::max(now_, *user.cancel_at), [this, &user] { cancel(user); });
        } else if (now_ - since < seconds(60)) {
          after(seconds(1), [this, &user, since] { submit(user, since); });
        }
      });
}

void SimulatedCluster::poll(User& user) {
  const Micros asked = now_;
  ask([id = user.spec.id](Controller& c, std::uint64_t r) { c.on_poll(r, id); },
      [this, &user, asked](const UserReply* reply) {
        const bool ignored =
            plan_.planted_defect == PlantedDefect::ignore_one && &user == users_.front().get();
        if (reply == nullptr || reply->status == 503 || ignored) {
          checker_.unanswered(user.spec.id, now_);
        } else {
          UserReply seen = *reply;
          if (plan_.planted_defect == PlantedDefect::deny_jobs) seen.status = 404;
          if (plan_.planted_defect == PlantedDefect::call_done_early && seen.phase == JobPhase::running)
            seen.phase = JobPhase::done;
          if (plan_.planted_defect == PlantedDefect::take_back && seen.phase == JobPhase::done &&
              user.last == JobPhase::done)
            seen.phase = JobPhase::running;
          checker_.told(user.spec.id, seen.status, seen.phase, asked, now_);
          user.last = seen.phase;
          user.over |= is_final(seen.phase);
        }
        after(seconds(user.over ? 25 + chance() * 30 : 5), [this, &user] { poll(user); });
      });
}

void SimulatedCluster::cancel(User& user) {
  user.cancelling = true;
  checker_.asked_to_cancel(user.spec.id);
  const Micros asked = now_;
  ask([id = user.spec.id](Controller& c, std::uint64_t r) { c.on_cancel(r, id); },
      [this, &user, asked](const UserReply* reply) {
        if (reply != nullptr && reply->status == 200) {
          checker_.told(user.spec.id, 200, reply->phase, asked, now_);
          if (!refused_hosts_.empty()) ++seen_["cancelled while one is refused"];
          if (!cuts_.empty()) ++seen_["cancelled during a cut"];
          user.last = reply->phase;
          user.over = true;
          if (plan_.hasty_users) look_closely(user);
        } else {
          if (reply != nullptr) checker_.told(user.spec.id, reply->status, reply->phase, asked, now_);
          after(seconds(1), [this, &user] { cancel(user); });
        }
      });
}

void SimulatedCluster::ask_about_nothing() {
  const std::string id = "run-7";
  ask([id](Controller& c, std::uint64_t r) { c.on_poll(r, id); },
      [this, id](const UserReply* reply) {
        const int status = reply == nullptr                                          ? 503
                           : plan_.planted_defect == PlantedDefect::confirm_anything ? 200
                                                                                     : reply->status;
        checker_.told(id, status, JobPhase::pending, now_, now_);
      });
  after(seconds(11), [this] { ask_about_nothing(); });
  if (!plan_.odd_requests) return;
  // A repeat is known by its id alone, whatever else it says.
  User& again = *users_[static_cast<std::size_t>(pick(static_cast<int>(users_.size())))];
  if (again.accepted) {
    const Micros asked = now_;
    ask([id = again.spec.id](Controller& c, std::uint64_t r) { c.on_malformed(r, id, "crew: missing"); },
        [this, &again, asked](const UserReply* reply) {
          if (reply != nullptr) checker_.told(again.spec.id, reply->status, reply->phase, asked, now_);
        });
  }
  JobSpec unfit = users_.front()->spec;
  unfit.id = "run-8";
  if (chance() < 0.5)
    unfit.team = "nobody";
  else
    unfit.types = {"nothing"};
  checker_.unfit(unfit.id);
  ask([unfit](Controller& c, std::uint64_t r) { c.on_submit(r, unfit); },
      [this, id = unfit.id](const UserReply* reply) {
        const bool accepted =
            plan_.planted_defect == PlantedDefect::accept_unfit && reply != nullptr && reply->status == 422;
        if (reply != nullptr)
          checker_.told(id, accepted ? 201 : reply->status, JobPhase::pending, now_, now_);
      });
}

void SimulatedCluster::ask_as_operator() {
  using What = AdminRequest::What;
  for (auto& node : nodes_) {
    for (const What what : {What::policy, What::shards, What::machines, What::jobs, What::negotiations})
      on_node(*node, node->life, [what, request = node->next_request++](Controller& c) {
        c.on_admin(request, {what, {}});
      });
  }
  after(seconds(17), [this] { ask_as_operator(); });
}

// ---- troubles ------------------------------------------------------------------------------------

void SimulatedCluster::copy_later(std::function<void()> deliver) {
  if (!plan_.troubles || chance() > 0.02) return;
  after(seconds(0.5 + chance() * 40), std::move(deliver));
}

std::string SimulatedCluster::a_machine() {
  std::vector<std::string> names;
  for (auto& [name, m] : cloud_.machines())
    if (m.worker && !m.dead) names.push_back(name);
  return names.empty() ? "" : names[static_cast<std::size_t>(pick(static_cast<int>(names.size())))];
}

void SimulatedCluster::calm() {
  for (auto& [name, m] : cloud_.machines())
    if (m.worker) {
      m.worker->sick = m.worker->hanging = false;
      if (!plan_.deaf_for_good) m.worker->deaf = false;
      m.worker->mute = false;
    }
  // The last of the troubles that are under way ends within this.
  after(seconds(35), [this] { checker_.calm(now_); });
}

void SimulatedCluster::trouble() {
  if (now_ > plan_.trouble_until) return calm();
  // Drawn from the kinds that there were when days were found that are kept as tests.
  const int kinds =
      static_cast<int>(plan_.wide ? FaultKind::late_transactions : FaultKind::controller_freezes);
  start(plan_.only.empty() ? static_cast<FaultKind>(pick(kinds))
                           : plan_.only[static_cast<std::size_t>(pick(static_cast<int>(plan_.only.size())))]);
  after(seconds(1 + chance() * 14), [this] { trouble(); });
}

void SimulatedCluster::start(FaultKind kind) { inject(kind, nullptr); }

SimulatedCluster::Node& SimulatedCluster::leader() {
  auto machines = [](const std::unique_ptr<Node>& n) {
    std::size_t all = 0;
    if (n->core)
      for (const auto& [name, shard] : n->core->state().shards) all += shard.machines.size();
    return all;
  };
  return **std::max_element(nodes_.begin(), nodes_.end(),
                            [&](const auto& a, const auto& b) { return machines(a) < machines(b); });
}

std::vector<std::string> SimulatedCluster::busiest_machines(int count) {
  std::vector<std::pair<std::size_t, std::string>> all;
  for (auto& [name, m] : cloud_.machines())
    if (m.worker && !m.dead) all.emplace_back(m.worker->busy(), name);
  std::sort(all.rbegin(), all.rend());
  std::vector<std::string> out;
  for (const auto& [tasks, name] : all)
    if (static_cast<int>(out.size()) < count) out.push_back(name);
  return out;
}

/// Within a fifth of a second, as the users of jobs with long to go would.
void SimulatedCluster::cancel_some(int count, Micros machines_hang) {
  for (const std::string& name : busiest_machines(machines_hang > Micros{0} ? count : 0)) {
    cloud_.machines().at(name).worker->hanging = true;
    ++seen_["machines hang at cancellations"];
    after(machines_hang, [this, name] {
      if (auto it = cloud_.machines().find(name); it != cloud_.machines().end() && it->second.worker)
        it->second.worker->hanging = false;
    });
  }
  for (auto& user : users_) {
    if (count <= 0) return;
    if (!user->accepted || user->over || user->cancelling || !checker_.runs(user->spec.id)) continue;
    --count;
    ++seen_["cancelled at one moment"];
    after(millis(pick(200)), [this, u = user.get()] { cancel(*u); });
  }
}

/// As the last task of a job ends, its user cancels it, asks, and submits it again, at random.
void SimulatedCluster::meet_ends() {
  if (now_ >= ends_met_until_) return;
  for (auto& user : users_) {
    if (!user->accepted || user->end_met || user->over ||
        checker_.completed(user->spec.id) < user->spec.tasks)
      continue;
    user->end_met = true;
    ++seen_["ends met"];
    after(millis(pick(700)), [this, u = user.get()] {
      if (!u->cancelling && chance() < 0.5) cancel(*u);
    });
    after(millis(pick(700)), [this, u = user.get()] { submit(*u, now_); });
  }
}

/// Once the troubles are over: a job that waits while a machine that fits has room, and its team is under its
/// limit.
void SimulatedCluster::look_for_neglect() {
  after(seconds(1), [this] { look_for_neglect(); });
  if (!checker_.calm()) return;
  for (const auto& user : users_) {
    const JobSpec& s = user->spec;
    bool could = false;
    if (user->accepted && checker_.waits(s.id) &&
        (checker_.used(s.team) + quota_of(s.each)).fits_in(settings_.team(s.team)->limit)) {
      const std::vector<std::string> zones = checker_.zones_of(s.id);
      for (const auto& [name, m] : cloud_.machines()) {
        if (!m.worker || m.dead || !m.worker->well() || (m.spot && !s.spot) || !s.allows_type(m.type) ||
            (s.zone && *s.zone != m.zone) || !s.each.fits_in(m.worker->free()))
          continue;
        const auto here = static_cast<std::size_t>(std::count(zones.begin(), zones.end(), m.zone));
        if ((s.one_zone && here < zones.size()) || (s.spread && here >= (s.tasks + 1) / 2)) continue;
        could = true;
      }
    }
    checker_.could_run(s.id, could, now_);
  }
}

void SimulatedCluster::inject(FaultKind kind, const ScheduledFault* planned) {
  Node& node = planned == nullptr         ? *nodes_[static_cast<std::size_t>(pick(3))]
               : planned->node == kLeader ? leader()
                                          : *nodes_[static_cast<std::size_t>(planned->node)];
  const bool hold = planned == nullptr ? chance() < 0.5 : planned->hold;
  const Micros span = planned == nullptr ? seconds(3 + chance() * 30) : planned->span;
  const std::vector<std::string> victims =
      planned == nullptr ? std::vector<std::string>{a_machine()} : busiest_machines(planned->count);
  const std::string victim = victims.empty() ? "" : victims.front();
  // Drawn days last as long as each kind always did.
  auto lasts = [&](double least, double more) {
    return planned == nullptr ? seconds(least + chance() * more) : span;
  };
  auto with_victim = [this, victims](const std::function<void(Cloud::Machine&)>& f) {
    for (const std::string& name : victims)
      if (auto it = cloud_.machines().find(name); it != cloud_.machines().end() && it->second.worker)
        f(it->second);
  };
  if (planned != nullptr) ++seen_["strikes"];
  auto cut_workers = [&](const Node& n, const std::string& zone) {
    for (auto& [name, m] : cloud_.machines())
      if (m.worker && !m.dead && (zone.empty() || m.zone == zone)) cut(n.host, name, hold, span);
  };
  auto cut_peers = [&](const Node& n) {
    for (auto& other : nodes_)
      if (other->host != n.host) cut(n.host, other->host, hold, span);
  };
  // Back within a fraction of a second, or after a while.
  auto back_in = [&] {
    if (planned != nullptr) return span;
    return seconds(chance() < 0.4 ? 0.02 + chance() * 0.3 : 0.5 + chance() * 6);
  };
  if (plan_.verbose)
    std::printf("%9.3f ---- trouble %d at %s or %s for %.1f s\n", in_seconds(now_), static_cast<int>(kind),
                node.host.c_str(), victim.c_str(), in_seconds(span));
  switch (kind) {
    case FaultKind::crash:
      return crash(node, back_in());
    case FaultKind::crash_all:
      for (auto& n : nodes_) crash(*n, back_in());
      return;
    case FaultKind::lose_state:
      return cut(node.host, kState, hold, span);
    case FaultKind::lose_workers:
      return cut_workers(node, "");
    case FaultKind::lose_peers:
      return cut_peers(node);
    case FaultKind::lose_state_and_peers:
      cut(node.host, kState, hold, span);
      return cut_peers(node);
    case FaultKind::state_outage:
      state_.outage(true, now_);
      state_out_ = true;
      return after(lasts(2, 16), [this] {
        state_.outage(false, now_);
        state_out_ = false;
      });
    case FaultKind::state_slow:
      state_slowness_ = 30;
      return after(span, [this] { state_slowness_ = 1; });
    case FaultKind::state_flicker:
      for (auto& n : nodes_) cut(n->host, kState, hold, lasts(1, 4));
      return;
    case FaultKind::machine_dies:
      return with_victim([this](Cloud::Machine& m) {
        for (const auto& [id, spec] : specs_)
          if ((spec.zone || spec.one_zone) && checker_.runs(id, m.name)) ++seen_["zone-bound tasks lost"];
        cloud_.die(m);
      });
    case FaultKind::machine_hangs:
      with_victim([](Cloud::Machine& m) { m.worker->hanging = true; });
      return after(lasts(2, 11),
                   [with_victim] { with_victim([](Cloud::Machine& m) { m.worker->hanging = false; }); });
    case FaultKind::machine_sick:
      return with_victim([](Cloud::Machine& m) { m.worker->sick = true; });
    case FaultKind::machine_cut:
      for (auto& n : nodes_)
        for (const std::string& name : victims) cut(n->host, name, hold, span);
      return;
    case FaultKind::machine_deaf:
      with_victim([](Cloud::Machine& m) { m.worker->deaf = true; });
      // A drawn one stays so until all is calm.
      if (planned != nullptr)
        after(span, [with_victim] { with_victim([](Cloud::Machine& m) { m.worker->deaf = false; }); });
      return;
    case FaultKind::machine_restarts:
      return with_victim([this](Cloud::Machine& m) { m.worker->restart(now_); });
    case FaultKind::cloud_outage:
      cloud_.outage(true);
      return after(span, [this] { cloud_.outage(false); });
    case FaultKind::zones_apart:
      for (auto& n : nodes_) cut_workers(*n, "west");
      return;
    case FaultKind::peers_refuse:
      for (auto& n : nodes_) cut_peers(*n);
      return;
    case FaultKind::controller_freezes:
      node.freezes_for = planned != nullptr ? span : seconds(0.2 + chance() * chance() * 30);
      return;
    case FaultKind::state_refuses:
      refused_hosts_.insert(node.host);
      return after(span, [this, host = node.host] { refused_hosts_.erase(host); });
    case FaultKind::zone_cut:
      for (auto& n : nodes_) {
        if (n->zone != "west") {
          cut_workers(*n, "west");
          continue;
        }
        cut_workers(*n, "east");
        cut_peers(*n);
        cut(n->host, kState, hold, span);
        cut(n->host, kCloud, hold, span);
      }
      return;
    case FaultKind::machine_hangs_on:
      with_victim([](Cloud::Machine& m) { m.worker->hanging = true; });
      return after(lasts(4, 30),
                   [with_victim] { with_victim([](Cloud::Machine& m) { m.worker->hanging = false; }); });
    case FaultKind::machines_boot_badly:
      boots_badly_until_ = now_ + span;
      return;
    case FaultKind::late_transactions:
      transactions_late_until_ = now_ + span;
      return;
    case FaultKind::late_reports:
      reports_late_until_ = now_ + span;
      return;
    case FaultKind::machines_mute:
      with_victim([](Cloud::Machine& m) { m.worker->mute = true; });
      return after(span, [with_victim] { with_victim([](Cloud::Machine& m) { m.worker->mute = false; }); });
    case FaultKind::cancel_now:
      return cancel_some(planned == nullptr ? 4 : planned->count, span);
    case FaultKind::meet_ends:
      ends_met_until_ = now_ + span;
      return;
    case FaultKind::state_answers_late:
      answers_late_until_ = now_ + span;
      return;
    case FaultKind::count:
      return;
  }
}

// ---- the day -------------------------------------------------------------------------------------

void SimulatedCluster::play() {
  for (auto& node : nodes_) after(millis(pick(1000)), [this, node = node.get()] { start(*node); });
  for (auto& user : users_)
    at(user->submit_at, [this, u = user.get()] {
      checker_.submitted(u->spec);
      submit(*u, now_);
    });
  after(millis(100), [this] { machines_step(); });
  after(seconds(9), [this] { ask_about_nothing(); });
  if (plan_.operators_ask) after(seconds(17), [this] { ask_as_operator(); });
  after(seconds(1), [this] { look_for_neglect(); });
  for (const ScheduledFault& planned : plan_.faults)
    at(planned.at, [this, &planned] { inject(planned.kind, &planned); });
  if (!plan_.faults.empty())
    at(plan_.trouble_until, [this] { calm(); });
  else if (plan_.troubles)
    at(plan_.trouble_from, [this] { trouble(); });
  else
    checker_.calm(now_);
  while (!events_.empty() && events_.begin()->first.first <= plan_.end) {
    now_ = events_.begin()->first.first;
    auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  checker_.end();
  if (!plan_.verbose) return;
  for (const auto& node : nodes_)
    if (node->core)
      std::printf("%s\n%s\n%s\n%s\n", node->host.c_str(),
                  overview::shards(node->core->state()).dump(1).c_str(),
                  overview::jobs(node->core->state()).dump(1).c_str(),
                  overview::machines(node->core->state()).dump(1).c_str());
}

std::set<std::string> SimulatedCluster::passed_over() const {
  std::set<std::string> out;
  for (const auto& node : nodes_)
    for (const auto& [name, shard] : node->core->state().shards)
      for (const auto& [id, job] : shard.jobs)
        if (job.overflow > 0 && !job.refused && !job.quota_share_exhausted) out.insert(id);
  return out;
}

std::size_t SimulatedCluster::deaf_machines() {
  std::size_t n = 0;
  for (auto& [name, m] : cloud_.machines()) n += m.worker && !m.dead && m.worker->deaf ? 1 : 0;
  return n;
}

std::vector<std::string> SimulatedCluster::unfinished() const {
  std::vector<std::string> out;
  for (const auto& user : users_) {
    if (!user->accepted) {
      out.push_back(user->spec.id + " was not accepted");
    } else if (user->spec.shape == Shape::service && !user->cancel_at && !user->cancelling) {
      if (!checker_.runs(user->spec.id)) out.push_back(user->spec.id + " does not run");
    } else if (!user->over) {
      out.push_back(user->spec.id + " is not over");
    }
  }
  return out;
}

}  // namespace bendtide::sim
