#include "core/negotiation/contract_net.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kProposalTimeout = millis(300);  ///< a silent peer is a refusal
constexpr Micros kReadEvery = seconds(2);
constexpr std::size_t kTasksPerAward = 4096;
constexpr std::size_t kCallsPerTick = 2;
constexpr std::size_t kRangeBytes = 16;  ///< of one range of tasks in an award record, at most

std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges_of(std::vector<std::uint32_t> tasks) {
  std::sort(tasks.begin(), tasks.end());
  std::vector<std::pair<std::uint32_t, std::uint32_t>> out;
  for (std::uint32_t t : tasks) {
    if (!out.empty() && out.back().first + out.back().second == t)
      ++out.back().second;
    else
      out.emplace_back(t, 1);
  }
  return out;
}

}  // namespace

ContractNet::ContractNet(ControllerState& state, Scheduler& scheduler, Hooks hooks)
    : state_(state),
      scheduler_(scheduler),
      hooks_(std::move(hooks)),
      // A proposal for a call of an earlier process of this host must not pass for one to ours.
      next_id_(state.context.random() >> 8) {}

void ContractNet::send(const std::string& shard, PeerMessage message) {
  state_.context.act(PeerSend{state_.leader_of(shard), std::move(message)});
}

void ContractNet::tick() {
  const Micros now = state_.now();
  std::vector<std::uint64_t> due;
  for (auto& [id, n] : open_)
    if (now >= n.until) due.push_back(id);
  for (std::uint64_t id : due) decide(id);
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    if (shard.quota_stale && !shard.quota_write_in_flight) read_quota_allocation(shard);
    if (now >= shard.next_awards) read_awards(shard);
    const bool awarded = std::any_of(shard.jobs.begin(), shard.jobs.end(), [](const auto& j) {
      return !j.second.awards.empty() && j.second.owner.empty();
    });
    if (awarded && now >= shard.next_progress) read_progress(shard);
    if (now >= shard.awards_valid_until)
      for (auto& [machine, m] : shard.machines) stop_stale_awards(shard, m);
    else
      start_calls(shard);
  }
}

void ContractNet::stop_stale_awards(Shard& shard, Machine& m) {
  if (state_.now() < shard.awards_valid_until) return;
  for (auto& [id, p] : m.tasks) {
    auto it = shard.jobs.find(id.task.job);
    if (!p.wanted || it == shard.jobs.end() || !shard.award_is_stale(it->second, state_.now())) continue;
    shard.change(m, id, p, [](Placement& q) { q.wanted = false; });
    state_.context.debug([&m, task = id.task] {
      return task.job + "/" + std::to_string(task.index) + " is not wanted on " + m.name +
             " any more: its award was last read too long ago";
    });
    shard.request_push(m);
  }
}

/// Only its owner awards tasks of a job. Zone rules over all of its tasks need one decider. And the last
/// write of a job removes all its awards at once.
bool ContractNet::may_be_awarded(const Job& job) const {
  return job.owner.empty() && !job.spec.needs_one_decider() &&
         job.awards.size() + 3 <= state_.context.settings.store_transaction_writes;
}

// ---- the initiator -------------------------------------------------------------------------------

