// Commands: the difference between what is wanted on a machine and what it reports.
#include "core/workers/fleet.h"

namespace bendtide {

std::vector<Command> Fleet::commands(Shard& shard, Machine& m, std::uint64_t in_heartbeat) {
  std::vector<Command> forgets, stops, starts;
  for (auto& [id, p] : m.tasks) {
    auto it = shard.jobs.find(id.task.job);
    Job* job = it == shard.jobs.end() || id.task.index >= it->second.tasks.size() ? nullptr : &it->second;
    if (p.seen == Placement::Seen::ended) {
      // Until its end is recorded, the worker's status is the only one of a finished task. And an attempt
      // that a late direct start may still name must stay known to the worker, or it would run again.
      const bool recorded =
          job == nullptr || job->ended || p.cause != ExitCause::done || job->recorded[id.task.index];
      if (recorded && p.late_start_token == 0 && p.pushed_starts_in_flight == 0)
        forgets.push_back({Command::Kind::forget, id.task, id.attempt, {}});
    } else if (!p.wanted) {
      if (p.seen == Placement::Seen::no) continue;
      const Micros grace = job == nullptr ? Micros{0} : time_to_save(shard, *job);
      if (p.stop_requested_at == Micros{0}) p.stop_requested_at = state_.now();
      stops.push_back({Command::Kind::stop, id.task, id.attempt, grace});
    } else if (p.seen == Placement::Seen::no && p.pushed_starts_in_flight == 0 &&
               starts.size() < kCommandsPerMessage / 2) {
      if (!may_send_start(shard, job, id)) continue;
      starts.push_back({Command::Kind::start, id.task, id.attempt, {}});
      if (in_heartbeat != 0) p.start_sent_in = in_heartbeat;
    }
  }
  std::vector<Command> all = std::move(forgets);
  all.insert(all.end(), stops.begin(), stops.end());
  if (all.size() > kCommandsPerMessage / 2) all.resize(kCommandsPerMessage / 2);
  all.insert(all.end(), starts.begin(), starts.end());
  return all;
}

/// The last look at a start before it goes out: it was placed a while ago, and its job may be over since.
/// While the last write of a job is under way, its user may have been told already by a peer that read it.
/// And an award that was last read too long ago may have been taken back: direct commands once went out for
/// it as an outage ended, before anything else had looked.
bool Fleet::may_send_start(Shard& shard, Job* job, const AttemptId& id) {
  if (job == nullptr || job->ended || job->finalizing || shard.award_is_stale(*job, state_.now()))
    return false;
  if (!state_.final_states.has_ended(id.task.job)) return true;
  state_.context.violated(Invariant::finished_job_stays_off,
                          id.task.job + "/" + std::to_string(id.task.index) + " attempt " +
                              std::to_string(id.attempt) + " was to be started by part " + shard.name +
                              " under token " + to_string(shard.fencing_token) + ", but its job is over");
  shard.end(*job);
  return false;
}

/// One line for each order, with all that its right rests on.
void Fleet::log_commands(const Shard& shard, const Machine& m, const std::vector<Command>& sent,
                         const std::string& how) const {
  if (!state_.context.debugging) return;
  const std::string right = " on " + m.name + " " + how + ", session " + std::to_string(m.incarnation) +
                            ", by part " + shard.name + " under token " + to_string(shard.fencing_token);
  for (const Command& command : sent) {
    const auto job = shard.jobs.find(command.task.job);
    const bool over = job == shard.jobs.end() || job->second.ended;
    const char* what = command.kind == Command::Kind::start  ? "start"
                       : command.kind == Command::Kind::stop ? "stop"
                       : over                                ? "forget (its job is over)"
                                                             : "forget (its end is recorded)";
    state_.context.debug([&] {
      return command.task.job + "/" + std::to_string(command.task.index) + " attempt " +
             std::to_string(command.attempt) + ": " + what + right;
    });
  }
}

/// A task that is told to stop may save, unless its job may be cancelled: then it has to be gone in time even
/// if its machine hangs while it saves.
Micros Fleet::time_to_save(const Shard& shard, const Job& job) const {
  const Settings& s = state_.context.settings;
  if (job.ended || job.spec.checkpoint.count() == 0) return {};
  const Micros at_most = surely_over(std::max(s.worker_lease, job.spec.save));
  const bool in_time =
      job.owner.empty() || state_.now() + at_most <= shard.award_freshness.read_at + s.cancel_within;
  return in_time ? job.spec.save : Micros{0};
}

/// Whether something should not wait for the machine's next heartbeat.
bool Fleet::urgent(const Machine& m) const {
  if (!m.reconciled || m.missed_acknowledgements > 0 || m.lost_pushes > 0) return true;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
    const Placement& p = t.second;
    if (p.wanted) return p.seen == Placement::Seen::no && p.start_sent_in == 0 && p.late_start_token == 0;
    return p.takes_room() && p.seen != Placement::Seen::no && p.stop_requested_at == Micros{0};
  });
}

