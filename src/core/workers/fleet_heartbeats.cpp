// What a heartbeat tells of the tasks on its machine, and what follows from it.
#include "core/workers/fleet.h"

namespace bendtide {

namespace {

Placement::Seen seen_as(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::fetching:
      return Placement::Seen::fetching;
    case TaskPhase::running:
      return Placement::Seen::running;
    case TaskPhase::saving:
      return Placement::Seen::saving;
    case TaskPhase::exited:
      break;
  }
  return Placement::Seen::ended;
}

}  // namespace

void Fleet::on_own_heartbeat(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat) {
  if (heartbeat.fencing_token > shard.fencing_token) {
    // Somebody was given a higher fencing token: either we are superseded, or the machine came from
    // elsewhere.
    hooks_.invalidate_leases();
    shard.token_advance.request_soon();
    return answer(request, 503);
  }
  auto it = shard.machines.find(heartbeat.machine);
  if (it == shard.machines.end()) {
    // The machine was deleted, yet it reports: a message from before its end.
    return answer(request, 503);
  }
  Machine& m = it->second;
  // The worker has one heartbeat in flight: what is not newer than one we answered is a copy, and nobody
  // waits for the answer. It renews nothing.
  if (heartbeat.incarnation < m.incarnation ||
      (heartbeat.incarnation == m.incarnation && heartbeat.sequence_number <= m.heartbeat_sequence_number))
    return answer(request, 503);
  m.last_heartbeat_at = state_.now();
  note_lost_pushes(shard, m);
  if (!believable(shard, heartbeat) && m.token_sent_at && was_sent_after(*m.token_sent_at)) {
    add_missed_acknowledgement(shard, m, kStrongEvidence);
    m.token_sent_at = m.last_heartbeat_at;
  }
  // Nothing reaches it, so an answer would renew nothing; but the proof by its lease would wait for one that
  // did.
  if (m.missed_acknowledgements >= kMissedAcknowledgementLimit) return answer(request, 503);
  m.token_sent_at = m.token_sent_at.value_or(state_.now());
  const Micros answered_before = std::exchange(m.last_reply_at, state_.now());
  HeartbeatReply reply{200, shard.fencing_token, {}, {}};
  if (believable(shard, heartbeat) && std::pair(heartbeat.incarnation, heartbeat.sequence_number) >
                                          std::pair(m.incarnation, m.sequence_number)) {
    const bool lease_ran_out = heartbeat.incarnation > m.incarnation && m.status_received && !m.lease_expired;
    const Micros since_answer = state_.now() - answered_before;
    if (lease_ran_out && was_sent_after(answered_before) &&
        since_answer < state_.context.settings.worker_lease * 3 / 4)
      add_missed_acknowledgement(shard, m, kStrongEvidence);
    apply(shard, m, heartbeat, true);
    m.heartbeat_sequence_number = heartbeat.sequence_number;
    hooks_.fill(shard, m);
    reply.commands = commands(shard, m, heartbeat.sequence_number);
    m.last_reply_sequence_number = heartbeat.sequence_number;
    m.last_reply_token = shard.fencing_token;
    m.commands_sent_at = state_.now();
  } else {
    reply.commands = stops_for_unknown_tasks(shard, heartbeat);
    if (!m.reconciled) {
      m.address = heartbeat.address;
      shard.request_push(m);
    }
  }
  log_commands(shard, m, reply.commands,
               "with the answer to report " + std::to_string(heartbeat.sequence_number));
  state_.context.act(AnswerHeartbeat{request, std::move(reply)});
}

/// Stops for the tasks of jobs that this shard does not have: they are over. True of any status, however old,
/// and said with every answer, as each renews the lease: leaders that follow one another within seconds would
/// else keep the tasks of a cancelled job alive.
std::vector<Command> Fleet::stops_for_unknown_tasks(const Shard& shard, const Heartbeat& heartbeat) const {
  std::vector<Command> out;
  for (const TaskStatus& t : heartbeat.tasks)
    if (t.phase != TaskPhase::exited && !shard.jobs.contains(t.task.job) &&
        out.size() < kCommandsPerMessage / 2)
      out.push_back({Command::Kind::stop, t.task, t.attempt, {}});
  return out;
}

/// Its lease runs from the beginning of the incarnation, which we learn of by a refused or executed order as
/// well: a worker that reaches no controller still gets commands. Without this its tasks would be given up,
/// and started elsewhere, while they run on for the rest of the new lease.
void Fleet::begin_incarnation(Machine& m, std::uint64_t incarnation) {
  m.incarnation = incarnation;
  m.sequence_number = m.heartbeat_sequence_number = m.last_reply_sequence_number = 0;
  m.last_reply_at = state_.now();
}

