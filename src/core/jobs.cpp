#include "core/jobs.h"

namespace bendtide {

using Outcome = StateAnswer::Outcome;

namespace {

constexpr Micros kAskWithin = millis(400);
constexpr Micros kPassOnWithin = seconds(1.2);
constexpr Micros kCancelWithin = seconds(3);
constexpr Micros kRecordEvery = millis(500);
constexpr Micros kRereadEvery = seconds(60);
constexpr Micros kRereadSoon = seconds(3);
constexpr Micros kRetryFinal = millis(300);
/// Submissions may wait for the budget of writes this long; later ones are told to come back.
constexpr double kAcceptWithinSeconds = 1.5;
constexpr std::size_t kTransactionBytes = 48 * 1024;  ///< of the 64 KiB that a transaction may have

}  // namespace

Jobs::Jobs(Cluster& cluster, Hooks hooks)
    : cluster_(cluster),
      hooks_(std::move(hooks)),
      // A reply to a question of an earlier process of this host must not pass for one to ours.
      next_question_(cluster.context.random() >> 8) {}

// ---- answers -------------------------------------------------------------------------------------

Jobs::Told Jobs::to_user(std::uint64_t request) {
  return [this, request](const UserReply& reply) {
    const UserReply answer = never_older(reply);
    cluster_.context.debug([&] {
      return answer.id + ": request " + std::to_string(request) + " is answered " +
             std::to_string(answer.status) + " " + to_text(answer.phase) + ", " +
             std::to_string(answer.done) + " done, " + std::to_string(answer.running) + " running";
    });
    cluster_.context.act(AnswerUser{request, answer});
  };
}

UserReply Jobs::never_older(const UserReply& reply) {
  const std::optional<FinalState> final_state = cluster_.history.final_state(reply.id);
  if (!final_state || reply.status == 503) return reply;
  const bool tells_state = reply.status == 200 || reply.status == 201;
  if (tells_state && is_final(reply.phase) && reply.phase != final_state->phase) {
    cluster_.context.violated(Invariant::answers_agree, reply.id + " is " + to_text(final_state->phase) +
                                                            ", and was to be called " + to_text(reply.phase));
    return unsure(reply.id);
  }
  if (tells_state && reply.phase == final_state->phase) return reply;
  return known_reply(reply.id, {final_state->phase, final_state->done, 0});
}

UserReply Jobs::known_reply(const std::string& id, const Known& k, int status) {
  return {status, id, k.phase, k.done, k.running, 0, {}};
}

UserReply Jobs::absent(const std::string& id) { return {404, id, {}, 0, 0, 0, "no such job"}; }

UserReply Jobs::unsure(const std::string& id, int retry_after_s) {
  return {503, id, {}, 0, 0, retry_after_s, "not able to tell now"};
}

void Jobs::remember(const std::string& id, const FinalState& state) {
  part_of_.erase(id);
  if (cluster_.history.learn_final(id, state, cluster_.now())) return;
  cluster_.context.violated(Invariant::final_state_stays,
                            id + " is known as " + to_text(cluster_.history.final_state(id)->phase) +
                                " and now found " + to_text(state.phase));
}

void Jobs::learn(const records::LiveJob& record) {
  if (cluster_.history.is_over(record.spec.id)) return;
  if (part_of_.size() >= kRoutesRemembered) part_of_.clear();
  part_of_[record.spec.id] = record.part;
}

std::optional<Jobs::Known> Jobs::from_memory(const std::string& id) const {
  if (const auto state = cluster_.history.final_state(id)) return Known{state->phase, state->done, 0};
  if (!cluster_.acting() || cluster_.history.is_over(id)) return std::nullopt;
  for (const auto& [name, part] : cluster_.parts) {
    if (!part.ready()) continue;
    auto it = part.jobs.find(id);
    if (it == part.jobs.end() || !it->second.owner.empty()) continue;
    const Job& job = it->second;
    // While its last write is under way, only the state service can tell.
    if (job.finalizing || job.ended) return std::nullopt;
    Known known;
    known.done = job.done;
    known.running = job.under_way();
    known.phase = known.running > 0 ? JobPhase::running : JobPhase::pending;
    return known;
  }
  return std::nullopt;
}

std::vector<std::string> Jobs::peers() const {
  std::vector<std::string> hosts;
  for (const Peer& peer : cluster_.context.settings.peers) hosts.push_back(peer.host);
  return hosts;
}

void Jobs::on_poll(std::uint64_t request, const std::string& id) { poll(id, to_user(request), true); }

/// One question about a job is asked at a time, however many ask it. Who asks while one is under way waits
/// for the next: the answer under way may be older than what that user has been told.
void Jobs::poll(const std::string& id, Told told, bool may_pass_on) {
  if (auto known = from_memory(id)) return told(known_reply(id, *known));
  const SharedPoll poll{id, may_pass_on};
  auto [waiting, first] = shared_polls_.try_emplace(poll);
  if (first) return find_out(poll, {std::move(told)});
  if (waiting->second.size() >= kQuestions) return told(unsure(id));
  waiting->second.push_back(std::move(told));
}

void Jobs::find_out(const SharedPoll& poll, std::vector<Told> askers) {
  const std::string& id = poll.id;
  const Told answer = [this, poll, askers = std::move(askers)](const UserReply& reply) {
    for (const Told& told : askers) told(reply);
    found_out(poll);
  };
  auto part = part_of_.find(id);
  const std::string holder = part == part_of_.end() ? cluster_.self() : cluster_.holder(part->second);
  if (!poll.may_pass_on || holder == cluster_.self() || !cluster_.reachable(holder))
    return read_and_tell(id, answer, poll.may_pass_on);
  ask({holder}, {0, JobQuery::Kind::poll, id, false, {}}, kAskWithin,
      [this, id, answer](const UserReply& reply) {
        if (reply.status == 200) return answer(reply);
        read_and_tell(id, answer, true);
      });
}

void Jobs::found_out(const SharedPoll& poll) {
  std::vector<Told> askers = std::move(shared_polls_.at(poll));
  shared_polls_.erase(poll);
  if (askers.empty()) return;
  if (auto known = from_memory(poll.id)) {
    for (const Told& told : askers) told(known_reply(poll.id, *known));
    return;
  }
  shared_polls_.try_emplace(poll);
  find_out(poll, std::move(askers));
}

void Jobs::read_and_tell(const std::string& id, const Told& told, bool may_pass_on) {
  auto unreadable = [this, id, told, may_pass_on] {
    // The state service does not answer us: it may answer a peer, and its holder knows the job without it.
    if (!may_pass_on) return told(unsure(id));
    ask(peers(), {0, JobQuery::Kind::poll, id, true, {}}, kPassOnWithin, told);
  };
  if (cluster_.store.failing() && may_pass_on) return unreadable();
  const auto read = [this, id, told, may_pass_on, unreadable, asked = cluster_.now()](const StateAnswer& a) {
    if (a.outcome == Outcome::absent) {
      // Not live at that moment: over since before, or never accepted.
      return cluster_.store.get(records::job_key(id), [this, id, told, unreadable](const StateAnswer& b) {
        if (b.outcome == Outcome::absent) return told(absent(id));
        auto entry = b.ok() && !b.rows.empty() ? records::job_entry(b.rows.front().value) : std::nullopt;
        if (!entry) return unreadable();
        const FinalState state{entry->phase, entry->phase == JobPhase::done ? entry->tasks : 0};
        remember(id, state);
        told(known_reply(id, {state.phase, state.done, 0}));
      });
    }
    auto live = a.ok() && !a.rows.empty() ? records::live_job(a.rows.front().value) : std::nullopt;
    if (!live) return unreadable();
    // It has ended since this was read: how, the next read tells.
    if (cluster_.history.is_over(id)) return told(unsure(id));
    learn(*live);
    if (Part* part = cluster_.ready(live->part)) load_if_current(*part, *live, asked);
    const std::string holder = cluster_.holder(live->part);
    // The record is fresh, so the answer is right either way; the holder knows the counts.
    if (holder == cluster_.self() || !may_pass_on || !cluster_.reachable(holder))
      return told(known_reply(id, {}));
    ask({holder}, {0, JobQuery::Kind::poll, id, false, {}}, kAskWithin,
        [id, told](const UserReply& reply) { told(reply.status == 200 ? reply : known_reply(id, {})); });
  };
  cluster_.store.get(records::live_key(id), read);
}

void Jobs::ask(const std::vector<std::string>& hosts, JobQuery query, Micros within, Told told) {
  if (hosts.empty() || asked_.size() >= kQuestions) return told(unsure(query.job));
  query.id = next_question_++;
  asked_[query.id] = {cluster_.now() + within, hosts.size(),
                      [id = query.job, told = std::move(told)](const UserReply& reply) {
                        UserReply mine = reply;
                        mine.id = id;
                        told(mine);
                      }};
  for (const std::string& host : hosts) cluster_.context.act(PeerSend{host, query});
}

void Jobs::on_reply(const JobReply& reply) {
  auto it = asked_.find(reply.id);
  if (it == asked_.end()) return;
  if (reply.status == 503 && --it->second.outstanding > 0) return;
  Told told = std::move(it->second.told);
  asked_.erase(it);
  UserReply out;
  out.status = static_cast<int>(reply.status);
  out.phase = reply.phase;
  out.done = reply.done;
  out.running = reply.running;
  if (out.status == 503) out.retry_after_s = 1;
  if (out.status >= 400) out.error = "as another controller says";
  told(out);
}

void Jobs::on_query(const std::string& from, const JobQuery& query) {
  Told reply = [this, from, id = query.id](const UserReply& answer) {
    const UserReply r = never_older(answer);
    cluster_.context.act(
        PeerSend{from, JobReply{id, static_cast<std::uint32_t>(r.status), r.phase, r.done, r.running}});
  };
  switch (query.kind) {
    case JobQuery::Kind::poll:
      if (query.fresh) return poll(query.job, reply, false);
      if (auto known = from_memory(query.job)) return reply(known_reply(query.job, *known));
      return reply(unsure(query.job));
    case JobQuery::Kind::cancel:
      return cancel(query.job, reply, false);
    case JobQuery::Kind::submit:
      return submit(query.spec, reply, false);
  }
}

// ---- accepting -----------------------------------------------------------------------------------

std::optional<std::string> Jobs::impossible(const JobSpec& spec) const {
  const Team* team = cluster_.context.settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const bool fits =
      std::any_of(cluster_.catalogue.begin(), cluster_.catalogue.end(), [&](const MachineType& t) {
        return spec.allows_type(t.name) && spec.each.fits_in(t.size) &&
               (!spec.zone || std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end());
      });
  if (!fits) return "a task fits no allowed machine type";
  const std::int64_t at_once = spec.shape == Shape::service ? spec.tasks : 1;
  if (!(quota_of(spec.each) * at_once).fits_in(team->limit)) return "more than the team's limit";
  return std::nullopt;
}

Job& Jobs::load(Part& part, const records::LiveJob& record) {
  auto [it, fresh] = part.jobs.try_emplace(record.spec.id);
  Job& job = it->second;
  if (!fresh) return job;
  job.spec = record.spec;
  job.accepted = record.accepted;
  job.recorded.assign(record.spec.tasks, false);
  job.tasks.resize(record.spec.tasks);
  job.waiting.reserve(record.spec.tasks);
  for (std::uint32_t i = record.spec.tasks; i > 0; --i) job.waiting.push_back(i - 1);
  part.changed();
  return job;
}

Job* Jobs::load_if_current(Part& part, const records::LiveJob& record, Micros asked) {
  return cluster_.may_act_on(part, record.spec.id, asked) ? &load(part, record) : nullptr;
}

bool Jobs::can_accept() const {
  return cluster_.held(cluster_.self()) != nullptr && cluster_.parts.at(cluster_.self()).ready() &&
         !cluster_.catalogue.empty() && !cluster_.store.failing();
}

void Jobs::on_submit(std::uint64_t request, const JobSpec& spec) { submit(spec, to_user(request), true); }

void Jobs::submit(const JobSpec& spec, Told told, bool may_pass_on) {
  const std::string& id = spec.id;
  if (auto known = from_memory(id)) return told(known_reply(id, *known));
  if (!can_accept()) {
    if (!may_pass_on) return told(unsure(id));
    return ask(peers(), {0, JobQuery::Kind::submit, id, false, spec}, kPassOnWithin, std::move(told));
  }
  if (const auto reason = impossible(spec))
    return refuse(id, {422, id, {}, 0, 0, 0, *reason}, std::move(told), may_pass_on);
  if (auto it = being_written_.find(id); it != being_written_.end()) {
    it->second.push_back(std::move(told));
    return;
  }
  for (Accepting& a : accepting_)
    if (a.record.spec.id == id) {
      a.told.push_back(std::move(told));
      return;
    }
  const Settings& s = cluster_.context.settings;
  const double per_second = s.state_writes_per_s / static_cast<double>(s.controllers());
  if (static_cast<double>(accepting_.size()) >= std::max(8.0, per_second * kAcceptWithinSeconds))
    return told(unsure(id, 2));
  accepting_.push_back({{cluster_.self(), spec, cluster_.context.wall}, {std::move(told)}});
  write_accepted(*cluster_.ready(cluster_.self()));
}

void Jobs::on_malformed(std::uint64_t request, const std::string& id, const std::string& why) {
  if (auto known = from_memory(id)) return to_user(request)(known_reply(id, *known));
  refuse(id, {400, id, {}, 0, 0, 0, why}, to_user(request), true);
}

/// A job that was accepted before, perhaps under other settings or with another body, stays accepted: only
/// one that is not known is refused.
void Jobs::refuse(const std::string& id, UserReply refusal, Told told, bool may_pass_on) {
  const bool under_way =
      being_written_.contains(id) || std::any_of(accepting_.begin(), accepting_.end(),
                                                 [&](const Accepting& a) { return a.record.spec.id == id; });
  if (under_way) return told(unsure(id));
  read_and_tell(
      id,
      [told = std::move(told), refusal = std::move(refusal)](const UserReply& reply) {
        told(reply.status == 404 ? refusal : reply);
      },
      may_pass_on);
}

/// All submissions that have gathered while a write was under way go with the next one.
void Jobs::write_accepted(Part& part) {
  const std::size_t most = std::max<std::size_t>(1, cluster_.context.settings.state_transaction_writes / 2);
  while (!accepting_.empty() && accept_writes_ < kAcceptWrites) {
    Batch batch{part.name, part.generation, cluster_.now(), {}};
    StateCommit txn;
    txn.conditions = {cluster_.holds(part)};
    while (!accepting_.empty() && batch.jobs.size() < most) {
      const records::LiveJob& record = accepting_.front().record;
      txn.conditions.push_back({records::live_key(record.spec.id), 0});
      txn.conditions.push_back({records::job_key(record.spec.id), 0});
      txn.writes.push_back({records::live_key(record.spec.id), records::to_json(record), 0});
      being_written_[record.spec.id];
      batch.jobs.push_back(std::move(accepting_.front()));
      accepting_.pop_front();
    }
    ++accept_writes_;
    cluster_.store.commit(
        std::move(txn),
        [this, batch = std::move(batch)](const StateAnswer& a) mutable {
          --accept_writes_;
          on_accepted(std::move(batch), a);
          if (Part* p = cluster_.ready(cluster_.self()); p != nullptr && !accepting_.empty())
            write_accepted(*p);
        },
        Store::Rank::first);
  }
}

void Jobs::on_accepted(Batch batch, const StateAnswer& a) {
  for (Accepting& one : batch.jobs) {
    const std::string& id = one.record.spec.id;
    for (Told& told : being_written_[id]) one.told.push_back(std::move(told));
    being_written_.erase(id);
  }
  if (!a.ok()) return not_accepted(batch, a);
  for (Accepting& one : batch.jobs) accepted(one, batch, a);
  Part* part = cluster_.known(batch.part, batch.generation);
  if (part != nullptr && cluster_.acting() && part->ready()) hooks_.schedule(*part);
}

/// The answer may be late: since the write was made, the job may have been found by its record, and even have
/// been cancelled and forgotten. Then it must not begin anew, and nobody is told that it is only accepted.
void Jobs::accepted(Accepting& one, const Batch& batch, const StateAnswer& a) {
  const std::string& id = one.record.spec.id;
  cluster_.context.info("accepted " + id + ": " + std::to_string(one.record.spec.tasks) + " tasks of " +
                        one.record.spec.team + ", in part " + batch.part + " at revision " +
                        std::to_string(a.revision));
  Part* part = cluster_.known(batch.part, batch.generation);
  if (part != nullptr) load_if_current(*part, one.record, batch.asked);
  const std::optional<Known> known = from_memory(id);
  for (Told& told : one.told) {
    if (known)
      told(known_reply(id, *known, is_final(known->phase) ? 200 : 201));
    else
      read_and_tell(id, told, true);
  }
}

void Jobs::not_accepted(Batch& batch, const StateAnswer& a) {
  if (a.outcome == Outcome::conflict) hooks_.doubt_holdings();
  // Without an answer they may have been accepted, or may be yet: then a later poll, a repeated submission or
  // the reading of the part's unfinished jobs finds them.
  Part* part = cluster_.known(batch.part, batch.generation);
  if (a.outcome == Outcome::lost && part != nullptr)
    part->next_reread = std::min(part->next_reread, cluster_.now() + kRereadSoon);
  auto failed = [&](const std::string& key) {
    return std::find(a.failed.begin(), a.failed.end(), key) != a.failed.end();
  };
  const bool held =
      a.outcome == Outcome::conflict && !a.failed.empty() && !failed(records::hold_key(batch.part));
  for (Accepting& one : batch.jobs) {
    const std::string& id = one.record.spec.id;
    if (a.outcome == Outcome::conflict &&
        (batch.jobs.size() == 1 || failed(records::live_key(id)) || failed(records::job_key(id)))) {
      // Known already, or the part is no longer ours.
      for (Told& told : one.told)
        read_and_tell(
            id, [told, id](const UserReply& r) { told(r.status == 404 ? unsure(id) : r); }, true);
    } else if (held) {
      accepting_.push_front(std::move(one));
    } else {
      for (Told& told : one.told) told(unsure(id));
    }
  }
}

// ---- the end of jobs -----------------------------------------------------------------------------

void Jobs::on_cancel(std::uint64_t request, const std::string& id) { cancel(id, to_user(request), true); }

void Jobs::cancel(const std::string& id, const Told& told, bool may_pass_on) {
  if (const auto state = cluster_.history.final_state(id))
    return told(known_reply(id, {state->phase, state->done, 0}));
  auto cancel_here = [this, id, told](Part& part, Job& job) {
    // An award under way would outlive the cancellation, whose write removes only those it knows of.
    if (job.finalizing || job.ended || job.offered > 0) return told(unsure(id));
    finalize(part, job, JobPhase::cancelled, told);
  };
  if (cluster_.acting())
    for (auto& [name, part] : cluster_.parts) {
      auto it = part.jobs.find(id);
      if (part.ready() && it != part.jobs.end() && it->second.owner.empty())
        return cancel_here(part, it->second);
    }
  auto pass_on = [this, id, told, may_pass_on](const std::vector<std::string>& hosts) {
    if (!may_pass_on) return told(unsure(id));
    ask(hosts, {0, JobQuery::Kind::cancel, id, false, {}}, kCancelWithin, told);
  };
  if (auto part = part_of_.find(id);
      part != part_of_.end() && may_pass_on && cluster_.holder(part->second) != cluster_.self())
    return pass_on({cluster_.holder(part->second)});
  const auto read = [this, id, told, pass_on, cancel_here, asked = cluster_.now()](const StateAnswer& a) {
    // Not live: whatever else there is to be told of it, it can't be cancelled any more.
    if (a.outcome == Outcome::absent) return read_and_tell(id, told, false);
    auto live = a.ok() && !a.rows.empty() ? records::live_job(a.rows.front().value) : std::nullopt;
    if (!live) return pass_on(peers());
    learn(*live);
    const std::string holder = cluster_.holder(live->part);
    if (holder != cluster_.self()) return pass_on({holder});
    Part* part = cluster_.ready(live->part);
    Job* job = part == nullptr ? nullptr : load_if_current(*part, *live, asked);
    if (job == nullptr) return told(unsure(id));
    cancel_here(*part, *job);
  };
  cluster_.store.get(records::live_key(id), read);
}

void Jobs::finalize(Part& part, Job& job, JobPhase phase, const Told& told) {
  job.finalizing = true;
  write_final({part.name, part.generation, job.spec.id, phase, false}, told);
}

void Jobs::write_final(const FinalWrite& write, const Told& told) {
  Part* part = cluster_.known(write.part, write.generation);
  if (part == nullptr || !part->jobs.contains(write.job)) return told(unsure(write.job));
  Job& job = part->jobs.at(write.job);
  const records::JobEntry entry{write.phase, static_cast<std::uint32_t>(job.tasks.size())};
  StateCommit txn;
  // A final state is written once, and never over another, whatever this controller believes.
  txn.conditions = {cluster_.holds(*part), {records::job_key(write.job), 0}};
  txn.writes = {{records::job_key(write.job), records::to_json(entry), 0},
                {records::live_key(write.job), std::nullopt, 0}};
  // The awards go in the same write: the winners stop as soon as they miss them.
  for (const auto& [key, winner] : job.awards) txn.writes.push_back({key, std::nullopt, 0});
  cluster_.store.commit(
      std::move(txn), [this, write, told](const StateAnswer& a) { on_final_written(write, a, told); },
      Store::Rank::first);
}

void Jobs::on_final_written(const FinalWrite& write, const StateAnswer& a, const Told& told) {
  if (a.ok()) return conclude(write, write.phase, told);
  Part* part = cluster_.known(write.part, write.generation);
  if (part == nullptr || !part->jobs.contains(write.job)) return told(unsure(write.job));
  if (a.outcome == Outcome::conflict) {
    hooks_.doubt_holdings();
    const bool is_final_already =
        std::find(a.failed.begin(), a.failed.end(), records::job_key(write.job)) != a.failed.end();
    if (is_final_already) return read_final(write, told);
  }
  told(unsure(write.job));
  FinalWrite again = write;
  again.outcome_unknown = write.outcome_unknown || a.outcome == Outcome::lost;
  if (!again.outcome_unknown) {
    part->jobs.at(write.job).finalizing = false;
    return;
  }
  // It may have been written, or may be yet: from here there is no way but forward.
  cluster_.context.later(kRetryFinal, [this, again] { write_final(again, [](const UserReply&) {}); });
}

void Jobs::read_final(const FinalWrite& write, const Told& told) {
  cluster_.store.get(records::job_key(write.job), [this, write, told](const StateAnswer& a) {
    const auto entry = a.ok() && !a.rows.empty() ? records::job_entry(a.rows.front().value) : std::nullopt;
    if (!entry) {
      told(unsure(write.job));
      cluster_.context.later(kRetryFinal, [this, write] { write_final(write, [](const UserReply&) {}); });
      return;
    }
    const bool ours = write.outcome_unknown && entry->phase == write.phase;
    if (!ours && cluster_.known(write.part, write.generation) != nullptr)
      cluster_.context.violated(Invariant::final_state_stays,
                                write.job + " is " + to_text(entry->phase) +
                                    " in the state service at revision " +
                                    std::to_string(a.rows.front().stamp) + ", and part " + write.part +
                                    " was to write that it is " + to_text(write.phase));
    conclude(write, entry->phase, told);
  });
}

void Jobs::conclude(const FinalWrite& write, JobPhase phase, const Told& told) {
  FinalState state{phase, 0};
  Part* part = cluster_.known(write.part, write.generation);
  if (part != nullptr && part->jobs.contains(write.job)) {
    Job& job = part->jobs.at(write.job);
    state.done = job.done;
    job.finalizing = false;
    part->end(job);
    if (!job.awards.empty())
      for (const auto& [host, route] : cluster_.routes)
        cluster_.context.act(PeerSend{host, Ended{write.job}});
    settle(*part);
  }
  remember(write.job, state);
  cluster_.context.info(write.job + (phase == JobPhase::done ? " is done" : " is cancelled") + ", in part " +
                        write.part);
  told(known_reply(write.job, {phase, state.done, 0}));
}

/// Makes the wish of ended jobs felt: nothing of them is wanted, and they go once nothing is left.
void Jobs::settle(Part& part) {
  std::vector<std::string> over;
  std::swap(over, part.over);
  for (std::string& id : over) {
    auto it = part.jobs.find(id);
    if (it == part.jobs.end()) continue;
    Job& job = it->second;
    for (std::uint32_t i = 0; job.present > 0 && i < job.tasks.size(); ++i) {
      const Task& task = job.tasks[i];
      if (task.state != Task::State::placed) continue;
      const AttemptId attempt{{id, i}, task.attempt};
      auto placed = task.machine->tasks.find(attempt);
      if (placed == task.machine->tasks.end() || !placed->second.wanted) continue;
      part.change(*task.machine, attempt, placed->second, [](Placement& p) { p.wanted = false; });
      cluster_.context.debug([&] {
        return id + "/" + std::to_string(i) + " is not wanted on " + task.machine->name +
               " any more: its job is over";
      });
      part.push_to(*task.machine);
    }
    if (job.present > 0 || job.finalizing || job.offered > 0) {
      part.over.push_back(std::move(id));
      continue;
    }
    std::erase_if(part.queue, [&](const Ranked& r) { return r.job == &job; });
    part.jobs.erase(it);
  }
}

// ---- what finished -------------------------------------------------------------------------------

DoneSlot& Jobs::slot_for(Part& part, const Job& job, std::uint32_t chunk) const {
  const std::pair key{job.spec.id, chunk};
  const std::size_t tasks =
      std::min<std::size_t>(records::kChunk, job.tasks.size() - std::size_t{chunk} * records::kChunk);
  const std::size_t bytes = records::done_bytes(job.spec.id, tasks);
  const std::size_t most = cluster_.context.settings.state_value_bytes * 9 / 10;
  std::uint32_t free = 0;
  DoneSlot* found = nullptr;
  for (auto& [number, slot] : part.done_slots) {
    if (slot.chunks.contains(key)) return slot;
    if (found == nullptr && slot.bytes + bytes <= most) found = &slot;
    free = number + 1;
  }
  if (found == nullptr) found = &part.done_slots[free];
  found->chunks.insert(key);
  found->bytes += bytes;
  return *found;
}

void Jobs::record(Part& part) {
  if (part.recording || cluster_.now() < part.next_recording) return;
  for (auto& [id, job] : part.jobs) {
    if (job.ended || job.finalizing) continue;
    std::uint32_t last = UINT32_MAX;
    for (std::uint32_t index : job.unrecorded)
      if (const std::uint32_t chunk = index / records::kChunk; chunk != last) {
        slot_for(part, job, chunk).dirty = true;
        last = chunk;
      }
  }
  StateCommit txn;
  txn.conditions = {cluster_.holds(part)};
  std::vector<Recorded> batch;
  std::vector<std::uint32_t> slots;
  std::size_t bytes = 0;
  for (auto& [number, slot] : part.done_slots) {
    if (!slot.dirty || slots.size() >= cluster_.context.settings.state_transaction_writes) continue;
    if (slot.in_doubt) return read_slot(part, number);
    std::vector<records::DoneBits> value;
    slot.bytes = 0;
    for (auto it = slot.chunks.begin(); it != slot.chunks.end();) {
      const auto& [id, chunk] = *it;
      auto found = part.jobs.find(id);
      if (found == part.jobs.end() || found->second.ended) {
        it = slot.chunks.erase(it);
        continue;
      }
      const Job& job = found->second;
      const std::size_t first = std::size_t{chunk} * records::kChunk;
      records::DoneBits done{id, chunk, {}};
      done.bits.resize(std::min<std::size_t>(records::kChunk, job.tasks.size() - first));
      slot.bytes += records::done_bytes(id, done.bits.size());
      for (std::size_t i = 0; i < done.bits.size(); ++i) done.bits[i] = job.recorded[first + i];
      Recorded recorded{id, chunk, {}};
      for (std::uint32_t index : job.unrecorded)
        if (index / records::kChunk == chunk) {
          done.bits[index % records::kChunk] = true;
          recorded.tasks.push_back(index);
        }
      if (!recorded.tasks.empty()) batch.push_back(std::move(recorded));
      value.push_back(std::move(done));
      ++it;
    }
    // With all its jobs over there is nothing to be kept; the slot is used again.
    if (value.empty()) {
      slot.dirty = false;
      continue;
    }
    bytes += slot.bytes;
    if (bytes > kTransactionBytes && !slots.empty()) break;
    // A late write of ours must not take back what a later one recorded.
    const std::string key = records::done_key(part.name, number);
    txn.conditions.push_back({key, slot.stamp});
    txn.writes.push_back({key, records::to_json(value), 0});
    slots.push_back(number);
  }
  if (txn.writes.empty()) return;
  part.recording = true;
  cluster_.store.commit(std::move(txn), [this, name = part.name, generation = part.generation,
                                         batch = std::move(batch), slots](const StateAnswer& a) {
    if (Part* p = cluster_.known(name, generation)) on_recorded(*p, batch, slots, a);
  });
}

void Jobs::on_recorded(Part& part, const std::vector<Recorded>& batch,
                       const std::vector<std::uint32_t>& slots, const StateAnswer& a) {
  part.recording = false;
  part.next_recording = cluster_.now() + kRecordEvery;
  if (a.outcome == Outcome::conflict) hooks_.doubt_holdings();
  for (std::uint32_t number : slots) {
    DoneSlot& slot = part.done_slots[number];
    if (a.ok())
      slot.stamp = a.revision, slot.dirty = false;
    else if (a.outcome != Outcome::refused)
      slot.in_doubt = true;
  }
  if (!a.ok()) return;
  std::set<std::string> owners;
  for (const Recorded& r : batch) {
    auto it = part.jobs.find(r.job);
    if (it == part.jobs.end()) continue;
    Job& job = it->second;
    for (std::uint32_t index : r.tasks) {
      job.recorded[index] = true;
      std::erase(job.unrecorded, index);
      // Its worker may forget it now; that need not be told before its next report.
    }
    if (!job.owner.empty()) owners.insert(job.owner);
  }
  for (const std::string& owner : owners)
    cluster_.context.act(PeerSend{cluster_.holder(owner), Progress{owner}});
}

void Jobs::read_slot(Part& part, std::uint32_t number) {
  part.recording = true;
  cluster_.store.get(records::done_key(part.name, number),
                     [this, name = part.name, generation = part.generation, number](const StateAnswer& a) {
                       Part* p = cluster_.known(name, generation);
                       if (p == nullptr) return;
                       p->recording = false;
                       if (!a.ok() && a.outcome != Outcome::absent) return;
                       DoneSlot& slot = p->done_slots[number];
                       slot.in_doubt = false;
                       slot.stamp = a.rows.empty() ? 0 : a.rows.front().stamp;
                     });
}

void Jobs::reread(Part& part) {
  if (part.rereading || cluster_.now() < part.next_reread) return;
  part.next_reread = cluster_.now() + kRereadEvery;
  part.rereading = true;
  cluster_.store.list(records::kLivePrefix, [this, name = part.name, generation = part.generation,
                                             asked = cluster_.now()](const StateAnswer& a) {
    Part* p = cluster_.known(name, generation);
    if (p == nullptr) return;
    p->rereading = false;
    if (!a.ok()) return;
    for (const StateRow& row : a.rows) {
      const auto record = records::live_job(row.value);
      if (record && record->part == name) load_if_current(*p, *record, asked);
    }
  });
}

void Jobs::tick() {
  const Micros now = cluster_.now();
  std::vector<std::uint64_t> late;
  for (auto& [id, asked] : asked_)
    if (now >= asked.until) late.push_back(id);
  for (std::uint64_t id : late) {
    Told told = std::move(asked_.at(id).told);
    asked_.erase(id);
    told(unsure({}));
  }
  // Nobody waits for what could not be written in time.
  Part* own = cluster_.ready(cluster_.self());
  while (!accepting_.empty() && (own == nullptr || cluster_.store.failing())) {
    for (Told& told : accepting_.front().told) told(unsure(accepting_.front().record.spec.id));
    accepting_.pop_front();
  }
  if (!cluster_.acting()) return;
  if (own != nullptr && !accepting_.empty()) write_accepted(*own);
  for (auto& [name, part] : cluster_.parts) {
    if (!part.ready()) continue;
    for (auto& [id, job] : part.jobs)
      if (job.owner.empty() && job.spec.shape == Shape::array && job.done == job.tasks.size() &&
          !job.finalizing && !job.ended && now >= job.retry_at) {
        job.retry_at = now + millis(300);
        finalize(part, job, JobPhase::done, [](const UserReply&) {});
      }
    record(part);
    settle(part);
    reread(part);
  }
}

}  // namespace bendtide
