// Faults of machines and of the network links to them.

#include "sim/fault_injector.h"

namespace bendtide::sim {

void FaultInjector::set_worker_flag(const std::vector<std::string>& machines, bool SimulatedWorker::*flag,
                                    bool value) {
  for (const std::string& name : machines) {
    const auto machine = machines_.cloud().machines().find(name);
    if (machine != machines_.cloud().machines().end() && machine->second.worker)
      machine->second.worker.get()->*flag = value;
  }
}

// ---- network links to machines ------------------------------------------------------------------

void FaultInjector::cut_workers(const ControllerHost& host, const std::string& zone,
                                const Injection& injection) {
  for (const std::string& machine : machines_.machines_up(zone))
    network_.partition(host.name, machine, injection.hold, injection.duration);
}

void FaultInjector::cut_from_workers(const Injection& injection) {
  cut_workers(*injection.controller, "", injection);
}

void FaultInjector::cut_west_workers(const Injection& injection) {
  for (auto& host : controllers_.hosts()) cut_workers(*host, "west", injection);
}

void FaultInjector::partition_zone(const Injection& injection) {
  for (auto& host : controllers_.hosts()) {
    if (host->zone != "west") {
      cut_workers(*host, "west", injection);
      continue;
    }
    cut_workers(*host, "east", injection);
    cut_peers(*host, injection);
    network_.partition(host->name, kStoreAddress, injection.hold, injection.duration);
    network_.partition(host->name, kCloudAddress, injection.hold, injection.duration);
  }
}

void FaultInjector::partition_machines(const Injection& injection) {
  for (auto& host : controllers_.hosts())
    for (const std::string& machine : injection.machines)
      network_.partition(host->name, machine, injection.hold, injection.duration);
}

void FaultInjector::make_unreachable_inbound(const Injection& injection) {
  set_worker_flag(injection.machines, &SimulatedWorker::unreachable_inbound, true);
  // If the fault was drawn at random, the machines stay unreachable until all faults end.
  if (!injection.scheduled) return;
  environment_.simulation.schedule_after(injection.duration, [this, machines = injection.machines] {
    set_worker_flag(machines, &SimulatedWorker::unreachable_inbound, false);
  });
}

void FaultInjector::make_unreachable_outbound(const Injection& injection) {
  set_worker_flag(injection.machines, &SimulatedWorker::unreachable_outbound, true);
  environment_.simulation.schedule_after(injection.duration, [this, machines = injection.machines] {
    set_worker_flag(machines, &SimulatedWorker::unreachable_outbound, false);
  });
}

// ---- machines -----------------------------------------------------------------------------------

void FaultInjector::kill_machines(const Injection& injection) {
  for (const std::string& name : injection.machines) {
    const auto machine = machines_.cloud().machines().find(name);
    if (machine == machines_.cloud().machines().end() || !machine->second.worker) continue;
    count_zone_bound_jobs(name);
    SimulatedCloud::kill(machine->second);
  }
}

void FaultInjector::count_zone_bound_jobs(const std::string& machine) {
  for (const auto& [id, job] : environment_.jobs)
    if ((job.zone || job.one_zone) && environment_.checker.is_running_on(id, machine))
      environment_.evidence.add(Evidence::zone_bound_task_lost);
}

void FaultInjector::hang(const std::vector<std::string>& machines, Micros duration) {
  set_worker_flag(machines, &SimulatedWorker::hanging, true);
  environment_.simulation.schedule_after(duration, [this, machines] {
    set_worker_flag(machines, &SimulatedWorker::hanging, false);
    for (const std::string& machine : machines) environment_.late_start_copies.on_machine_returned(machine);
  });
}

void FaultInjector::hang_machines(const Injection& injection) {
  hang(injection.machines, duration_of(injection, 2, 13));
}

void FaultInjector::hang_machines_long(const Injection& injection) {
  hang(injection.machines, duration_of(injection, 4, 34));
}

void FaultInjector::fail_tasks(const Injection& injection) {
  set_worker_flag(injection.machines, &SimulatedWorker::fails_tasks, true);
}

void FaultInjector::restart_workers(const Injection& injection) {
  for (const std::string& machine : injection.machines)
    if (SimulatedWorker* worker = machines_.running_worker(machine)) {
      worker->restart(environment_.simulation.now());
      environment_.late_start_copies.on_machine_returned(machine);
    }
}

void FaultInjector::delay_boots(const Injection& injection) {
  environment_.faults.machines_boot_late_until = environment_.simulation.now() + injection.duration;
}

void FaultInjector::duplicate_heartbeats(const Injection& injection) {
  environment_.faults.heartbeats_duplicated_until = environment_.simulation.now() + injection.duration;
}

}  // namespace bendtide::sim
