#include "core/workers/command_builder.h"

namespace bendtide {

namespace {

/// Keeps a message well below the maximum line length of 64 KiB.
constexpr std::size_t kCommandsPerMessage = 200;
constexpr std::size_t kStartsPerMessage = kCommandsPerMessage / 2;
constexpr std::size_t kStopsAndForgetsPerMessage = kCommandsPerMessage / 2;

std::string_view event_of(const Shard& shard, const Command& command) {
  switch (command.kind) {
    case Command::Kind::start:
      return "start";
    case Command::Kind::stop:
      return "stop";
    case Command::Kind::forget:
      break;
  }
  const auto job = shard.jobs.find(command.task.job);
  const bool job_ended = job == shard.jobs.end() || job->second.ended;
  return job_ended ? "forget (job ended)" : "forget (end recorded)";
}

}  // namespace

std::vector<Command> CommandBuilder::commands_for(Shard& shard, Machine& machine,
                                                  std::uint64_t replied_heartbeat) {
  std::vector<Command> forgets;
  std::vector<Command> stops;
  std::vector<Command> starts;
  for (auto& [id, placement] : machine.tasks) {
    Job* job = shard.job_of(id.task);
    if (placement.reported_state == Placement::ReportedState::ended) {
      if (may_be_forgotten(job, id, placement))
        forgets.push_back({Command::Kind::forget, id.task, id.attempt, {}});
    } else if (!placement.wanted) {
      if (placement.reported_state != Placement::ReportedState::no)
        stops.push_back(stop_command(shard, job, id, placement));
    } else if (placement.reported_state == Placement::ReportedState::no && placement.start.may_be_sent() &&
               starts.size() < kStartsPerMessage && may_send_start(shard, job, id)) {
      starts.push_back({Command::Kind::start, id.task, id.attempt, {}});
      if (replied_heartbeat != 0) placement.start.sent_in_reply(replied_heartbeat);
    }
  }
  std::vector<Command> commands = std::move(forgets);
  commands.insert(commands.end(), stops.begin(), stops.end());
  if (commands.size() > kStopsAndForgetsPerMessage) commands.resize(kStopsAndForgetsPerMessage);
  commands.insert(commands.end(), starts.begin(), starts.end());
  return commands;
}

/// Returns whether the worker may be told to forget an ended attempt. The worker's status is the only record
/// of a finished task until its end is recorded. While a pushed start of the attempt may still arrive, the
/// worker must remember the attempt, or it would run the attempt again.
bool CommandBuilder::may_be_forgotten(const Job* job, const AttemptId& id, const Placement& placement) {
  const bool recorded =
      job == nullptr || job->ended || placement.cause != ExitCause::done || job->recorded[id.task.index];
  return recorded && !placement.start.push_may_take_effect();
}

Command CommandBuilder::stop_command(const Shard& shard, const Job* job, const AttemptId& id,
                                     Placement& placement) {
  const Micros grace = job == nullptr ? Micros{0} : stop_grace_period(shard, *job);
  if (placement.stop_requested_at == Micros{0}) placement.stop_requested_at = state_.now();
  return {Command::Kind::stop, id.task, id.attempt, grace};
}

/// Checks a start immediately before it is sent, because the job may have ended since the task was placed.
/// While the final write of a job is in flight, the user may already have received the final state from a
/// peer that read it. An award whose last read is too old may have been withdrawn: without this check,
/// commands for such an award were pushed at the end of an outage, before any other check had run.
bool CommandBuilder::may_send_start(Shard& shard, Job* job, const AttemptId& id) {
  if (job == nullptr || job->ended || job->finalizing || shard.award_is_stale(*job, state_.now()))
    return false;
  if (!state_.final_states.has_ended(id.task.job)) return true;
  state_.context.report_violation(Invariant::finished_job_stays_off,
                                  LogMessage("start of a task whose job has ended")
                                      .shard(shard.name)
                                      .token(shard.fencing_token)
                                      .job(id.task.job)
                                      .task(id.task.index)
                                      .attempt(id.attempt));
  shard.mark_ended(*job);
  return false;
}

/// Returns how long a task that is told to stop may take to save a checkpoint. Zero if that time could exceed
/// the deadline by which a cancelled task must be off its machine, counted from the last read of the awards
/// and even if the machine hangs while it saves. Only awarded jobs have that limit.
Micros CommandBuilder::stop_grace_period(const Shard& shard, const Job& job) const {
  const Settings& settings = state_.context.settings;
  if (job.ended || job.spec.checkpoint_interval.count() == 0) return {};
  const Micros longest_save =
      upper_bound_on_local_clock(std::max(settings.worker_lease, job.spec.save_duration));
  const bool in_time = job.owner.empty() ||
                       state_.now() + longest_save <= shard.award_freshness.read_at + settings.cancel_within;
  return in_time ? job.spec.save_duration : Micros{0};
}

std::vector<Command> CommandBuilder::stops_for_unknown_tasks(const Shard& shard, const Heartbeat& heartbeat) {
  std::vector<Command> stops;
  for (const TaskStatus& status : heartbeat.tasks)
    if (status.phase != TaskPhase::exited && !shard.jobs.contains(status.task.job) &&
        stops.size() < kStopsAndForgetsPerMessage)
      stops.push_back({Command::Kind::stop, status.task, status.attempt, {}});
  return stops;
}

void CommandBuilder::log(const Shard& shard, const Machine& machine, const std::vector<Command>& commands,
                         std::uint64_t replied_heartbeat) const {
  if (!state_.context.debug_enabled) return;
  for (const Command& command : commands) {
    state_.context.debug([&] {
      LogMessage message(event_of(shard, command));
      message.shard(shard.name).token(shard.fencing_token).job(command.task.job);
      message.task(command.task.index).attempt(command.attempt).machine(machine.name);
      message.detail("incarnation", machine.liveness.incarnation);
      if (replied_heartbeat == 0)
        message.detail("sent", "pushed");
      else
        message.detail("heartbeat", replied_heartbeat);
      return message;
    });
  }
}

}  // namespace bendtide