void ContractNet::start_calls(Shard& shard) {
  const Micros now = state_.now();
  if (state_.store.busy()) return;
  // Those that have waited longest for their turn call first, and of these those that are served first; a few
  // at a time, as every call costs each peer a look. In the queue's order alone, the first few jobs would
  // call again and again, and no machine would ever be rented for the others.
  std::vector<Job*> due;
  for (const QueueEntry& queue_entry : shard.queue)
    if (queue_entry.job->overflow > 0 && now >= queue_entry.job->next_call &&
        queue_entry.job->tasks_in_award == 0)
      due.push_back(queue_entry.job);
  std::stable_sort(due.begin(), due.end(),
                   [](const Job* a, const Job* b) { return a->next_call < b->next_call; });
  std::size_t calls = 0;
  for (Job* next : due) {
    Job& job = *next;
    const std::string& id = job.spec.id;
    if (calls >= kCallsPerTick || open_.size() >= kOpenNegotiations) return;
    // What can't be awarded may still lack share, which peers can hand over.
    if (!may_be_awarded(job) && !job.quota_share_exhausted) {
      job.refused = true;
      continue;
    }
    job.next_call = now + seconds(state_.context.policy.call_again_s);
    Negotiation n;
    n.shard = shard.name;
    n.leadership_term = shard.leadership_term;
    CallForProposals& c = n.call;
    c.id = next_id_++;
    c.from_shard = shard.name;
    c.job = id;
    c.team = job.spec.team;
    c.tasks = job.overflow;
    c.each = job.spec.each;
    c.types = job.spec.types;
    c.zone = job.spec.zone.value_or("");
    c.spot = job.spec.spot;
    c.image = job.spec.image;
    c.spare_quota = shard.free_quota_share(job.spec.team);
    c.spare_quota = {std::max<std::int64_t>(0, c.spare_quota.cpu),
                     std::max<std::int64_t>(0, c.spare_quota.gpu)};
    for (const auto& [name, route] : state_.routes)
      if (name != shard.name && state_.reachable(route.host)) n.asked.insert(name);
    if (n.asked.empty()) {
      job.refused = true;
      continue;
    }
    ++counters_.calls;
    ++calls;
    state_.context.debug([&] {
      return "call " + std::to_string(c.id) + " for " + std::to_string(c.tasks) + " tasks of " + id;
    });
    auto [it, fresh] = open_.emplace(c.id, std::move(n));
    ask(it->second);
  }
}

void ContractNet::ask(Negotiation& n) {
  ++counters_.rounds;
  n.proposals.clear();
  n.until = state_.now() + kProposalTimeout;
  for (const std::string& shard : n.asked) {
    CallForProposals call = n.call;
    send(shard, std::move(call));
  }
}

void ContractNet::on_proposal(const Proposal& p) {
  auto it = open_.find(p.id);
  if (it == open_.end()) return;
  Negotiation& n = it->second;
  if (p.round != n.call.round || !n.asked.contains(p.shard)) return;
  n.proposals[p.shard] = p;
  if (n.proposals.size() == n.asked.size()) n.until = state_.now();
}

double ContractNet::score(const Proposal& p) const {
  return in_seconds(p.start_delay) + static_cast<double>(p.load_permille) / 1000.0;
}

void ContractNet::decide(std::uint64_t id) {
  Negotiation n = std::move(open_.at(id));
  open_.erase(id);
  Shard* shard = state_.ready_shard(n.shard);
  if (shard == nullptr || shard->leadership_term != n.leadership_term) return;
  auto job_it = shard->jobs.find(n.call.job);
  if (job_it == shard->jobs.end()) return;
  Job& job = job_it->second;
  if (!job.can_start(state_.now()) || job.unreconciled) return;

  // Hard limits: some tasks, and a room version to hold the award against.
  std::vector<Proposal> feasible;
  for (const auto& [name, p] : n.proposals)
    if (may_be_awarded(job) && p.tasks > 0 && p.tasks <= n.call.tasks && p.quota_revision != 0)
      feasible.push_back(p);
  std::sort(feasible.begin(), feasible.end(), [&](const Proposal& a, const Proposal& b) {
    return std::pair(score(a), a.shard) < std::pair(score(b), b.shard);
  });
  if (feasible.empty()) {
    ++counters_.infeasible;
    job.refused = true;
    if (!job.quota_share_exhausted) return mark_similar_refused(*shard, job);
    request_quota(*shard, job, n);
    return;
  }
  const bool close =
      feasible.size() > 1 && score(feasible[1]) - score(feasible[0]) <=
                                 state_.context.policy.close_bids * std::max(score(feasible[1]), 1e-9);
  if (close && static_cast<int>(n.call.round) < state_.context.policy.call_rounds) {
    ++n.call.round;
    n.call.disclosed = true;
    n.call.priority = job.spec.priority;
    n.call.deadline_in = job.spec.deadline ? std::max(millis(1), job.due() - state_.context.wall) : Micros{0};
    n.asked.clear();
    for (const Proposal& p : feasible) n.asked.insert(p.shard);
    ask(open_.emplace(id, std::move(n)).first->second);
    return;
  }
  award(*shard, job, feasible.front());
}

