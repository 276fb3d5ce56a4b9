// Commands: the difference between what is wanted on a machine and what it reports.
#include "core/fleet.h"

namespace bendtide {

std::vector<Order> Fleet::orders(Shard& shard, Machine& m, std::uint64_t in_report) {
  std::vector<Order> forgets, stops, starts;
  for (auto& [id, p] : m.tasks) {
    auto it = shard.jobs.find(id.task.job);
    Job* job = it == shard.jobs.end() || id.task.index >= it->second.tasks.size() ? nullptr : &it->second;
    if (p.seen == Placement::Seen::ended) {
      // Until its end is recorded, the worker's account is the only one of a finished task. And an attempt
      // that a late direct start may still name must stay known to the worker, or it would run again.
      const bool recorded =
          job == nullptr || job->ended || p.cause != ExitCause::done || job->recorded[id.task.index];
      if (recorded && p.pinned_by == 0 && p.direct_in_flight == 0)
        forgets.push_back({Order::Kind::forget, id.task, id.attempt, {}});
    } else if (!p.wanted) {
      if (p.seen == Placement::Seen::no) continue;
      const Micros grace = job == nullptr ? Micros{0} : time_to_save(shard, *job);
      if (p.stop_since == Micros{0}) p.stop_since = state_.now();
      stops.push_back({Order::Kind::stop, id.task, id.attempt, grace});
    } else if (p.seen == Placement::Seen::no && p.direct_in_flight == 0 && starts.size() < kOrders / 2) {
      if (!may_send_start(shard, job, id)) continue;
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
                              " under token " + std::to_string(shard.fencing_token) +
                              ", but its job is over");
  shard.end(*job);
  return false;
}

/// One line for each order, with all that its right rests on.
void Fleet::log_orders(const Shard& shard, const Machine& m, const std::vector<Order>& sent,
                       const std::string& how) const {
  if (!state_.context.debugging) return;
  const std::string right = " on " + m.name + " " + how + ", session " + std::to_string(m.session) +
                            ", by part " + shard.name + " under token " + std::to_string(shard.fencing_token);
  for (const Order& order : sent) {
    const auto job = shard.jobs.find(order.task.job);
    const bool over = job == shard.jobs.end() || job->second.ended;
    const char* what = order.kind == Order::Kind::start  ? "start"
                       : order.kind == Order::Kind::stop ? "stop"
                       : over                            ? "forget (its job is over)"
                                                         : "forget (its end is recorded)";
    state_.context.debug([&] {
      return order.task.job + "/" + std::to_string(order.task.index) + " attempt " +
             std::to_string(order.attempt) + ": " + what + right;
    });
  }
}

/// A task that is told to stop may save, unless its job may be cancelled: then it has to be gone in time even
/// if its machine hangs while it saves.
Micros Fleet::time_to_save(const Shard& shard, const Job& job) const {
  const Settings& s = state_.context.settings;
  if (job.ended || job.spec.checkpoint.count() == 0) return {};
  const Micros at_most = surely_over(std::max(s.worker_lease, job.spec.save));
  const bool in_time = job.owner.empty() || state_.now() + at_most <= shard.awards_known_at + s.cancel_within;
  return in_time ? job.spec.save : Micros{0};
}

/// Whether something should not wait for the machine's next report.
bool Fleet::urgent(const Machine& m) const {
  if (!m.settled || m.unreachable_signs > 0 || m.lost_orders > 0) return true;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
    const Placement& p = t.second;
    if (p.wanted) return p.seen == Placement::Seen::no && p.offered_in == 0 && p.pinned_by == 0;
    return p.takes_room() && p.seen != Placement::Seen::no && p.stop_since == Micros{0};
  });
}

/// Calls to machines that can't be reached last until they time out, and with hundreds of these the others'
/// would wait for them; each takes a socket.
std::size_t Fleet::most_direct_calls() const {
  return std::max<std::size_t>(16, state_.context.settings.sockets / 12);
}

void Fleet::push_orders(Shard& shard) {
  const Micros now = state_.now();
  std::vector<std::string> names;
  std::swap(names, shard.push);
  for (std::string& name : names) {
    auto it = shard.machines.find(name);
    if (it == shard.machines.end()) continue;
    Machine& m = it->second;
    if (direct_.size() >= most_direct_calls()) {
      shard.push.push_back(std::move(name));
      continue;
    }
    m.push_due = false;
    // A machine that is silent gets its orders with the answer to its next report.
    if (m.direct_call || m.lost || m.condemned || m.address.empty() || !urgent(m) ||
        (m.settled && now - m.last_heard > state_.context.settings.report_every * 3 / 2))
      continue;
    // Before all that is on it is known, it is only shown the token. Its first session is number 1.
    std::vector<Order> list = m.settled ? orders(shard, m, 0) : std::vector<Order>{};
    Direct call{shard.name, shard.leadership_term, name, shard.fencing_token, now, {}};
    for (const Order& o : list) {
      if (o.kind != Order::Kind::start) continue;
      AttemptId id{o.task, o.attempt};
      call.starts.push_back(id);
      Placement& p = m.tasks.at(id);
      ++p.direct_in_flight;
      p.pushed_token = shard.fencing_token;
    }
    log_orders(shard, m, list, "directly");
    m.direct_call = true;
    m.told_at = m.told_at.value_or(now);
    std::uint64_t id = next_direct_++;
    direct_.emplace(id, std::move(call));
    state_.context.act(WorkerCall{
        id, {m.address, std::max<std::uint64_t>(m.session, 1), shard.fencing_token, std::move(list)}});
  }
}

void Fleet::probe(const std::string& address, std::function<void(bool)> done) {
  const std::uint64_t id = next_direct_++;
  probes_.emplace(id, std::move(done));
  state_.context.act(WorkerCall{id, {address, 0, 0, {}}});
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
  Shard* shard = state_.shard_in_term(direct.shard, direct.leadership_term);
  if (shard == nullptr) return;
  auto found = shard->machines.find(direct.machine);
  if (found == shard->machines.end()) return;
  Machine& m = found->second;
  m.direct_call = false;
  for (const AttemptId& id : direct.starts) {
    auto p = m.tasks.find(id);
    if (p == m.tasks.end()) continue;
    --p->second.direct_in_flight;
    if (answer.outcome == OrdersAnswer::Outcome::unknown) {
      // It may be executed at any later time under this token: raise it, and wait for the worker to show
      // that.
      p->second.pinned_by = std::max(p->second.pinned_by, direct.fencing_token);
      shard->advance_token_soon = true;
    }
  }
  if (answer.outcome == OrdersAnswer::Outcome::unknown) {
    m.order_lost = m.settled;
    if (m.told_at == direct.sent_at) m.told_at.reset();
  }
  if (answer.report && answer.report->machine == m.name &&
      answer.report->fencing_token <= shard->fencing_token) {
    if (!m.settled && answer.outcome == OrdersAnswer::Outcome::refused) {
      // It is shown the token once more.
      if (answer.report->session > m.session) begin_session(m, answer.report->session);
    } else if (believable(*shard, *answer.report) &&
               std::pair(answer.report->session, answer.report->sequence) >
                   std::pair(m.session, m.sequence)) {
      apply(*shard, m, *answer.report, false);
    }
    clear_unreachable_signs(m);  // executed or refused, the order was read there
  }
  if (answer.outcome != OrdersAnswer::Outcome::unknown && urgent(m)) shard->push_to(m);
}

}  // namespace bendtide