/// A status that shows no fencing token of this holding may be a late copy from before it, by any time: it
/// may be answered, so that the worker learns the fencing token, but nothing it says is believed.
bool Fleet::believable(const Shard& shard, const Heartbeat& heartbeat) const {
  return heartbeat.fencing_token >= shard.first_fencing_token;
}

void Fleet::apply(Shard& shard, Machine& m, const Heartbeat& heartbeat, bool is_heartbeat) {
  const Micros now = state_.now();
  if (heartbeat.incarnation > m.incarnation) {
    // A new incarnation begins with an empty machine.
    release_all(shard, m);
    begin_incarnation(m, heartbeat.incarnation);
  }
  // Lost, and yet there: it began the incarnation that we expected at some moment unknown.
  if (m.lease_expired) m.last_reply_at = now;
  m.sequence_number = heartbeat.sequence_number;
  m.address = heartbeat.address;
  if (!m.status_received || m.lease_expired) {
    shard.changed();
    m.idle_since = now;  // it could do nothing before
  }
  if (!m.status_received && !m.in_use) ownership_.on_machine_up(shard, m);
  m.status_received = true;
  m.lease_expired = false;
  m.last_status_at = now;
  if (heartbeat.preemption_notice) {
    if (!m.preemption_notice_until) state_.context.info("machine " + m.name + " will be taken by the cloud");
    m.preemption_notice_until = now + *heartbeat.preemption_notice;
  }
  for (const TaskStatus& t : heartbeat.tasks) note(shard, m, t, heartbeat.sequence_number);

  if (heartbeat.fencing_token > m.acknowledged_token)
    clear_missed_acknowledgements(m);  // something reaches it
  bool asked = m.last_reply_sequence_number != 0 && m.last_reply_token > m.acknowledged_token;
  bool heeded = heartbeat.fencing_token >= m.last_reply_token;
  m.acknowledged_token = heartbeat.fencing_token;
  std::vector<AttemptId> off;
  for (auto& [id, p] : m.tasks) {
    // From here on, a start sent under an older fencing token is refused.
    if (p.late_start_token != 0 && heartbeat.fencing_token > p.late_start_token) p.late_start_token = 0;
    const bool listed = p.last_listed_in == heartbeat.sequence_number;
    if (m.last_reply_sequence_number != 0 && p.start_sent_in == m.last_reply_sequence_number &&
        (listed || p.seen == Placement::Seen::no)) {
      asked = true;
      heeded &= listed;
    }
    if (listed || !is_heartbeat || p.pushed_starts_in_flight > 0 || p.late_start_token != 0) continue;
    // One that was there and is not listed is gone. A start that never showed is, too, if it is not wanted
    // any more: the worker was done with our last answer before it sent this heartbeat.
    const bool was_there = p.seen != Placement::Seen::no;
    const bool never_took_effect = !p.wanted && p.start_sent_in < heartbeat.sequence_number;
    if (was_there || never_took_effect) off.push_back(id);
  }
  for (const AttemptId& id : off) release(shard, m, id);
  if (is_heartbeat && asked) {
    if (heeded)
      clear_missed_acknowledgements(m);
    else if (was_sent_after(m.commands_sent_at))
      add_missed_acknowledgement(shard, m, kWeakEvidence);
    m.last_reply_sequence_number = 0;
  }
  shard.set_reconciled(m, true);
  if (!m.idle()) m.idle_since = now;
}

void Fleet::note(Shard& shard, Machine& m, const TaskStatus& t, std::uint64_t sequence_number) {
  const AttemptId id{t.task, t.attempt};
  auto job_it = shard.jobs.find(t.task.job);
  Job* job = job_it == shard.jobs.end() ? nullptr : &job_it->second;
  if (job != nullptr && t.task.index >= job->tasks.size()) job = nullptr;
  auto it = m.tasks.find(id);
  if (it == m.tasks.end()) {
    // Started by an earlier leader, or found late: it is ours to keep if the task is still to be done.
    Placement& p = shard.place(m, id, job);
    p.placed_at = state_.now();
    bool keep = false;
    if (job != nullptr && !job->ended && t.phase != TaskPhase::exited &&
        job->tasks[t.task.index].state == Task::State::waiting) {
      // One that is saving goes, but until it is gone it is here, and must not start elsewhere.
      job->leave_waiting(t.task.index, {Task::State::placed, &m, t.attempt});
      keep = t.phase != TaskPhase::saving;
    }
    shard.change(m, id, p, [&](Placement& q) { q.wanted = keep; });
    it = m.tasks.find(id);
  }
  Placement& p = it->second;
  p.last_listed_in = sequence_number;
  if (!p.of_known_job && job != nullptr)
    shard.change(m, id, p, [&](Placement& q) { shard.identify(q, m, job); });
  const Placement::Seen before = p.seen, seen = seen_as(t.phase);
  if (seen == before) return;
  shard.change(m, id, p, [&](Placement& q) { q.seen = seen; });
  if (seen == Placement::Seen::running) {
    p.running_since = state_.now();
    if (job != nullptr && job->spec.shape == Shape::array) p.ends_at = p.running_since + job->spec.estimate;
    if (!p.image.empty()) m.images[p.image] = {state_.now(), p.image_gb};
  }
  if (seen == Placement::Seen::ended) ended(shard, m, id, p, t.cause);
}

