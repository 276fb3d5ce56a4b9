#include "sim/planted_defects.h"

#include "sim/simulated_worker.h"
#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

constexpr int kCpuLimitFactor = 10;
constexpr std::uint32_t kMinTasksOfLargeJob = 17;
/// Added to attempts and fencing tokens, to get numbers above all those in use.
constexpr std::uint64_t kUnusedNumberOffset = 1'000'000;

}  // namespace

Settings PlantedDefects::controller_settings(Settings settings) const {
  if (planted_ == PlantedDefect::ignore_quota)
    for (Team& team : settings.teams) team.limit.cpu *= kCpuLimitFactor;
  return settings;
}

bool PlantedDefects::drops_start(const Command& command) const {
  const JobSpec& job = jobs_.at(command.task.job);
  return planted_ == PlantedDefect::start_nothing ||
         (planted_ == PlantedDefect::starve_team && job.team == "green") ||
         (planted_ == PlantedDefect::starve_large && job.tasks >= kMinTasksOfLargeJob);
}

std::vector<Command> PlantedDefects::commands_to_deliver(std::vector<Command> commands) const {
  std::erase_if(commands, [this](const Command& command) {
    if (command.kind == Command::Kind::stop) return planted_ == PlantedDefect::keep_cancelled;
    return command.kind == Command::Kind::start && drops_start(command);
  });
  return commands;
}

std::vector<Command> PlantedDefects::added(const std::vector<Command>& commands) const {
  std::vector<Command> added;
  if (planted_ != PlantedDefect::start_cancelled) return added;
  for (const Command& command : commands)
    if (command.kind == Command::Kind::stop)
      added.push_back({Command::Kind::start, command.task, command.attempt + kUnusedNumberOffset, {}});
  return added;
}

bool PlantedDefects::also_starts_on(const SimulatedCloud::Machine& machine, const Command& command) const {
  const JobSpec& job = jobs_.at(command.task.job);
  return planted_ == PlantedDefect::start_twice || (job.zone && *job.zone != machine.zone);
}

void PlantedDefects::start_elsewhere(const HeartbeatReply& reply, const std::string& machine,
                                     SimulatedCloud& cloud, Micros now) const {
  if (planted_ != PlantedDefect::start_twice && planted_ != PlantedDefect::start_anywhere) return;
  for (const Command& command : reply.commands) {
    if (command.kind != Command::Kind::start) continue;
    for (auto& [name, other] : cloud.machines()) {
      if (name == machine || !other.is_up() || !also_starts_on(other, command)) continue;
      // For the worker to accept the command, the fencing token must be above its own and the incarnation
      // must be its own, which is 1 unless it restarted.
      const CommandRequest request{name, 1, reply.fencing_token.value() + kUnusedNumberOffset, {command}};
      other.worker->handle_commands(wire::request_of(request).body, now);
      break;
    }
  }
}

UserReply PlantedDefects::poll_reply(UserReply reply, std::optional<JobPhase> last) const {
  if (planted_ == PlantedDefect::deny_jobs) reply.status = 404;
  if (planted_ == PlantedDefect::call_done_early && reply.phase == JobPhase::running)
    reply.phase = JobPhase::done;
  if (planted_ == PlantedDefect::take_back && reply.phase == JobPhase::done && last == JobPhase::done)
    reply.phase = JobPhase::running;
  return reply;
}

int PlantedDefects::unknown_job_status(int status) const {
  return planted_ == PlantedDefect::confirm_anything ? 200 : status;
}

int PlantedDefects::invalid_submission_status(int status) const {
  return planted_ == PlantedDefect::accept_unfit && status == 422 ? 201 : status;
}

}  // namespace bendtide::sim