/// Calls to machines that can't be reached last until they time out, and with hundreds of these the others'
/// would wait for them; each takes a socket.
std::size_t Fleet::push_limit() const {
  return std::max<std::size_t>(16, state_.context.settings.sockets / 12);
}

void Fleet::push_commands(Shard& shard) {
  const Micros now = state_.now();
  std::vector<std::string> names;
  std::swap(names, shard.push);
  for (std::string& name : names) {
    auto it = shard.machines.find(name);
    if (it == shard.machines.end()) continue;
    Machine& m = it->second;
    if (pushes_in_flight_.size() >= push_limit()) {
      shard.push.push_back(std::move(name));
      continue;
    }
    m.push_pending = false;
    // A machine that is silent gets its commands with the answer to its next heartbeat.
    if (m.push_in_flight || m.lease_expired || m.decommissioned || m.address.empty() || !urgent(m) ||
        (m.reconciled && now - m.last_status_at > state_.context.settings.heartbeat_interval * 3 / 2))
      continue;
    // Before all that is on it is known, it is only shown the fencing token. Its first incarnation is
    // number 1.
    std::vector<Command> list = m.reconciled ? commands(shard, m, 0) : std::vector<Command>{};
    PushInFlight call{shard.name, shard.leadership_term, name, shard.fencing_token, now, {}};
    for (const Command& o : list) {
      if (o.kind != Command::Kind::start) continue;
      AttemptId id{o.task, o.attempt};
      call.starts.push_back(id);
      Placement& p = m.tasks.at(id);
      ++p.pushed_starts_in_flight;
      p.pushed_fencing_token = shard.fencing_token;
    }
    log_commands(shard, m, list, "directly");
    m.push_in_flight = true;
    m.token_sent_at = m.token_sent_at.value_or(now);
    std::uint64_t id = next_push_++;
    pushes_in_flight_.emplace(id, std::move(call));
    state_.context.act(WorkerCall{
        id, {m.address, std::max<std::uint64_t>(m.incarnation, 1), shard.fencing_token, std::move(list)}});
  }
}

void Fleet::probe(const std::string& address, std::function<void(bool)> done) {
  const std::uint64_t id = next_push_++;
  probes_.emplace(id, std::move(done));
  state_.context.act(WorkerCall{id, {address, 0, 0, {}}});
}

void Fleet::on_command_response(std::uint64_t call, const CommandResponse& answer) {
  if (auto it = probes_.find(call); it != probes_.end()) {
    auto done = std::move(it->second);
    probes_.erase(it);
    return done(answer.heartbeat.has_value());
  }
  auto it = pushes_in_flight_.find(call);
  if (it == pushes_in_flight_.end()) return;
  PushInFlight direct = std::move(it->second);
  pushes_in_flight_.erase(it);
  Shard* shard = state_.shard_in_term(direct.shard, direct.leadership_term);
  if (shard == nullptr) return;
  auto found = shard->machines.find(direct.machine);
  if (found == shard->machines.end()) return;
  Machine& m = found->second;
  m.push_in_flight = false;
  for (const AttemptId& id : direct.starts) {
    auto p = m.tasks.find(id);
    if (p == m.tasks.end()) continue;
    --p->second.pushed_starts_in_flight;
    if (answer.outcome == CommandResponse::Outcome::unknown) {
      // It may be executed at any later time under this fencing token: raise it, and wait for the worker to
      // show that.
      p->second.late_start_token = std::max(p->second.late_start_token, direct.fencing_token);
      shard->advance_token_soon = true;
    }
  }
  if (answer.outcome == CommandResponse::Outcome::unknown) {
    m.push_lost = m.reconciled;
    if (m.token_sent_at == direct.sent_at) m.token_sent_at.reset();
  }
  if (answer.heartbeat && answer.heartbeat->machine == m.name &&
      answer.heartbeat->fencing_token <= shard->fencing_token) {
    if (!m.reconciled && answer.outcome == CommandResponse::Outcome::refused) {
      // It is shown the fencing token once more.
      if (answer.heartbeat->incarnation > m.incarnation) begin_incarnation(m, answer.heartbeat->incarnation);
    } else if (believable(*shard, *answer.heartbeat) &&
               std::pair(answer.heartbeat->incarnation, answer.heartbeat->sequence_number) >
                   std::pair(m.incarnation, m.sequence_number)) {
      apply(*shard, m, *answer.heartbeat, false);
    }
    clear_missed_acknowledgements(m);  // executed or refused, the order was read there
  }
  if (answer.outcome != CommandResponse::Outcome::unknown && urgent(m)) shard->request_push(m);
}

}  // namespace bendtide
