#include "sim/simulated_machines.h"

namespace bendtide::sim {

namespace {

constexpr Micros kServiceRunTime = seconds(100'000);  ///< longer than any scenario
// During FaultKind::machines_boot_late, boot times are multiplied by one of the factors below. The larger one
// delays the boot beyond the end of the scenario.
constexpr double kNeverBootsProbability = 0.4;
constexpr double kNeverBootsFactor = 1000;
constexpr double kLateBootFactor = 4;

std::vector<MachineType> machine_types() {
  MachineType small{"small", {8000, 0, 64000}, 50, 0.8, 0.5, 0.12, seconds(6), {"east", "west"}};
  MachineType large{"large", {16000, 0, 64000}, 50, 0.8, 0.8, 0.2, seconds(8), {"east", "west"}};
  return {small, large};
}

}  // namespace

SimulatedMachines::SimulatedMachines(Environment& environment)
    : environment_(environment),
      cloud_(machine_types(), environment.scenario.cloud_capacity,
             [this](SimulatedCloud::Machine& machine) { boot(machine); }) {}

void SimulatedMachines::add_initial() {
  for (const std::string& zone : environment_.scenario.initial_zones)
    cloud_.add("small", zone, false, Micros{0});
}

void SimulatedMachines::boot(const SimulatedCloud::Machine& machine) {
  Simulation& simulation = environment_.simulation;
  double boot_seconds = 2 + simulation.random_fraction() * 8;
  if (simulation.now() < environment_.faults.machines_boot_late_until)
    boot_seconds *=
        simulation.random_fraction() < kNeverBootsProbability ? kNeverBootsFactor : kLateBootFactor;
  simulation.schedule_after(seconds(boot_seconds), [this, name = machine.name] { start_worker(name); });
}

void SimulatedMachines::start_worker(const std::string& name) {
  const auto found = cloud_.machines().find(name);
  if (found == cloud_.machines().end() || found->second.dead) return;
  SimulatedCloud::Machine& machine = found->second;
  SimulatedWorker::Hooks hooks;
  hooks.checker = &environment_.checker;
  hooks.job = [this](const std::string& id) {
    const auto job = environment_.jobs.find(id);
    return job == environment_.jobs.end() ? nullptr : &job->second;
  };
  hooks.run_time = [this](const TaskId& task) { return run_time(task); };
  machine.worker =
      std::make_unique<SimulatedWorker>(machine, *cloud_.type(machine.type), environment_.settings,
                                        std::move(hooks), environment_.simulation.now());
}

Micros SimulatedMachines::run_time(const TaskId& task) const {
  const JobSpec& job = environment_.jobs.at(task.job);
  if (job.shape == Shape::service) return kServiceRunTime;
  const std::int64_t estimate = job.estimated_task_duration.count();
  // The tasks of a long job with few tasks end far apart: after one, two and three thirds of the estimate.
  if (environment_.scenario.long_tasks && job.tasks <= 3) return Micros{estimate * (1 + task.index % 3) / 3};
  return Micros{estimate * (8 + task.index % 5) / 10};
}

std::vector<std::string> SimulatedMachines::machines_up(const std::string& zone) const {
  std::vector<std::string> names;
  for (const auto& [name, machine] : cloud_.machines())
    if (machine.is_up() && (zone.empty() || machine.zone == zone)) names.push_back(name);
  return names;
}

std::string SimulatedMachines::random_machine() {
  const std::vector<std::string> names = machines_up();
  return names.empty() ? "" : environment_.simulation.random_element(names);
}

std::vector<std::string> SimulatedMachines::busiest(int count) const {
  std::vector<std::pair<std::size_t, std::string>> by_tasks;
  for (const auto& [name, machine] : cloud_.machines())
    if (machine.is_up()) by_tasks.emplace_back(machine.worker->active_tasks(), name);
  std::sort(by_tasks.rbegin(), by_tasks.rend());
  std::vector<std::string> names;
  for (const auto& [tasks, name] : by_tasks)
    if (static_cast<int>(names.size()) < count) names.push_back(name);
  return names;
}

}  // namespace bendtide::sim
