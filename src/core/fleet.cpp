#include "core/fleet.h"

namespace bendtide {

namespace {

constexpr Micros kWatchEvery = millis(250);
/// A report waits that long for a change of holder: its worker is still there to get the answer.
constexpr Micros kDeferFor = Settings::kWorkerPatience - Settings::kWorkerRetry;
/// A zone may be cut off for that many of its workers' leases before its machines are given up.
constexpr int kCutLeases = 8;
/// That many signs in a row show that nothing reaches a machine. One answer may always come too late.
constexpr int kDeafSigns = 3;
constexpr int kWeakSign = 1;    ///< one message seems not to have reached it
constexpr int kStrongSign = 2;  ///< several can't have
constexpr int kLostOrders = 2;  ///< with a report after each

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

Fleet::Fleet(Cluster& cluster, Hooks hooks)
    : cluster_(cluster),
      hooks_(std::move(hooks)),
      claims_(cluster, {[this](Part& p, const Machine& m, bool settled) { add(p, m, settled); },
                        [this] { resume_deferred(); }, hooks_.doubt_holdings}) {}

void Fleet::answer(std::uint64_t request, int status, std::string redirect) {
  if (!redirect.empty()) ++cluster_.passed_on[redirect];
  cluster_.context.act(AnswerWorker{request, {status, 0, {}, std::move(redirect)}});
}

// ---- whose machine is it? ------------------------------------------------------------------------

void Fleet::on_report(std::uint64_t request, const Report& report) {
  route_report(request, report, cluster_.now());
}

void Fleet::route_report(std::uint64_t request, const Report& report, Micros since) {
  if (!cluster_.acting()) return answer(request, 503);
  const std::string* name = claims_.part_of(report.machine);
  if (name == nullptr) return on_unclaimed(request, report, since);
  if (Part* part = cluster_.held(*name)) {
    if (part->ready()) return on_own_report(request, *part, report);
    return defer(request, report, since);  // the part is being loaded
  }
  const std::string holder = cluster_.holder(*name);
  if (holder == cluster_.self()) return answer(request, 503);
  // A holder that stands still would keep the worker waiting for longer than its lease lasts. It does better
  // to wait here for a moment, until somebody has taken over the part.
  const bool just_came = cluster_.now() - since < kDeferFor;
  if (!cluster_.reachable(holder) && just_came) return defer(request, report, since);
  answer(request, 421, holder);
}

void Fleet::defer(std::uint64_t request, const Report& report, Micros since) {
  // Each holds a socket, so that there can't be more of them.
  if (deferred_.size() >= cluster_.context.settings.sockets) return answer(request, 503);
  deferred_.push_back({request, report, since});
}

void Fleet::on_unclaimed(std::uint64_t request, const Report& report, Micros since) {
  // Only the holder of its home part claims a machine; everybody else need not read anything.
  const std::string home = claims_.home_part(report.machine, report.zone);
  Part* part = cluster_.held(home);
  if (part == nullptr) {
    const std::string holder = cluster_.holder(home);
    return holder == cluster_.self() ? answer(request, 503) : answer(request, 421, holder);
  }
  if (!part->ready() || deleted_.contains(report.machine)) return answer(request, 503);
  defer(request, report, since);
  // A machine that nobody claimed was never given a token: this one was claimed by somebody, or deleted.
  if (report.token != 0) return claims_.doubt();
  claims_.want(*part, machine_of({report.machine, report.type, report.zone, report.spot, report.address,
                                  cluster_.context.wall}));
}

Machine& Fleet::add(Part& part, const Machine& machine, bool settled) {
  auto [it, fresh] = part.machines.try_emplace(machine.name, machine);
  Machine& m = it->second;
  if (fresh) {
    if (const MachineType* type = cluster_.type(m.type)) m.size = type->size;
    m.last_heard = m.last_reported = m.last_answered = m.idle_since = cluster_.now();
    m.settled = settled;
    part.count_usage(m, 1);
  }
  return m;
}

void Fleet::resume_deferred() {
  std::vector<Deferred> again;
  std::swap(again, deferred_);
  for (Deferred& d : again) {
    if (claims_.part_of(d.report.machine) != nullptr)
      route_report(d.request, d.report, d.since);
    else
      deferred_.push_back(std::move(d));
  }
}

void Fleet::on_part_ready(Part& part) {
  for (auto& [name, m] : part.machines)
    if (!m.settled) part.push_to(m);
  resume_deferred();
}

// ---- from holder to holder -----------------------------------------------------------------------

std::vector<SilentMachine> Fleet::silent(const Part& part) const {
  std::vector<SilentMachine> out;
  std::size_t tasks = 0;
  const Micros now = cluster_.now();
  for (const auto& [name, m] : part.machines) {
    if (!m.settled || !m.in_use || now - m.last_heard <= cluster_.context.settings.report_every * 5 / 4)
      continue;
    if ((tasks += 1 + m.tasks.size()) > kTold) break;
    SilentMachine& s = out.emplace_back(SilentMachine{name, now - m.last_heard, now - m.last_answered, {}});
    for (const auto& [id, p] : m.tasks)
      if (p.takes_room())
        s.tasks.push_back({id.task,
                           id.attempt,
                           p.seen == Placement::Seen::saving ? TaskPhase::saving : TaskPhase::running,
                           {}});
  }
  return out;
}

/// They are as if they had just reported: settled, and what may be on them is placed there until it is proved
/// to be off. The last holder did nothing with the part after it said so, and we took it over its very
/// record.
void Fleet::recall(Part& part) {
  for (const SilentMachine& s : std::exchange(part.told, {})) {
    auto it = part.machines.find(s.machine);
    if (it == part.machines.end()) continue;
    Machine& m = it->second;
    for (const ReportedTask& t : s.tasks) note(part, m, t, 0);
    m.last_heard = m.last_reported = part.taken_at - s.heard_ago;
    m.last_answered = part.taken_at - s.answered_ago;
    part.settle(m, true);
  }
}

// ---- reports -------------------------------------------------------------------------------------

void Fleet::on_own_report(std::uint64_t request, Part& part, const Report& report) {
  if (report.token > part.token) {
    // Somebody was given a higher token: either we are superseded, or the machine came from elsewhere.
    hooks_.doubt_holdings();
    part.token_wanted = true;
    return answer(request, 503);
  }
  auto it = part.machines.find(report.machine);
  if (it == part.machines.end()) {
    // The machine was deleted, yet it reports: a message from before its end.
    return answer(request, 503);
  }
  Machine& m = it->second;
  // The worker has one report in flight: what is not newer than one we answered is a copy, and nobody waits
  // for the answer. It renews nothing.
  if (report.session < m.session || (report.session == m.session && report.sequence <= m.reported_sequence))
    return answer(request, 503);
  m.last_reported = cluster_.now();
  note_lost_orders(part, m);
  if (!believable(part, report) && m.told_at && was_sent_after(*m.told_at)) {
    add_sign_of_deafness(part, m, kStrongSign);
    m.told_at = m.last_reported;
  }
  // Nothing reaches it, so an answer would renew nothing; but the proof by its lease would wait for one that
  // did.
  if (m.unheeded >= kDeafSigns) return answer(request, 503);
  m.told_at = m.told_at.value_or(cluster_.now());
  const Micros answered_before = std::exchange(m.last_answered, cluster_.now());
  ReportReply reply{200, part.token, {}, {}};
  if (believable(part, report) &&
      std::pair(report.session, report.sequence) > std::pair(m.session, m.sequence)) {
    const bool lease_ran_out = report.session > m.session && m.heard && !m.lost;
    const Micros since_answer = cluster_.now() - answered_before;
    if (lease_ran_out && was_sent_after(answered_before) &&
        since_answer < cluster_.context.settings.worker_lease * 3 / 4)
      add_sign_of_deafness(part, m, kStrongSign);
    apply(part, m, report, true);
    m.reported_sequence = report.sequence;
    hooks_.fill(part, m);
    reply.orders = orders(part, m, report.sequence);
    m.answered_in = report.sequence;
    m.answered_token = part.token;
    m.orders_sent_at = cluster_.now();
  } else {
    reply.orders = strangers(part, report);
    if (!m.settled) {
      m.address = report.address;
      part.push_to(m);
    }
  }
  cluster_.context.act(AnswerWorker{request, std::move(reply)});
}

/// Whether a report that came just now can have been sent after what we sent at `ours` could have reached the
/// worker. While it waits for an answer it sends no other report: one that comes sooner was held back on its
/// way, or what we answered was. Such a report says nothing of what reaches the machine.
bool Fleet::was_sent_after(Micros ours) const { return cluster_.now() - ours >= Settings::kWorkerPatience; }

/// A cut may swallow one order and hold the reports that it is followed by. But the machine is sent another
/// as soon as a report arrives: if that is lost too, and the machine reports again, nothing reaches it.
void Fleet::note_lost_orders(Part& part, Machine& m) {
  if (!std::exchange(m.order_lost, false)) return;
  part.push_to(m);
  if (++m.lost_orders >= kLostOrders) add_sign_of_deafness(part, m, kStrongSign);
}

void Fleet::clear_signs_of_deafness(Machine& m) {
  m.unheeded = m.lost_orders = 0;
  m.order_lost = false;
}

/// A machine with signs against it is asked directly: if it answers, they are void.
void Fleet::add_sign_of_deafness(Part& part, Machine& m, int weight) {
  m.unheeded += weight;
  part.push_to(m);
}

/// Stops for the tasks of jobs that this part does not have: they are over. True of any account, however old,
/// and said with every answer, as each renews the lease: holders that follow one another within seconds would
/// else keep the tasks of a cancelled job alive.
std::vector<Order> Fleet::strangers(const Part& part, const Report& report) const {
  std::vector<Order> out;
  for (const ReportedTask& t : report.tasks)
    if (t.phase != TaskPhase::exited && !part.jobs.contains(t.task.job) && out.size() < kOrders / 2)
      out.push_back({Order::Kind::stop, t.task, t.attempt, {}});
  return out;
}

/// Its lease runs from the beginning of the session, which we learn of by a refused or executed order as
/// well: a worker that reaches no controller still gets orders. Without this its tasks would be given up, and
/// started elsewhere, while they run on for the rest of the new lease.
void Fleet::begin_session(Machine& m, std::uint64_t session) {
  m.session = session;
  m.sequence = m.reported_sequence = m.answered_in = 0;
  m.last_answered = cluster_.now();
}

/// An account that shows no token of this holding may be a late copy from before it, by any time: it may be
/// answered, so that the worker learns the token, but nothing it says is believed.
bool Fleet::believable(const Part& part, const Report& report) const {
  return report.token >= part.first_token;
}

void Fleet::apply(Part& part, Machine& m, const Report& report, bool is_report) {
  const Micros now = cluster_.now();
  if (report.session > m.session) {
    // A new session begins with an empty machine.
    release_all(part, m);
    begin_session(m, report.session);
  }
  // Lost, and yet there: it began the session that we expected at some moment unknown.
  if (m.lost) m.last_answered = now;
  m.sequence = report.sequence;
  m.address = report.address;
  if (!m.heard || m.lost) {
    part.changed();
    m.idle_since = now;  // it could do nothing before
  }
  if (!m.heard && !m.in_use) claims_.came_up(part, m);
  m.heard = true;
  m.lost = false;
  m.last_heard = now;
  if (report.notice) {
    if (!m.notice_until) cluster_.context.info("machine " + m.name + " will be taken by the cloud");
    m.notice_until = now + *report.notice;
  }
  for (const ReportedTask& t : report.tasks) note(part, m, t, report.sequence);

  if (report.token > m.shown_token) clear_signs_of_deafness(m);  // something reaches it
  bool asked = m.answered_in != 0 && m.answered_token > m.shown_token;
  bool heeded = report.token >= m.answered_token;
  m.shown_token = report.token;
  std::vector<AttemptId> off;
  for (auto& [id, p] : m.tasks) {
    // From here on, a start sent under an older token is refused.
    if (p.pinned_by != 0 && report.token > p.pinned_by) p.pinned_by = 0;
    const bool listed = p.listed_in == report.sequence;
    if (m.answered_in != 0 && p.offered_in == m.answered_in && (listed || p.seen == Placement::Seen::no)) {
      asked = true;
      heeded &= listed;
    }
    if (listed || !is_report || p.direct_in_flight > 0 || p.pinned_by != 0) continue;
    // One that was there and is not listed is gone. A start that never showed is, too, if it is not wanted
    // any more: the worker was done with our last answer before it sent this report.
    const bool was_there = p.seen != Placement::Seen::no;
    const bool never_took_effect = !p.wanted && p.offered_in < report.sequence;
    if (was_there || never_took_effect) off.push_back(id);
  }
  for (const AttemptId& id : off) release(part, m, id);
  if (is_report && asked) {
    if (heeded)
      clear_signs_of_deafness(m);
    else if (was_sent_after(m.orders_sent_at))
      add_sign_of_deafness(part, m, kWeakSign);
    m.answered_in = 0;
  }
  part.settle(m, true);
  if (!m.idle()) m.idle_since = now;
}

void Fleet::note(Part& part, Machine& m, const ReportedTask& t, std::uint64_t account) {
  const AttemptId id{t.task, t.attempt};
  auto job_it = part.jobs.find(t.task.job);
  Job* job = job_it == part.jobs.end() ? nullptr : &job_it->second;
  if (job != nullptr && t.task.index >= job->tasks.size()) job = nullptr;
  auto it = m.tasks.find(id);
  if (it == m.tasks.end()) {
    // Started by an earlier holder, or found late: it is ours to keep if the task is still to be done.
    Placement& p = part.place(m, id, job);
    p.placed_at = cluster_.now();
    bool keep = false;
    if (job != nullptr && !job->ended && t.phase != TaskPhase::exited &&
        job->tasks[t.task.index].state == Task::State::waiting) {
      // One that is saving goes, but until it is gone it is here, and must not start elsewhere.
      job->leave_waiting(t.task.index, {Task::State::placed, &m, t.attempt});
      keep = t.phase != TaskPhase::saving;
    }
    part.change(m, id, p, [&](Placement& q) { q.wanted = keep; });
    it = m.tasks.find(id);
  }
  Placement& p = it->second;
  p.listed_in = account;
  if (!p.of_known_job && job != nullptr)
    part.change(m, id, p, [&](Placement& q) { part.identify(q, m, job); });
  const Placement::Seen before = p.seen, seen = seen_as(t.phase);
  if (seen == before) return;
  part.change(m, id, p, [&](Placement& q) { q.seen = seen; });
  if (seen == Placement::Seen::running) {
    p.running_since = cluster_.now();
    if (job != nullptr && job->spec.shape == Shape::array) p.ends_at = p.running_since + job->spec.estimate;
    if (!p.image.empty()) m.images[p.image] = {cluster_.now(), p.image_gb};
  }
  if (seen == Placement::Seen::ended) ended(part, m, id, p, t.cause);
}

void Fleet::ended(Part& part, Machine& m, const AttemptId& id, Placement& p, ExitCause cause) {
  p.cause = cause;
  const bool wanted = std::exchange(p.wanted, false);  // an ended task is in no sum
  part.changed();
  if (p.direct_token != 0) {
    // A repeat of the direct start would run the task here again, though it may be elsewhere or over. As long
    // as the worker holds the attempt, ended, the repeat has no effect: keep it until the token is higher.
    // That is urgent if the task is to run again.
    p.pinned_by = std::max(p.pinned_by, p.direct_token);
    (cause == ExitCause::done ? part.token_old : part.token_wanted) = true;
  }
  auto it = part.jobs.find(id.task.job);
  if (it == part.jobs.end() || id.task.index >= it->second.tasks.size()) return;
  Job& job = it->second;
  Task& task = job.tasks[id.task.index];
  const bool counts = task.state == Task::State::placed && task.machine == &m && task.attempt == id.attempt;
  const Micros now = cluster_.now();
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
      failed(part, m, job);
      break;
    case ExitCause::no_room:
    case ExitCause::busy:
      m.avoid_until = now + seconds(1);
      break;
    case ExitCause::unknown:
      job.retry_at = now + seconds(1);
      break;
    case ExitCause::stopped:
      if (wanted) cluster_.context.debug("task " + id.task.job + " was stopped without our asking");
      break;
    case ExitCause::none:
    case ExitCause::done:
      break;
  }
}

/// Is it the machine or the job? A machine is taken to be faulty once tasks of two jobs failed on it with no
/// success in between, a job once it failed on two machines that are not.
void Fleet::failed(Part& part, Machine& m, Job& job) {
  ++job.failures;
  job.failed_on.insert(m.name);
  if (job.failed_on.size() > kFailedOn) job.failed_on.erase(job.failed_on.begin());
  if (job.suspect()) {
    job.retry_at = cluster_.now() + std::min(seconds(30), seconds(1) * (1 << std::min(job.failures, 5)));
    return;
  }
  m.failed_jobs.insert(job.spec.id);
  if (m.failed_jobs.size() < 2 || std::exchange(m.quarantined, true)) return;
  cluster_.context.info("machine " + m.name + " fails its tasks: nothing more is placed on it");
  for (auto& [id, other] : part.jobs)
    if (other.failed_on.erase(m.name) > 0) other.retry_at = Micros{0};
}

void Fleet::release(Part& part, Machine& m, const AttemptId& id) {
  auto it = part.jobs.find(id.task.job);
  if (it != part.jobs.end() && id.task.index < it->second.tasks.size()) {
    Task& task = it->second.tasks[id.task.index];
    if (task.state == Task::State::placed && task.machine == &m && task.attempt == id.attempt)
      it->second.set_waiting(id.task.index);
  }
  part.remove(m, id);
  part.changed();
  if (m.tasks.empty()) m.idle_since = cluster_.now();
}

void Fleet::release_all(Part& part, Machine& m) {
  while (!m.tasks.empty()) release(part, m, AttemptId(m.tasks.begin()->first));
}

void Fleet::gone(Part& part, const std::string& name) {
  auto it = part.machines.find(name);
  if (it == part.machines.end()) return;
  release_all(part, it->second);
  part.count_usage(it->second, -1);
  claims_.forget(part, it->second);
  part.machines.erase(it);
  deleted_.insert(name);
  deleted_order_.push_back(name);
  while (deleted_order_.size() > kRememberedDeleted) {
    deleted_.erase(deleted_order_.front());
    deleted_order_.pop_front();
  }
}

// ---- orders: the difference between what is wanted and what is ------------------------------------

std::vector<Order> Fleet::orders(Part& part, Machine& m, std::uint64_t in_report) {
  std::vector<Order> forgets, stops, starts;
  for (auto& [id, p] : m.tasks) {
    auto it = part.jobs.find(id.task.job);
    const Job* job =
        it == part.jobs.end() || id.task.index >= it->second.tasks.size() ? nullptr : &it->second;
    if (p.seen == Placement::Seen::ended) {
      // Until its end is recorded, the worker's account is the only one of a finished task. And an attempt
      // that a late direct start may still name must stay known to the worker, or it would run again.
      const bool recorded =
          job == nullptr || job->ended || p.cause != ExitCause::done || job->recorded[id.task.index];
      if (recorded && p.pinned_by == 0 && p.direct_in_flight == 0)
        forgets.push_back({Order::Kind::forget, id.task, id.attempt, {}});
    } else if (!p.wanted) {
      if (p.seen == Placement::Seen::no) continue;
      const Micros grace = job == nullptr ? Micros{0} : time_to_save(part, *job);
      if (p.stop_since == Micros{0}) p.stop_since = cluster_.now();
      stops.push_back({Order::Kind::stop, id.task, id.attempt, grace});
    } else if (p.seen == Placement::Seen::no && p.direct_in_flight == 0 && starts.size() < kOrders / 2) {
      starts.push_back({Order::Kind::start, id.task, id.attempt, {}});
      if (in_report != 0) p.offered_in = in_report;
    }
  }
  std::vector<Order> all = std::move(forgets);
  all.insert(all.end(), stops.begin(), stops.end());
  if (all.size() > kOrders / 2) all.resize(kOrders / 2);
  all.insert(all.end(), starts.begin(), starts.end());
  return all;
}

/// A task that is told to stop may save, unless its job may be cancelled: then it has to be gone in time even
/// if its machine hangs while it saves.
Micros Fleet::time_to_save(const Part& part, const Job& job) const {
  const Settings& s = cluster_.context.settings;
  if (job.ended || job.spec.checkpoint.count() == 0) return {};
  const Micros at_most = surely_over(std::max(s.worker_lease, job.spec.save));
  const bool in_time =
      job.owner.empty() || cluster_.now() + at_most <= part.awards_known_at + s.cancel_within;
  return in_time ? job.spec.save : Micros{0};
}

/// Whether something should not wait for the machine's next report.
bool Fleet::urgent(const Machine& m) const {
  if (!m.settled || m.unheeded > 0 || m.lost_orders > 0) return true;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
    const Placement& p = t.second;
    if (p.wanted) return p.seen == Placement::Seen::no && p.offered_in == 0 && p.pinned_by == 0;
    return p.takes_room() && p.seen != Placement::Seen::no && p.stop_since == Micros{0};
  });
}