/// Nobody has room under its own share; unused share may still be had, piece by piece: what each shard has
/// left may be less than one task takes.
void ContractNet::request_quota(Shard& shard, const Job& job, const Negotiation& n) {
  std::vector<const Proposal*> rich;
  for (const auto& [name, p] : n.proposals)
    if (p.free_quota_share != Quota{}) rich.push_back(&p);
  std::sort(rich.begin(), rich.end(),
            [](const Proposal* a, const Proposal* b) { return a->free_quota_share > b->free_quota_share; });
  const Quota want = quota_of(job.spec.each) * static_cast<std::int64_t>(job.waiting.size());
  Quota had = shard.free_quota_share(job.spec.team);
  for (const Proposal* p : rich) {
    if (want.fits_in(had)) return;
    send(p->shard, QuotaTransferRequest{p->shard, shard.name, job.spec.team, want - had, job.accepted});
    had += p->free_quota_share;
  }
}

/// Who had no room for one task of this job has none for its like either: these need not call one by one.
void ContractNet::mark_similar_refused(Shard& shard, const Job& refused) {
  const JobSpec& r = refused.spec;
  for (const QueueEntry& queue_entry : shard.queue) {
    Job& job = *queue_entry.job;
    const JobSpec& s = job.spec;
    if (&job == &refused || job.overflow == 0 || job.tasks_in_award > 0 || job.quota_share_exhausted)
      continue;
    if (s.team != r.team || s.priority > r.priority || s.spot != r.spot || s.zone != r.zone ||
        s.types != r.types || !r.each.fits_in(s.each))
      continue;
    job.refused = true;
    job.next_call = std::max(job.next_call, refused.next_call);
  }
}

void ContractNet::award(Shard& shard, Job& job, const Proposal& best) {
  if (shard.quota_write_in_flight || shard.quota_stale || shard.quota_revision == 0) return;
  const Quota each = quota_of(job.spec.each);
  Quota spare_quota = shard.free_quota_share(job.spec.team);
  spare_quota = {std::max<std::int64_t>(0, spare_quota.cpu), std::max<std::int64_t>(0, spare_quota.gpu)};
  std::int64_t count = std::min<std::int64_t>({best.tasks, static_cast<std::int64_t>(job.waiting.size()),
                                               static_cast<std::int64_t>(kTasksPerAward),
                                               (best.free_quota_share + spare_quota).holds(each)});
  if (count <= 0) return;
  job.refused = false;
  Quota moved = each * count - best.free_quota_share;
  moved = {std::max<std::int64_t>(0, moved.cpu), std::max<std::int64_t>(0, moved.gpu)};

  QuotaMove move;
  move.shard = shard.name;
  move.leadership_term = shard.leadership_term;
  move.to = best.shard;
  move.team = job.spec.team;
  move.moved = moved;
  move.job = job.spec.id;
  move.key = records::award_key(best.shard, job.spec.id, shard.next_attempt());
  for (std::int64_t i = 0; i < count; ++i) {
    move.tasks.push_back(job.waiting.back());
    job.leave_waiting(job.waiting.back(), {Task::State::elsewhere, nullptr, 0});
  }
  // The record has to stay below the size of a value.
  const std::size_t most_ranges = state_.context.settings.store_value_bytes / 2 / kRangeBytes;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges = ranges_of(move.tasks);
  while (ranges.size() > most_ranges) {
    for (std::uint32_t i = 0; i < ranges.back().second; ++i) {
      std::erase(move.tasks, ranges.back().first + i);
      job.set_waiting(ranges.back().first + i);
    }
    ranges.pop_back();
  }
  job.tasks_in_award += static_cast<std::uint32_t>(move.tasks.size());
  const records::Award record{shard.name, std::move(ranges), {shard.name, job.spec, job.accepted}};
  commit_quota_move(shard, move, Write{move.key, records::to_json(record), 0}, best.quota_revision);
}

