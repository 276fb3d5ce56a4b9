#include "sim/fault_injector.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace bendtide::sim {

namespace {

/// The time until the checker is told that all faults are over. Longer than any fault drawn at random, so
/// that one injected last has ended.
constexpr Micros kSettleDelay = seconds(35);
constexpr int kJobsCancelledTogether = 4;

}  // namespace

const std::vector<FaultInjector::Kind>& FaultInjector::kinds() {
  using enum FaultKind;
  using F = FaultInjector;
  static const std::vector<Kind> all{
      {controller_crashes, &F::crash_controller},
      {all_controllers_crash, &F::crash_all_controllers},
      {store_unreachable, &F::cut_from_store},
      {workers_unreachable, &F::cut_from_workers},
      {peers_unreachable, &F::cut_from_peers},
      {store_and_peers_unreachable, &F::cut_from_store_and_peers},
      {store_outage, &F::stop_store},
      {store_slow, &F::slow_store},
      {store_link_flaps, &F::flap_store_links},
      {machine_dies, &F::kill_machines},
      {machine_hangs, &F::hang_machines},
      {machine_fails_tasks, &F::fail_tasks},
      {machine_partitioned, &F::partition_machines},
      {machine_unreachable_inbound, &F::make_unreachable_inbound},
      {worker_restarts, &F::restart_workers},
      {cloud_outage, &F::stop_cloud},
      {west_workers_unreachable, &F::cut_west_workers},
      {peer_links_down, &F::cut_all_peer_links},
      {controller_pauses, &F::pause_controller},
      {store_refuses, &F::refuse_at_store},
      {zone_partitioned, &F::partition_zone},
      {machine_hangs_long, &F::hang_machines_long},
      {machines_boot_late, &F::delay_boots},
      {late_transactions, &F::delay_transactions},
      {late_heartbeats, &F::duplicate_heartbeats},
      {machines_unreachable_outbound, &F::make_unreachable_outbound},
      {cancel_together, &F::cancel_together},
      {race_job_ends, &F::race_job_ends},
      {late_store_responses, &F::delay_store_responses},
  };
  return all;
}

// ---- schedule ------------------------------------------------------------------------------------

void FaultInjector::start() {
  const FaultScenario& scenario = environment_.scenario;
  Simulation& simulation = environment_.simulation;
  for (const ScheduledFault& fault : scenario.faults)
    simulation.schedule_at(fault.at, [this, &fault] { inject(scheduled_injection(fault)); });
  if (!scenario.faults.empty())
    simulation.schedule_at(scenario.faults_until, [this] { end_machine_faults(); });
  else if (scenario.inject_faults)
    simulation.schedule_at(scenario.faults_from, [this] { inject_random_fault(); });
  else
    environment_.checker.set_settled(simulation.now());
}

void FaultInjector::inject_random_fault() {
  Simulation& simulation = environment_.simulation;
  if (simulation.now() > environment_.scenario.faults_until) return end_machine_faults();
  const FaultKind kind = draw_kind();
  inject(draw_injection(kind));
  simulation.schedule_after(seconds(1 + simulation.random_fraction() * 14),
                            [this] { inject_random_fault(); });
}

FaultKind FaultInjector::draw_kind() {
  const FaultScenario& scenario = environment_.scenario;
  if (!scenario.kinds.empty()) return environment_.simulation.random_element(scenario.kinds);
  // Kinds that were added later are drawn only if the scenario lists them, so that the seeds of existing
  // tests keep producing the same faults.
  const FaultKind first_not_drawn =
      scenario.has_extended_faults ? FaultKind::late_transactions : FaultKind::controller_pauses;
  return static_cast<FaultKind>(environment_.simulation.random_index(static_cast<int>(first_not_drawn)));
}

FaultInjector::Injection FaultInjector::draw_injection(FaultKind kind) {
  Simulation& simulation = environment_.simulation;
  Injection injection{kind, false, nullptr, false, Micros{0}, kJobsCancelledTogether, {}};
  injection.controller = &controllers_.random_host();
  injection.hold = simulation.random_fraction() < 0.5;
  injection.duration = seconds(3 + simulation.random_fraction() * 30);
  injection.machines = {machines_.random_machine()};
  return injection;
}

FaultInjector::Injection FaultInjector::scheduled_injection(const ScheduledFault& fault) {
  environment_.evidence.add(Evidence::scheduled_fault_injected);
  ControllerHost& controller = fault.controller == kBusiestController
                                   ? controllers_.host_with_most_machines()
                                   : *controllers_.hosts().at(static_cast<std::size_t>(fault.controller));
  const std::vector<std::string> machines =
      fault.machine.empty() ? machines_.busiest(fault.count) : std::vector{fault.machine};
  return {fault.kind, true, &controller, fault.hold, fault.duration, fault.count, machines};
}

void FaultInjector::inject(const Injection& injection) {
  if (environment_.scenario.verbose)
    std::printf("%9.3f ---- fault=%d controller=%s first_machine=%s duration_s=%.1f\n",
                in_seconds(environment_.simulation.now()), static_cast<int>(injection.kind),
                injection.controller->name.c_str(),
                injection.machines.empty() ? "" : injection.machines.front().c_str(),
                in_seconds(injection.duration));
  const auto kind = std::find_if(kinds().begin(), kinds().end(),
                                 [&](const Kind& row) { return row.kind == injection.kind; });
  if (kind == kinds().end()) throw std::logic_error("fault kind has no function that injects it");
  (this->*kind->inject)(injection);
}