/// Calls to machines that can't be reached last until they time out, and with hundreds of these the others'
/// would wait for them; each takes a socket.
std::size_t Fleet::most_direct_calls() const {
  return std::max<std::size_t>(16, cluster_.context.settings.sockets / 12);
}

void Fleet::push_orders(Part& part) {
  const Micros now = cluster_.now();
  std::vector<std::string> names;
  std::swap(names, part.push);
  for (std::string& name : names) {
    auto it = part.machines.find(name);
    if (it == part.machines.end()) continue;
    Machine& m = it->second;
    if (direct_.size() >= most_direct_calls()) {
      part.push.push_back(std::move(name));
      continue;
    }
    m.push_due = false;
    // A machine that is silent gets its orders with the answer to its next report.
    if (m.direct_call || m.lost || m.condemned || m.address.empty() || !urgent(m) ||
        (m.settled && now - m.last_heard > cluster_.context.settings.report_every * 3 / 2))
      continue;
    // Before all that is on it is known, it is only shown the token. Its first session is number 1.
    std::vector<Order> list = m.settled ? orders(part, m, 0) : std::vector<Order>{};
    Direct call{part.name, part.generation, name, part.token, now, {}};
    for (const Order& o : list) {
      if (o.kind != Order::Kind::start) continue;
      AttemptId id{o.task, o.attempt};
      call.starts.push_back(id);
      Placement& p = m.tasks.at(id);
      ++p.direct_in_flight;
      p.direct_token = part.token;
    }
    m.direct_call = true;
    m.told_at = m.told_at.value_or(now);
    std::uint64_t id = next_direct_++;
    direct_.emplace(id, std::move(call));
    cluster_.context.act(
        WorkerCall{id, {m.address, std::max<std::uint64_t>(m.session, 1), part.token, std::move(list)}});
  }
}