void ContractNet::commit_quota_move(Shard& shard, const QuotaMove& move, const std::optional<Write>& award,
                                    Revision other_revision) {
  shard.quota_write_in_flight = true;
  shard.quota_in_transfer[move.team] += move.moved;
  const Compare holds = state_.fenced_by(shard);
  state_.store.get(records::quota_key(move.to),
                   [this, move, award, other_revision, holds](const StoreResponse& a) {
                     Shard* p = state_.shard_in_term(move.shard, move.leadership_term);
                     if (p == nullptr) return;
                     std::optional<records::QuotaAllocation> other;
                     if (a.ok() && !a.entries.empty())
                       other = records::quota_allocation(a.entries.front().value);
                     // The room offered is the room of that version; any other has been awarded to somebody
                     // meanwhile.
                     if (!other || (other_revision != 0 && a.entries.front().revision != other_revision)) {
                       ++counters_.conflicts;
                       // Its leader may not know: the word of an award to it can be lost.
                       if (other) send(move.to, AwardNotice{move.to});
                       return finish_quota_move(move, false);
                     }
                     other->quota_shares[move.team] += move.moved;
                     records::QuotaAllocation own{p->quota_shares};
                     own.quota_shares[move.team] -= move.moved;
                     Transaction transaction;
                     transaction.compares = {holds,
                                             {records::quota_key(p->name), p->quota_revision},
                                             {records::quota_key(move.to), a.entries.front().revision}};
                     transaction.writes = {{records::quota_key(p->name), records::to_json(own), 0},
                                           {records::quota_key(move.to), records::to_json(*other), 0}};
                     if (award) {
                       // Nothing of a job that is over is awarded, whatever its owner believes.
                       transaction.compares.push_back({records::final_job_key(move.job), 0});
                       transaction.compares.push_back({move.key, 0});
                       transaction.writes.push_back(*award);
                     }
                     state_.store.commit(std::move(transaction), [this, move](const StoreResponse& b) {
                       Shard* q = state_.shard_in_term(move.shard, move.leadership_term);
                       if (q == nullptr) return;
                       if (b.ok()) {
                         q->quota_revision = b.revision;
                         finish_quota_move(move, true);
                       } else if (b.outcome == Outcome::unknown) {
                         resolve_unknown_move(*q, move);
                       } else {
                         if (b.outcome == Outcome::conflict) {
                           ++counters_.conflicts;
                           q->quota_stale = true;
                           hooks_.invalidate_leases();
                         }
                         finish_quota_move(move, false);
                       }
                     });
                   });
}

void ContractNet::finish_quota_move(const QuotaMove& move, bool applied) {
  Shard* p = state_.shard_in_term(move.shard, move.leadership_term);
  if (p == nullptr) return;
  p->quota_write_in_flight = false;
  p->quota_in_transfer[move.team] -= move.moved;
  if (applied) p->quota_shares[move.team] -= move.moved;
  p->changed();
  auto it = p->jobs.find(move.job);
  if (it != p->jobs.end()) {
    Job& job = it->second;
    job.tasks_in_award -= static_cast<std::uint32_t>(move.tasks.size());
    if (applied) {
      job.awards[move.key] = move.to;
      job.next_call = state_.now();
    } else {
      for (std::uint32_t index : move.tasks) job.set_waiting(index);
    }
  }
  if (!applied) return;
  if (!move.job.empty()) {
    ++counters_.awards;
    state_.context.info("awarded " + std::to_string(move.tasks.size()) + " tasks of " + move.job +
                        " to part " + move.to);
  } else {
    ++counters_.quota_transfers;
  }
  send(move.to, AwardNotice{move.to});
}

