#include "sim/simulated_controllers.h"

#include <cstdio>

#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

constexpr Micros kTickInterval = millis(50);
constexpr Micros kMaxStartDelay = millis(1000);
constexpr Micros kUserTimeout = seconds(2);
constexpr Micros kWallClockOffset = seconds(1'000'000);
constexpr double kClockDriftRange = 0.001;
constexpr double kClockOffsetRangeSeconds = 1000;

}  // namespace

SimulatedControllers::SimulatedControllers(Environment& environment, SimulatedMachines& machines,
                                           SimulatedNetwork& network)
    : environment_(environment), machines_(machines), network_(network) {
  Simulation& simulation = environment_.simulation;
  for (int i = 0; i < kCount; ++i) {
    auto host = std::make_unique<ControllerHost>();
    host->name = "node-" + std::to_string(i);
    host->clock_drift = (simulation.random_fraction() - 0.5) * kClockDriftRange;
    host->clock_offset = seconds(simulation.random_fraction() * kClockOffsetRangeSeconds);
    if (environment_.scenario.has_extended_faults && i == 2) host->zone = "west";
    hosts_.push_back(std::move(host));
  }
}

// ---- processes ----------------------------------------------------------------------------------

void SimulatedControllers::start_all() {
  Simulation& simulation = environment_.simulation;
  for (auto& host : hosts_) {
    const Micros delay = millis(simulation.random_index(static_cast<int>(kMaxStartDelay / millis(1))));
    simulation.schedule_after(delay, [this, host = host.get()] { start(*host); });
  }
}

void SimulatedControllers::start(ControllerHost& host) {
  Settings settings = environment_.settings;
  settings.host = host.name;
  settings.zone = host.zone;
  for (const auto& other : hosts_)
    if (other->name != host.name) settings.peers.push_back({other->name, other->zone, other->name});
  environment_.late_start_copies.on_controller_returned(host.name);
  host.incarnation = ++started_processes_;
  host.core = std::make_unique<Controller>(environment_.defects.controller_settings(settings),
                                           "life-" + std::to_string(host.incarnation), host.incarnation);
  host.core->set_debug_enabled(environment_.scenario.verbose);
  tick(host, host.incarnation);
}

void SimulatedControllers::crash(ControllerHost& host, Micros restart_after) {
  if (!host.is_up()) return;
  awards_by_ended_processes_ += host.core->contract_net().counters().awards;
  host.core.reset();
  host.paused_until = Micros{0};
  host.next_pause = Micros{0};
  host.user_requests.clear();
  host.heartbeats.clear();
  environment_.simulation.schedule_after(restart_after, [this, &host] { start(host); });
}

void SimulatedControllers::tick(ControllerHost& host, std::uint64_t incarnation) {
  if (!host.is_up() || host.incarnation != incarnation) return;
  deliver(host, incarnation, [](Controller& core) { core.tick(); });
  if (host.is_up() && host.incarnation == incarnation)
    for (const auto& [name, shard] : host.core->state().shards)
      if (!shard.sums_are_consistent()) ++inconsistent_sum_count_;
  environment_.simulation.schedule_after(kTickInterval,
                                         [this, &host, incarnation] { tick(host, incarnation); });
}

void SimulatedControllers::deliver(ControllerHost& host, std::uint64_t incarnation, const Event& event) {
  if (!host.is_up() || host.incarnation != incarnation) return;
  Simulation& simulation = environment_.simulation;
  if (simulation.now() < host.paused_until)
    return simulation.schedule_at(host.paused_until,
                                  [this, &host, incarnation, event] { deliver(host, incarnation, event); });
  host.core->set_clocks(steady_time(host), simulation.now() + kWallClockOffset);
  event(*host.core);
  if (host.next_pause == Micros{0}) return perform_actions(host, incarnation);
  host.paused_until = simulation.now() + std::exchange(host.next_pause, Micros{0});
  simulation.schedule_at(host.paused_until,
                         [this, &host, incarnation] { perform_actions(host, incarnation); });
}

void SimulatedControllers::perform_actions(ControllerHost& host, std::uint64_t incarnation) {
  if (!host.is_up() || host.incarnation != incarnation) return;
  for (const Action& action : host.core->take_actions(steady_time(host))) {
    if (observer_) observer_(host.name, action);
    std::visit([&](const auto& typed_action) { perform(host, typed_action); }, action);
  }
}

Micros SimulatedControllers::steady_time(const ControllerHost& host) const {
  const auto now = static_cast<double>(environment_.simulation.now().count());
  return Micros{static_cast<std::int64_t>(now * (1.0 + host.clock_drift))} + host.clock_offset;
}

// ---- requests from users, workers and operators -------------------------------------------------

void SimulatedControllers::send_user_request(ControllerHost& host, const UserRequest& request,
                                             const UserReaction& reaction) {
  if (!host.is_up()) return reaction(nullptr);
  auto pending = std::make_shared<bool>(true);
  auto complete = [pending, reaction](const UserReply* reply) {
    if (std::exchange(*pending, false)) reaction(reply);
  };
  const std::uint64_t number = host.next_request++;
  host.user_requests[number] = [complete](const UserReply& reply) { complete(&reply); };
  environment_.simulation.schedule_after(kUserTimeout, [complete] { complete(nullptr); });
  deliver(host, host.incarnation, [request, number](Controller& core) { request(core, number); });
}

void SimulatedControllers::deliver_heartbeat(ControllerHost& host, const std::string& body,
                                             HeartbeatReaction reaction) {
  const std::uint64_t number = host.next_request++;
  if (reaction) host.heartbeats[number] = std::move(reaction);
  const auto heartbeat = std::get<Heartbeat>(wire::parse_heartbeat(body));
  deliver(host, host.incarnation,
          [number, heartbeat](Controller& core) { core.on_heartbeat(number, heartbeat); });
}

void SimulatedControllers::deliver_admin_request(ControllerHost& host, const AdminRequest& request) {
  const std::uint64_t number = host.next_request++;
  deliver(host, host.incarnation, [number, request](Controller& core) { core.on_admin(number, request); });
}

// ---- queries ------------------------------------------------------------------------------------

ControllerHost* SimulatedControllers::find(const std::string& host) {
  for (auto& candidate : hosts_)
    if (candidate->name == host) return candidate.get();
  return nullptr;
}

ControllerHost& SimulatedControllers::host_with_most_machines() {
  auto machines = [](const std::unique_ptr<ControllerHost>& host) {
    std::size_t count = 0;
    if (host->is_up())
      for (const auto& [name, shard] : host->core->state().shards) count += shard.machines.size();
    return count;
  };
  return **std::max_element(hosts_.begin(), hosts_.end(), [&](const auto& one, const auto& other) {
    return machines(one) < machines(other);
  });
}

std::uint64_t SimulatedControllers::award_count() const {
  std::uint64_t awards = awards_by_ended_processes_;
  for (const auto& host : hosts_)
    if (host->is_up()) awards += host->core->contract_net().counters().awards;
  return awards;
}

void SimulatedControllers::report_starts_to_checker(const std::vector<Command>& commands) {
  const Micros now = environment_.simulation.now();
  for (const Command& command : commands) {
    if (command.kind != Command::Kind::start) continue;
    const bool after_cancel = environment_.checker.start_commanded(command.task, now);
    if (after_cancel && environment_.scenario.verbose)
      std::printf("%9.3f ---- start command for task %s/%u of a cancelled job\n", in_seconds(now),
                  command.task.job.c_str(), command.task.index);
  }
}

}  // namespace bendtide::sim