void Fleet::probe(const std::string& address, std::function<void(bool)> done) {
  const std::uint64_t id = next_direct_++;
  probes_.emplace(id, std::move(done));
  cluster_.context.act(WorkerCall{id, {address, 0, 0, {}}});
}

void Fleet::on_orders_answer(std::uint64_t call, const OrdersAnswer& answer) {
  if (auto it = probes_.find(call); it != probes_.end()) {
    auto done = std::move(it->second);
    probes_.erase(it);
    return done(answer.report.has_value());
  }
  auto it = direct_.find(call);
  if (it == direct_.end()) return;
  Direct direct = std::move(it->second);
  direct_.erase(it);
  Part* part = cluster_.known(direct.part, direct.generation);
  if (part == nullptr) return;
  auto found = part->machines.find(direct.machine);
  if (found == part->machines.end()) return;
  Machine& m = found->second;
  m.direct_call = false;
  for (const AttemptId& id : direct.starts) {
    auto p = m.tasks.find(id);
    if (p == m.tasks.end()) continue;
    --p->second.direct_in_flight;
    if (answer.outcome == OrdersAnswer::Outcome::lost) {
      // It may be executed at any later time under this token: raise it, and wait for the worker to show
      // that.
      p->second.pinned_by = std::max(p->second.pinned_by, direct.token);
      part->token_wanted = true;
    }
  }
  if (answer.outcome == OrdersAnswer::Outcome::lost) {
    m.order_lost = m.settled;
    if (m.told_at == direct.sent_at) m.told_at.reset();
  }
  if (answer.report && answer.report->machine == m.name && answer.report->token <= part->token) {
    if (!m.settled && answer.outcome == OrdersAnswer::Outcome::refused) {
      // It is shown the token once more.
      if (answer.report->session > m.session) begin_session(m, answer.report->session);
    } else if (believable(*part, *answer.report) &&
               std::pair(answer.report->session, answer.report->sequence) >
                   std::pair(m.session, m.sequence)) {
      apply(*part, m, *answer.report, false);
    }
    clear_signs_of_deafness(m);  // executed or refused, the order was read there
  }
  if (answer.outcome != OrdersAnswer::Outcome::lost && urgent(m)) part->push_to(m);
}