void ContractNet::resolve_unknown_move(Shard& shard, const QuotaMove& move) {
  // No answer: the write may have been made, or be made later. It compares our room record, so rewriting
  // that record makes sure that it is made now or never.
  state_.store.get(records::quota_key(shard.name), [this, move](const StoreResponse& a) {
    Shard* p = state_.shard_in_term(move.shard, move.leadership_term);
    if (p == nullptr) return;
    const auto quota_allocation = records::read_first(a, records::quota_allocation);
    if (!quota_allocation) return resolve_unknown_move_later(move);
    Transaction transaction;
    transaction.compares = {state_.fenced_by(*p), {records::quota_key(p->name), a.entries.front().revision}};
    transaction.writes = {{records::quota_key(p->name), records::to_json(*quota_allocation), 0}};
    state_.store.commit(std::move(transaction),
                        [this, move, quota_shares = quota_allocation->quota_shares](const StoreResponse& b) {
                          Shard* q = state_.shard_in_term(move.shard, move.leadership_term);
                          if (q == nullptr) return;
                          if (!b.ok()) {
                            hooks_.invalidate_leases();
                            return resolve_unknown_move_later(move);
                          }
                          q->quota_revision = b.revision;
                          auto conclude = [this, move, quota_shares](bool applied) {
                            Shard* r = state_.shard_in_term(move.shard, move.leadership_term);
                            if (r == nullptr) return;
                            finish_quota_move(move, applied);
                            r->quota_shares = quota_shares;
                            r->changed();
                            r->quota_stale = true;
                          };
                          if (move.key.empty()) {
                            // Only share was moved: the record just read tells, whichever it was.
                            conclude(false);
                            return;
                          }
                          state_.store.get(move.key, [this, move, conclude](const StoreResponse& c) {
                            if (c.ok() || c.outcome == Outcome::absent) return conclude(c.ok());
                            resolve_unknown_move_later(move);
                          });
                        });
  });
}

void ContractNet::resolve_unknown_move_later(const QuotaMove& move) {
  state_.context.later(millis(300), [this, move] {
    if (Shard* p = state_.shard_in_term(move.shard, move.leadership_term)) resolve_unknown_move(*p, move);
  });
}

void ContractNet::on_quota_transfer_request(const QuotaTransferRequest& transfer) {
  Shard* shard = state_.ready_shard(transfer.from);
  if (shard == nullptr || transfer.to == transfer.from || !state_.routes.contains(transfer.to)) return;
  if (shard->quota_write_in_flight || shard->quota_stale || shard->quota_revision == 0 ||
      !shard->quota_shares.contains(transfer.team))
    return;
  const Quota unused = shard->free_quota_share(transfer.team);
  Quota free = unused;
  for (const auto& [id, job] : shard->jobs) {
    if (job.spec.team != transfer.team || job.ended || job.waiting.empty()) continue;
    const Quota each = quota_of(job.spec.each);
    // A job that no machine can be had for does not hold on to share that others can use. Nor does one that
    // can't start with what is left here: pieces go to the job that waits longest, or two shards would each
    // keep one for ever.
    if (job.no_offering || (transfer.waits_since < job.accepted && unused.holds(each) == 0)) continue;
    free -= each * (job.suspect() ? 1 : static_cast<std::int64_t>(job.waiting.size()));
  }
  QuotaMove move;
  move.shard = shard->name;
  move.leadership_term = shard->leadership_term;
  move.to = transfer.to;
  move.team = transfer.team;
  move.moved = {std::clamp<std::int64_t>(free.cpu, 0, std::max<std::int64_t>(0, transfer.want.cpu)),
                std::clamp<std::int64_t>(free.gpu, 0, std::max<std::int64_t>(0, transfer.want.gpu))};
  if (move.moved == Quota{}) return;
  commit_quota_move(*shard, move, std::nullopt, 0);
}

