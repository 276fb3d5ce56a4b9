// The jobs that the users of a simulated cluster submit.

#include "sim/simulated_users.h"

namespace bendtide::sim {

namespace {

constexpr double kShareOfServices = 0.3;
constexpr double kShareOfServicesOfImpatientUsers = 0.03;
constexpr double kShareCancelled = 0.25;

}  // namespace

void SimulatedUsers::draw() {
  Simulation& simulation = environment_.simulation;
  const FaultScenario& scenario = environment_.scenario;
  for (int i = 0; i < scenario.jobs; ++i) {
    auto user = std::make_unique<User>();
    user->job = draw_job(i);
    user->submit_at = seconds(3 + simulation.chance() * (scenario.submit_at_once ? 1 : 140));
    if (simulation.chance() < kShareCancelled && !scenario.impatient_users)
      user->cancel_at = user->submit_at + seconds(2 + simulation.chance() * 40);
    environment_.jobs[user->job.id] = user->job;
    users_.push_back(std::move(user));
  }
}

JobSpec SimulatedUsers::draw_job(int number) {
  Simulation& simulation = environment_.simulation;
  const bool impatient = environment_.scenario.impatient_users;
  JobSpec job;
  job.id = "run-" + std::to_string(1000 + simulation.pick(100'000) * 100 + number);
  job.team = simulation.chance() < 0.5 ? "blue" : "green";
  job.job_class = "class";
  job.image = "image-" + std::to_string(simulation.pick(3));
  job.image_gb = 1.0;
  job.task_resources = {2000, 0, 4000};
  if (simulation.chance() < (impatient ? kShareOfServicesOfImpatientUsers : kShareOfServices)) {
    job.shape = Shape::service;
    job.tasks = 1;
    job.priority = Priority::high;
    return job;
  }
  job = with_array_drawn(std::move(job));
  if (impatient) {
    job.tasks = static_cast<std::uint32_t>(1 + simulation.pick(3));
    job.estimated_task_duration = seconds(3 + simulation.chance() * 5);
  }
  return job;
}

JobSpec SimulatedUsers::with_array_drawn(JobSpec job) {
  Simulation& simulation = environment_.simulation;
  job.tasks = static_cast<std::uint32_t>(1 + simulation.pick(24));
  job.estimated_task_duration = seconds(4 + simulation.chance() * 10);
  job.spot = simulation.chance() < 0.5;
  job.deadline = seconds(120);
  if (environment_.scenario.long_tasks) {
    const int spread = simulation.chance() < 0.7 ? 2 : 8;
    job.tasks = 2 + static_cast<std::uint32_t>(simulation.pick(spread));
    job.estimated_task_duration = seconds(30 + simulation.chance() * 50);
  }
  if (simulation.chance() < 0.3) {
    job.checkpoint_interval = seconds(2);
    job.save_duration = seconds(1);
  }
  job = with_zone_rule_drawn(std::move(job));
  if (simulation.chance() < 0.2) job.types = {"large"};
  return job;
}

JobSpec SimulatedUsers::with_zone_rule_drawn(JobSpec job) {
  Simulation& simulation = environment_.simulation;
  const double rule = simulation.chance() * (environment_.scenario.zone_bound ? 0.4 : 1);
  if (rule < 0.12)
    job.one_zone = true;
  else if (rule < 0.24)
    job.spread = true;
  else if (rule < 0.4)
    job.zone = simulation.chance() < 0.5 ? "east" : "west";
  return job;
}

}  // namespace bendtide::sim