void FaultInjector::end_machine_faults() {
  for (auto& [name, machine] : machines_.cloud().machines()) {
    if (!machine.worker) continue;
    machine.worker->fails_tasks = false;
    machine.worker->hanging = false;
    machine.worker->unreachable_outbound = false;
    if (!environment_.scenario.machines_stay_unreachable) machine.worker->unreachable_inbound = false;
  }
  environment_.simulation.schedule_after(
      kSettleDelay, [this] { environment_.checker.set_settled(environment_.simulation.now()); });
}

Micros FaultInjector::duration_of(const Injection& injection, double min_seconds, double max_seconds) {
  if (injection.scheduled) return injection.duration;
  return seconds(min_seconds + environment_.simulation.random_fraction() * (max_seconds - min_seconds));
}

// ---- controllers --------------------------------------------------------------------------------

Micros FaultInjector::restart_delay(const Injection& injection) {
  Simulation& simulation = environment_.simulation;
  if (injection.scheduled) return injection.duration;
  const bool soon = simulation.random_fraction() < 0.4;
  return seconds(soon ? 0.02 + simulation.random_fraction() * 0.3 : 0.5 + simulation.random_fraction() * 6);
}

void FaultInjector::crash_controller(const Injection& injection) {
  controllers_.crash(*injection.controller, restart_delay(injection));
}

void FaultInjector::crash_all_controllers(const Injection& injection) {
  for (auto& host : controllers_.hosts()) controllers_.crash(*host, restart_delay(injection));
}

void FaultInjector::pause_controller(const Injection& injection) {
  Simulation& simulation = environment_.simulation;
  injection.controller->next_pause =
      injection.scheduled ? injection.duration
                          : seconds(0.2 + simulation.random_fraction() * simulation.random_fraction() * 30);
}

void FaultInjector::cut_peers(const ControllerHost& host, const Injection& injection) {
  for (auto& other : controllers_.hosts())
    if (other->name != host.name)
      network_.partition(host.name, other->name, injection.hold, injection.duration);
}

void FaultInjector::cut_from_peers(const Injection& injection) {
  cut_peers(*injection.controller, injection);
}

void FaultInjector::cut_all_peer_links(const Injection& injection) {
  for (auto& host : controllers_.hosts()) cut_peers(*host, injection);
}

// ---- the key-value store and the cloud ----------------------------------------------------------

void FaultInjector::cut_from_store(const Injection& injection) {
  network_.partition(injection.controller->name, kStoreAddress, injection.hold, injection.duration);
}

void FaultInjector::cut_from_store_and_peers(const Injection& injection) {
  cut_from_store(injection);
  cut_from_peers(injection);
}

void FaultInjector::flap_store_links(const Injection& injection) {
  for (auto& host : controllers_.hosts())
    network_.partition(host->name, kStoreAddress, injection.hold, duration_of(injection, 1, 5));
}

void FaultInjector::stop_store(const Injection& injection) {
  auto set_outage = [this](bool on) {
    environment_.store.set_outage(on, environment_.simulation.now());
    environment_.faults.store_outage = on;
  };
  set_outage(true);
  environment_.simulation.schedule_after(duration_of(injection, 2, 18), [set_outage] { set_outage(false); });
}

void FaultInjector::slow_store(const Injection& injection) {
  environment_.faults.store_slowness = 30;
  environment_.simulation.schedule_after(injection.duration,
                                         [this] { environment_.faults.store_slowness = 1; });
}

void FaultInjector::refuse_at_store(const Injection& injection) {
  environment_.faults.refused_hosts.insert(injection.controller->name);
  environment_.simulation.schedule_after(injection.duration, [this, host = injection.controller->name] {
    environment_.faults.refused_hosts.erase(host);
  });
}

void FaultInjector::delay_transactions(const Injection& injection) {
  environment_.faults.transactions_late_until = environment_.simulation.now() + injection.duration;
}

void FaultInjector::delay_store_responses(const Injection& injection) {
  environment_.faults.store_responses_late_until = environment_.simulation.now() + injection.duration;
}

void FaultInjector::stop_cloud(const Injection& injection) {
  machines_.cloud().set_outage(true);
  environment_.simulation.schedule_after(injection.duration, [this] { machines_.cloud().set_outage(false); });
}

// ---- users --------------------------------------------------------------------------------------

void FaultInjector::cancel_together(const Injection& injection) {
  if (injection.duration > Micros{0}) {
    const std::vector<std::string> machines = machines_.busiest(injection.count);
    for (std::size_t i = 0; i < machines.size(); ++i)
      environment_.evidence.add(Evidence::machine_hung_at_cancellation);
    hang(machines, injection.duration);
  }
  users_.cancel_running_jobs(injection.count);
}

void FaultInjector::race_job_ends(const Injection& injection) {
  environment_.faults.job_ends_raced_until = environment_.simulation.now() + injection.duration;
}

}  // namespace bendtide::sim