// ---- time ----------------------------------------------------------------------------------------

bool Fleet::usable(const Machine& m) const {
  const Micros now = cluster_.now();
  return m.heard && m.settled && m.in_use && !m.lost && !m.condemned && !m.quarantined && !m.notice_until &&
         m.unheeded < kDeafSigns - 1 && now >= m.avoid_until &&
         // Orders may reach one that can't report, but do not renew its lease.
         now - std::min(m.last_heard, m.last_reported) <=
             cluster_.context.settings.report_every * 2 + millis(500);
}

void Fleet::watch(Part& part) {
  const Micros now = cluster_.now();
  const Settings& s = cluster_.context.settings;
  const Micros lease = surely_over(s.worker_lease);
  const Micros silence =
      seconds(cluster_.context.policy.silence_reports * in_seconds(s.report_every) * 1.25) + seconds(1);
  for (auto& [name, m] : part.machines) {
    if ((m.heard || !m.tasks.empty()) && !m.lost && now > m.last_answered + lease) {
      // Nobody renewed its lease: the worker has killed and forgotten everything.
      m.lost = true;
      part.settle(m, true);
      // Its next session has begun. A held report of the old one would bring back tasks that are gone.
      ++m.session;
      m.sequence = m.reported_sequence = m.answered_in = 0;
      if (!m.tasks.empty()) cluster_.context.info("machine " + name + " is silent for its whole lease");
      release_all(part, m);
    }
    if (!m.heard && !m.settled && now > m.last_answered + lease) part.settle(m, true);
    if (m.quarantined && m.idle() && now - m.idle_since > seconds(3)) m.condemned = true;
    trim_images(m);
  }
  // A cut is to be noticed before the first machine has been silent for long enough to be deleted.
  watch_zones(part, s.report_pause());
  for (auto& [name, m] : part.machines) {
    // Deaf: its reports arrive, but neither answers nor commands reach it.
    const bool deaf = m.unheeded >= kDeafSigns;
    const bool silent = (m.heard || !m.tasks.empty()) &&
                        now - std::min(m.last_heard, m.last_reported) > silence &&
                        !part.cut_zones.contains(m.zone);
    if (m.condemned || !(deaf || silent)) continue;
    m.condemned = true;
    cluster_.context.info("machine " + name + (deaf ? " reports but takes up nothing" : " is silent") +
                          ": it is to be deleted");
  }
}

