#include "sim/simulated_cluster.h"

#include <cstdio>

#include "core/controller/overview.h"

namespace bendtide::sim {

namespace {

constexpr Micros kMachineUpdateInterval = millis(100);
constexpr Micros kCopyInterval = millis(250);
constexpr Micros kUnusualRequestsStart = seconds(9);
constexpr Micros kAdminRequestInterval = seconds(17);
constexpr Micros kNeglectCheckStart = seconds(1);
constexpr Quota kSmallestTaskSize{2000, 0};

}  // namespace

SimulatedCluster::SimulatedCluster(const FaultScenario& scenario)
    : environment_(scenario),
      machines_(environment_),
      network_(environment_, machines_),
      controllers_(environment_, machines_, network_),
      heartbeats_(environment_, machines_, network_, controllers_),
      users_(environment_, network_, controllers_),
      neglect_check_(environment_, machines_, users_),
      fault_injector_(environment_, machines_, network_, controllers_, users_) {
  machines_.add_initial();
  users_.create_users();
}

void SimulatedCluster::run() {
  Simulation& simulation = environment_.simulation;
  const FaultScenario& scenario = environment_.scenario;
  controllers_.start_all();
  users_.start();
  simulation.schedule_after(kMachineUpdateInterval, [this] { advance_machines(); });
  if (scenario.late_start_copies)
    simulation.schedule_after(kCopyInterval, [this] { deliver_late_start_copies(); });
  simulation.schedule_after(kUnusualRequestsStart, [this] { users_.send_unusual_requests(); });
  if (scenario.operators_poll)
    simulation.schedule_after(kAdminRequestInterval, [this] { send_admin_requests(); });
  simulation.schedule_after(kNeglectCheckStart, [this] { neglect_check_.run_periodically(); });
  fault_injector_.start();
  simulation.run_until(scenario.end);
  environment_.checker.check_at_end();
  if (scenario.verbose) print_states();
}

void SimulatedCluster::advance_machines() {
  const Micros now = environment_.simulation.now();
  for (auto& [name, machine] : machines_.cloud().machines()) {
    if (!machine.is_up()) continue;
    machine.worker->advance(now);
    max_failures_on_a_machine_ = std::max(max_failures_on_a_machine_, machine.worker->failed_tasks);
    if (machine.worker->heartbeat_due(now)) heartbeats_.send(machine);
  }
  environment_.checker.check_cancelled_jobs(now);
  count_teams_at_limit();
  users_.race_job_ends();
  environment_.simulation.schedule_after(kMachineUpdateInterval, [this] { advance_machines(); });
}

void SimulatedCluster::deliver_late_start_copies() {
  const auto reachable_worker = [this](const std::string& machine) {
    SimulatedWorker* worker = machines_.running_worker(machine);
    return worker == nullptr || worker->hanging || worker->unreachable_inbound ? nullptr : worker;
  };
  environment_.late_start_copies.deliver(reachable_worker, environment_.simulation.now());
  environment_.simulation.schedule_after(kCopyInterval, [this] { deliver_late_start_copies(); });
}

void SimulatedCluster::count_teams_at_limit() {
  for (const Team& team : environment_.settings.teams)
    if (!(environment_.checker.used(team.name) + kSmallestTaskSize).fits_in(team.limit))
      environment_.evidence.add(Evidence::team_at_limit);
}

void SimulatedCluster::send_admin_requests() {
  using Kind = AdminRequest::Kind;
  for (auto& host : controllers_.hosts())
    for (const Kind page : {Kind::policy, Kind::shards, Kind::machines, Kind::jobs, Kind::negotiations})
      controllers_.deliver_admin_request(*host, {page, {}});
  environment_.simulation.schedule_after(kAdminRequestInterval, [this] { send_admin_requests(); });
}

void SimulatedCluster::print_states() const {
  for (const auto& host : controllers_.hosts()) {
    if (!host->is_up()) continue;
    const ControllerState& state = host->core->state();
    std::printf("%s\n%s\n%s\n%s\n", host->name.c_str(), overview::shards(state).dump(1).c_str(),
                overview::jobs(state).dump(1).c_str(), overview::machines(state).dump(1).c_str());
  }
}

std::set<std::string> SimulatedCluster::unprovisioned_jobs() const {
  std::set<std::string> ids;
  for (const auto& host : controllers_.hosts())
    for (const auto& [name, shard] : host->core->state().shards)
      for (const auto& [id, job] : shard.jobs)
        if (job.tasks_without_capacity > 0 && !job.needs_machines && !job.quota_share_exhausted)
          ids.insert(id);
  return ids;
}

std::size_t SimulatedCluster::unreachable_machine_count() const {
  const auto& machines = machines_.cloud().machines();
  return static_cast<std::size_t>(std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second.is_up() && entry.second.worker->unreachable_inbound;
  }));
}

}  // namespace bendtide::sim
