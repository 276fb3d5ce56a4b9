// The end of a job: its cancellation, its last write, and the stopping of what is left of it.
#include "core/jobs.h"

namespace bendtide {

using Outcome = StateAnswer::Outcome;

namespace {

constexpr Micros kCancelWithin = seconds(3);
constexpr Micros kRetryFinal = millis(300);

}  // namespace

void Jobs::on_cancel(std::uint64_t request, const std::string& id) { cancel(id, to_user(request), true); }

void Jobs::cancel(const std::string& id, const ReplyCallback& respond, bool may_pass_on) {
  if (const auto state = cluster_.history.final_state(id))
    return respond(known_reply(id, {state->phase, state->done, 0}));
  auto cancel_here = [this, id, respond](Part& part, Job& job) {
    // An award under way would outlive the cancellation, whose write removes only those it knows of.
    if (job.finalizing || job.ended || job.offered > 0) return respond(unavailable(id));
    finalize(part, job, JobPhase::cancelled, respond);
  };
  if (cluster_.acting())
    for (auto& [name, part] : cluster_.parts) {
      auto it = part.jobs.find(id);
      if (part.ready() && it != part.jobs.end() && it->second.owner.empty())
        return cancel_here(part, it->second);
    }
  auto pass_on = [this, id, respond, may_pass_on](const std::vector<std::string>& hosts) {
    if (!may_pass_on) return respond(unavailable(id));
    ask(hosts, {0, JobQuery::Kind::cancel, id, false, {}}, kCancelWithin, respond);
  };
  if (auto part = part_of_.find(id);
      part != part_of_.end() && may_pass_on && cluster_.holder(part->second) != cluster_.self())
    return pass_on({cluster_.holder(part->second)});
  const auto read = [this, id, respond, pass_on, cancel_here, asked = cluster_.now()](const StateAnswer& a) {
    // Not live: whatever else there is to be told of it, it can't be cancelled any more.
    if (a.outcome == Outcome::absent) return read_and_tell(id, respond, false);
    auto live = a.ok() && !a.rows.empty() ? records::live_job(a.rows.front().value) : std::nullopt;
    if (!live) return pass_on(peers());
    learn(*live);
    const std::string holder = cluster_.holder(live->part);
    if (holder != cluster_.self()) return pass_on({holder});
    Part* part = cluster_.ready(live->part);
    Job* job = part == nullptr ? nullptr : load_if_current(*part, *live, asked);
    if (job == nullptr) return respond(unavailable(id));
    cancel_here(*part, *job);
  };
  cluster_.store.get(records::live_key(id), read);
}

void Jobs::end_finished_jobs(Part& part) {
  for (auto& [id, job] : part.jobs) {
    const bool finished = job.owner.empty() && job.spec.shape == Shape::array && job.done == job.tasks.size();
    if (!finished || job.finalizing || job.ended || cluster_.now() < job.retry_at) continue;
    job.retry_at = cluster_.now() + kRetryFinal;
    finalize(part, job, JobPhase::done, [](const UserReply&) {});
  }
}

void Jobs::finalize(Part& part, Job& job, JobPhase phase, const ReplyCallback& respond) {
  job.finalizing = true;
  write_final({part.name, part.generation, job.spec.id, phase, false}, respond);
}

void Jobs::write_final(const FinalWrite& write, const ReplyCallback& respond) {
  Part* part = cluster_.known(write.part, write.generation);
  if (part == nullptr || !part->jobs.contains(write.job)) return respond(unavailable(write.job));
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
      std::move(txn), [this, write, respond](const StateAnswer& a) { on_final_written(write, a, respond); },
      Store::Rank::first);
}

void Jobs::on_final_written(const FinalWrite& write, const StateAnswer& a, const ReplyCallback& respond) {
  if (a.ok()) return conclude(write, write.phase, respond);
  Part* part = cluster_.known(write.part, write.generation);
  if (part == nullptr || !part->jobs.contains(write.job)) return respond(unavailable(write.job));
  if (a.outcome == Outcome::conflict) {
    hooks_.doubt_holdings();
    const bool is_final_already =
        std::find(a.failed.begin(), a.failed.end(), records::job_key(write.job)) != a.failed.end();
    if (is_final_already) return read_final(write, respond);
  }
  respond(unavailable(write.job));
  FinalWrite again = write;
  again.outcome_unknown = write.outcome_unknown || a.outcome == Outcome::lost;
  if (!again.outcome_unknown) {
    part->jobs.at(write.job).finalizing = false;
    return;
  }
  // It may have been written, or may be yet: from here there is no way but forward.
  cluster_.context.later(kRetryFinal, [this, again] { write_final(again, [](const UserReply&) {}); });
}

void Jobs::read_final(const FinalWrite& write, const ReplyCallback& respond) {
  cluster_.store.get(records::job_key(write.job), [this, write, respond](const StateAnswer& a) {
    const auto entry = a.ok() && !a.rows.empty() ? records::job_entry(a.rows.front().value) : std::nullopt;
    if (!entry) {
      respond(unavailable(write.job));
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
    conclude(write, entry->phase, respond);
  });
}

void Jobs::conclude(const FinalWrite& write, JobPhase phase, const ReplyCallback& respond) {
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
  respond(known_reply(write.job, {phase, state.done, 0}));
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

}  // namespace bendtide