/// If most machines of a zone are silent, then the way there is cut, or it is us who can't hear: they are not
/// deleted for it, as they will be back at once. Only when that lasts, they are given up.
void Fleet::watch_zones(Part& part, Micros late) {
  const Micros now = cluster_.now();
  struct Tally {
    std::size_t up = 0, silent = 0;
  };
  std::map<std::string, Tally> zones;
  for (const auto& [name, m] : part.machines) {
    if (m.condemned || (!m.heard && booting(m))) continue;
    Tally& tally = zones[m.zone];
    ++tally.up;
    if (now - m.last_reported > late) ++tally.silent;
  }
  // With no machine left there, nothing would ever show that the zone can be reached again.
  std::erase_if(part.cut_zones, [&](const auto& cut) { return !zones.contains(cut.first); });
  for (const auto& [zone, tally] : zones) {
    auto cut = part.cut_zones.find(zone);
    if (tally.silent > 1 && tally.silent * 2 > tally.up) {
      if (cut == part.cut_zones.end()) {
        cluster_.context.info("part " + part.name + " can't reach its machines in zone " + zone);
        part.cut_zones[zone] = now;
      } else if (now - cut->second > cluster_.context.settings.worker_lease * kCutLeases) {
        part.cut_zones.erase(cut);
      }
    } else if (cut != part.cut_zones.end()) {
      cluster_.context.info("part " + part.name + " reaches its machines in zone " + zone + " again");
      part.cut_zones.erase(cut);
      part.cut_over = now;
      part.changed();
    }
  }
}