void Fleet::ended(Shard& shard, Machine& m, const AttemptId& id, Placement& p, ExitCause cause) {
  p.cause = cause;
  const bool wanted = std::exchange(p.wanted, false);  // an ended task is in no sum
  shard.changed();
  if (p.pushed_fencing_token != 0) {
    // A repeat of the direct start would run the task here again, though it may be elsewhere or over. As long
    // as the worker holds the attempt, ended, the repeat has no effect: keep it until the fencing token is
    // higher. That is urgent if the task is to run again.
    p.late_start_token = std::max(p.late_start_token, p.pushed_fencing_token);
    if (cause == ExitCause::done)
      shard.token_advance.request_eventually();
    else
      shard.token_advance.request_soon();
  }
  auto it = shard.jobs.find(id.task.job);
  if (it == shard.jobs.end() || id.task.index >= it->second.tasks.size()) return;
  Job& job = it->second;
  Task& task = job.tasks[id.task.index];
  const bool counts = task.state == Task::State::placed && task.machine == &m && task.attempt == id.attempt;
  const Micros now = state_.now();
  if (cause == ExitCause::done) {
    m.failed_jobs.clear();
    m.images[job.spec.image] = {now, job.spec.image_gb};
    // A task that ran on elsewhere after this one was given up has its own placement, and goes by that.
    if ((counts || task.state == Task::State::waiting) && job.spec.shape == Shape::array)
      job.mark_done(id.task.index, false);
    else if (counts)
      job.set_waiting(id.task.index);
    return;
  }
  if (counts) job.set_waiting(id.task.index);
  switch (cause) {
    case ExitCause::failed:
      failed(shard, m, job);
      break;
    case ExitCause::no_room:
    case ExitCause::busy:
      m.cordoned_until = now + seconds(1);
      break;
    case ExitCause::unknown:
      job.retry_at = now + seconds(1);
      break;
    case ExitCause::stopped:
      if (wanted)
        state_.context.debug([&] { return "task " + id.task.job + " was stopped without our asking"; });
      break;
    case ExitCause::none:
    case ExitCause::done:
      break;
  }
}

/// Is it the machine or the job? A machine is taken to be faulty once tasks of two jobs failed on it with no
/// success in between, a job once it failed on two machines that are not.
void Fleet::failed(Shard& shard, Machine& m, Job& job) {
  ++job.failures;
  job.failed_on.insert(m.name);
  if (job.failed_on.size() > kFailedOn) job.failed_on.erase(job.failed_on.begin());
  if (job.suspect()) {
    job.retry_at = state_.now() + std::min(seconds(30), seconds(1) * (1 << std::min(job.failures, 5)));
    return;
  }
  m.failed_jobs.insert(job.spec.id);
  if (m.failed_jobs.size() < 2 || std::exchange(m.quarantined, true)) return;
  state_.context.info("machine " + m.name + " fails its tasks: nothing more is placed on it");
  for (auto& [id, other] : shard.jobs)
    if (other.failed_on.erase(m.name) > 0) other.retry_at = Micros{0};
}

void Fleet::release(Shard& shard, Machine& m, const AttemptId& id) {
  auto it = shard.jobs.find(id.task.job);
  if (it != shard.jobs.end() && id.task.index < it->second.tasks.size()) {
    Task& task = it->second.tasks[id.task.index];
    if (task.state == Task::State::placed && task.machine == &m && task.attempt == id.attempt)
      it->second.set_waiting(id.task.index);
  }
  shard.remove(m, id);
  shard.changed();
  if (m.tasks.empty()) m.idle_since = state_.now();
}

void Fleet::release_all(Shard& shard, Machine& m) {
  while (!m.tasks.empty()) release(shard, m, AttemptId(m.tasks.begin()->first));
}

}  // namespace bendtide
