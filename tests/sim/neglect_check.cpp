#include "sim/neglect_check.h"

namespace bendtide::sim {

void NeglectCheck::run_periodically() {
  environment_.simulation.schedule_after(seconds(1), [this] { run_periodically(); });
  if (!environment_.checker.is_settled()) return;
  for (const auto& user : users_.users())
    environment_.checker.set_runnable(user->job.id, is_runnable(*user), environment_.simulation.now());
}

bool NeglectCheck::is_runnable(const User& user) const {
  const JobSpec& job = user.job;
  if (!user.accepted || !environment_.checker.has_pending_tasks(job.id)) return false;
  const Quota with_one_more = environment_.checker.used(job.team) + quota_of(job.task_resources);
  return with_one_more.fits_in(environment_.settings.team(job.team)->limit) && has_machine_for(job);
}

bool NeglectCheck::has_machine_for(const JobSpec& job) const {
  const std::vector<std::string> zones = environment_.checker.zones_of(job.id);
  const auto& machines = machines_.cloud().machines();
  return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
    return fits(job, entry.second) && allows_zone(job, entry.second.zone, zones);
  });
}

bool NeglectCheck::fits(const JobSpec& job, const SimulatedCloud::Machine& machine) {
  return machine.is_up() && machine.worker->is_healthy() && (!machine.spot || job.spot) &&
         job.allows_type(machine.type) && (!job.zone || *job.zone == machine.zone) &&
         job.task_resources.fits_in(machine.worker->free());
}

bool NeglectCheck::allows_zone(const JobSpec& job, const std::string& zone,
                               const std::vector<std::string>& zones_of_tasks) {
  const auto in_zone =
      static_cast<std::size_t>(std::count(zones_of_tasks.begin(), zones_of_tasks.end(), zone));
  if (job.one_zone && in_zone < zones_of_tasks.size()) return false;
  return !job.spread || in_zone < (job.tasks + 1) / 2;
}

}  // namespace bendtide::sim