/// Whether it may still be on its way up.
bool Fleet::booting(const Machine& m) const {
  const MachineType* type = cluster_.type(m.type);
  return type == nullptr || cluster_.context.wall - m.rented <= type->boot * 5 / 2 + seconds(5);
}

/// The worker keeps the images used last, as many as fit.
void Fleet::trim_images(Machine& m) const {
  const MachineType* type = cluster_.type(m.type);
  if (type == nullptr) return;
  double total = 0;
  for (const auto& [name, image] : m.images) total += image.gb;
  while (total > type->cache_gb && !m.images.empty()) {
    auto oldest = std::min_element(m.images.begin(), m.images.end(), [](const auto& a, const auto& b) {
      return a.second.used < b.second.used;
    });
    total -= oldest->second.gb;
    m.images.erase(oldest);
  }
}

void Fleet::tick() {
  const Micros now = cluster_.now();
  resume_deferred();
  std::erase_if(deferred_, [&](const Deferred& d) {
    if (now - d.since < kDeferFor) return false;
    answer(d.request, 503);
    return true;
  });
  claims_.tick();
  if (!cluster_.acting()) return;
  for (auto& [name, part] : cluster_.parts) {
    if (!part.ready()) continue;
    if (now < part.next_watch) continue;
    part.next_watch = now + kWatchEvery;
    watch(part);
    if (part.unsettled_jobs && part.all_settled()) {
      part.unsettled_jobs = false;
      cluster_.context.info("part " + name + " knows what is on its machines");
      for (auto& [id, job] : part.jobs) job.unsettled = false;
      part.changed();
    }
  }
}

}  // namespace bendtide