// ---- the responder -------------------------------------------------------------------------------

void ContractNet::on_call(const CallForProposals& call) {
  for (auto& [name, shard] : state_.shards) {
    if (name == call.from_shard || !state_.lease_valid()) continue;
    Proposal p;
    p.id = call.id;
    p.round = call.round;
    p.shard = name;
    if (shard.ready() && !shard.quota_stale && !shard.quota_write_in_flight &&
        shard.quota_shares.contains(call.team)) {
      scheduler_.pass(shard);
      const Scheduler::Offer offer = scheduler_.offer(shard, call);
      std::int64_t size = 1, used = 0;
      for (const auto& [machine, m] : shard.machines) size += m.size.cpu, used += m.used.cpu;
      const Quota free = shard.free_quota_share(call.team);
      p.free_quota_share = {std::max<std::int64_t>(0, free.cpu), std::max<std::int64_t>(0, free.gpu)};
      p.tasks = offer.tasks;
      p.start_delay = offer.delay;
      p.load_permille = static_cast<std::uint32_t>(std::clamp<std::int64_t>(used * 1000 / size, 0, 1000));
      p.quota_revision = shard.quota_revision;
    }
    state_.context.act(PeerSend{state_.leader_of(call.from_shard), p});
  }
}

void ContractNet::on_award_notice(const std::string& name) {
  Shard* shard = state_.ready_shard(name);
  if (shard == nullptr) return;
  shard->next_awards = Micros{0};
  shard->quota_stale = true;
}

void ContractNet::on_job_end_notice(const JobEndNotice& ended) {
  state_.record_job_end(ended.job, std::nullopt);
}

void ContractNet::read_quota_allocation(Shard& shard) {
  shard.quota_write_in_flight = true;
  state_.store.get(
      records::quota_key(shard.name),
      [this, name = shard.name, leadership_term = shard.leadership_term](const StoreResponse& a) {
        Shard* p = state_.shard_in_term(name, leadership_term);
        if (p == nullptr) return;
        p->quota_write_in_flight = false;
        if (!a.ok() || a.entries.empty()) return;
        auto quota_allocation = records::quota_allocation(a.entries.front().value);
        if (!quota_allocation || a.entries.front().revision < p->quota_revision) return;
        p->quota_shares = quota_allocation->quota_shares;
        p->quota_revision = a.entries.front().revision;
        p->quota_stale = false;
        p->changed();
      });
}

void ContractNet::read_awards(Shard& shard) {
  if (shard.reading_awards) return;
  shard.reading_awards = true;
  shard.next_awards = state_.now() + kReadEvery;
  state_.store.list(records::award_prefix(shard.name), [this, name = shard.name,
                                                        leadership_term = shard.leadership_term,
                                                        asked = state_.now()](const StoreResponse& a) {
    Shard* p = state_.shard_in_term(name, leadership_term);
    if (p == nullptr) return;
    p->reading_awards = false;
    if (!a.ok()) return;
    p->awards_read(asked, state_.context.settings.lease_term());
    p->changed();
    load_awards(*p, a.entries, asked);
    // What is no longer awarded to us is over: done, or cancelled by its owner.
    std::set<std::string> current;
    for (const KeyValue& entry : a.entries) current.insert(entry.key);
    for (auto& [id, job] : p->jobs)
      if (!job.owner.empty() && std::none_of(job.awards.begin(), job.awards.end(), [&](const auto& award) {
            return current.contains(award.first);
          }))
        p->end(job);
  });
}

