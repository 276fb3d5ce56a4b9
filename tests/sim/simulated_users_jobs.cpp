// Generates the random jobs that the users of a simulated cluster submit.

#include "sim/simulated_users.h"

namespace bendtide::sim {

namespace {

constexpr double kServiceProbability = 0.3;
constexpr double kServiceProbabilityOfImpatientUsers = 0.03;
constexpr double kCancellationProbability = 0.25;

}  // namespace

void SimulatedUsers::create_users() {
  Simulation& simulation = environment_.simulation;
  const FaultScenario& scenario = environment_.scenario;
  for (const PlannedJob& planned : scenario.planned_jobs)
    add_user(std::make_unique<User>(User{.job = planned.job,
                                         .submit_at = planned.submit_at,
                                         .controller = planned.controller,
                                         .cancel_at = planned.cancel_at}));
  if (!scenario.planned_jobs.empty()) return;
  for (int i = 0; i < scenario.jobs; ++i) {
    auto user = std::make_unique<User>();
    user->job = random_job(i);
    user->submit_at = seconds(3 + simulation.random_fraction() * (scenario.submit_at_once ? 1 : 140));
    if (simulation.random_fraction() < kCancellationProbability && !scenario.impatient_users)
      user->cancel_at = user->submit_at + seconds(2 + simulation.random_fraction() * 40);
    add_user(std::move(user));
  }
}

void SimulatedUsers::add_user(std::unique_ptr<User> user) {
  environment_.jobs[user->job.id] = user->job;
  users_.push_back(std::move(user));
}

JobSpec SimulatedUsers::random_job(int number) {
  Simulation& simulation = environment_.simulation;
  const bool impatient = environment_.scenario.impatient_users;
  JobSpec job;
  job.id = "run-" + std::to_string(1000 + simulation.random_index(100'000) * 100 + number);
  job.team = simulation.random_fraction() < 0.5 ? "blue" : "green";
  job.job_class = "class";
  job.image = "image-" + std::to_string(simulation.random_index(3));
  job.image_gb = 1.0;
  job.task_resources = {2000, 0, 4000};
  if (simulation.random_fraction() <
      (impatient ? kServiceProbabilityOfImpatientUsers : kServiceProbability)) {
    job.shape = Shape::service;
    job.tasks = 1;
    job.priority = Priority::high;
    return job;
  }
  job = with_random_array_properties(std::move(job));
  if (impatient) {
    job.tasks = static_cast<std::uint32_t>(1 + simulation.random_index(3));
    job.estimated_task_duration = seconds(3 + simulation.random_fraction() * 5);
  }
  return job;
}

JobSpec SimulatedUsers::with_random_array_properties(JobSpec job) {
  Simulation& simulation = environment_.simulation;
  job.tasks = static_cast<std::uint32_t>(1 + simulation.random_index(24));
  job.estimated_task_duration = seconds(4 + simulation.random_fraction() * 10);
  job.spot = simulation.random_fraction() < 0.5;
  job.deadline = seconds(120);
  if (environment_.scenario.long_tasks) {
    const int task_count_range = simulation.random_fraction() < 0.7 ? 2 : 8;
    job.tasks = 2 + static_cast<std::uint32_t>(simulation.random_index(task_count_range));
    job.estimated_task_duration = seconds(30 + simulation.random_fraction() * 50);
  }
  if (simulation.random_fraction() < 0.3) {
    job.checkpoint_interval = seconds(2);
    job.save_duration = seconds(1);
  }
  job = with_random_zone_constraint(std::move(job));
  if (simulation.random_fraction() < 0.2) job.types = {"large"};
  return job;
}

JobSpec SimulatedUsers::with_random_zone_constraint(JobSpec job) {
  Simulation& simulation = environment_.simulation;
  const double choice = simulation.random_fraction() * (environment_.scenario.zone_bound ? 0.4 : 1);
  if (choice < 0.12)
    job.one_zone = true;
  else if (choice < 0.24)
    job.spread = true;
  else if (choice < 0.4)
    job.zone = simulation.random_fraction() < 0.5 ? "east" : "west";
  return job;
}

}  // namespace bendtide::sim