void ContractNet::load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros asked) {
  for (const KeyValue& entry : entries) {
    const auto key = records::split_key(entry.key);
    auto award = records::award(entry.value);
    if (key.size() != 4 || !award) continue;
    const std::string& winner = key[1];
    if (winner != shard.name && award->owner != shard.name) continue;
    const std::string& id = award->job.spec.id;
    auto it = shard.jobs.find(id);
    if (winner == shard.name) {
      // The list may be older than the word of the job's end.
      if (!state_.may_act_on(shard, id, asked)) continue;
      if (it == shard.jobs.end()) {
        Job job;
        job.spec = award->job.spec;
        job.accepted = award->job.accepted;
        job.owner = award->owner;
        job.tasks.assign(job.spec.tasks, {Task::State::elsewhere, nullptr, 0});
        job.recorded.assign(job.spec.tasks, false);
        job.unreconciled = !shard.ready();
        shard.has_unreconciled_jobs |= job.unreconciled;
        it = shard.jobs.emplace(id, std::move(job)).first;
      }
      Job& job = it->second;
      if (job.owner.empty() || !job.awards.emplace(entry.key, winner).second) continue;
      shard.changed();
      for (const auto& [first, count] : award->ranges)
        for (std::uint32_t i = first; i < first + count && i < job.tasks.size(); ++i)
          if (job.tasks[i].state == Task::State::elsewhere) job.set_waiting(i);
    } else if (it != shard.jobs.end()) {
      Job& job = it->second;
      if (!job.awards.emplace(entry.key, winner).second) continue;
      for (const auto& [first, count] : award->ranges)
        for (std::uint32_t i = first; i < first + count && i < job.tasks.size(); ++i)
          if (job.tasks[i].state == Task::State::waiting)
            job.leave_waiting(i, {Task::State::elsewhere, nullptr, 0});
    }
  }
}

// ---- what became of awarded tasks ----------------------------------------------------------------

void ContractNet::on_progress_notice(const std::string& name) {
  if (Shard* shard = state_.ready_shard(name))
    shard->next_progress = std::min(shard->next_progress, state_.now() + millis(150));
}

void ContractNet::read_progress(Shard& shard) {
  if (shard.reading_progress) return;
  shard.reading_progress = true;
  shard.next_progress = state_.now() + kReadEvery;
  state_.store.list(records::kDonePrefix, [this, name = shard.name,
                                           leadership_term = shard.leadership_term](const StoreResponse& a) {
    Shard* p = state_.shard_in_term(name, leadership_term);
    if (p == nullptr) return;
    p->reading_progress = false;
    if (a.ok()) load_progress(*p, a.entries, false);
  });
}

void ContractNet::load_progress(Shard& shard, const std::vector<KeyValue>& entries, bool own_too) {
  for (const KeyValue& entry : entries) {
    const auto key = records::split_key(entry.key);
    if (key.size() != 3) continue;
    const bool own = key[1] == shard.name;
    if (own && !own_too) continue;
    auto done = records::done(entry.value);
    DoneSlot* slot = nullptr;
    if (own) {
      slot = &shard.done_slots[static_cast<std::uint32_t>(std::strtoul(key[2].c_str(), nullptr, 10))];
      slot->revision = entry.revision;
    }
    if (!done) continue;
    for (const records::DoneBits& d : *done) {
      auto it = shard.jobs.find(d.job);
      // What is not ours any more is left out when the record is written next.
      if (it == shard.jobs.end() || (!own && !it->second.owner.empty())) continue;
      Job& job = it->second;
      if (slot != nullptr && slot->chunks.insert({d.job, d.chunk}).second)
        slot->bytes += records::done_bytes(d.job, d.bits.size());
      const std::size_t first = std::size_t{d.chunk} * records::kChunk;
      for (std::size_t i = 0; i < d.bits.size() && first + i < job.tasks.size(); ++i) {
        if (!d.bits[i]) continue;
        const Task::State state = job.tasks[first + i].state;
        if (state == Task::State::elsewhere || (own_too && state == Task::State::waiting))
          job.mark_done(static_cast<std::uint32_t>(first + i), true);
      }
    }
  }
}

}  // namespace bendtide
