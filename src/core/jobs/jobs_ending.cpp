// The end of a job: its cancellation, its last write, and the stopping of what is left of it.
#include "core/jobs/jobs.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kCancelWithin = seconds(3);
constexpr Micros kRetryFinal = millis(300);

}  // namespace

void Jobs::on_cancel(std::uint64_t request, const std::string& id) { cancel(id, to_user(request), true); }

void Jobs::cancel(const std::string& id, const ReplyCallback& respond, bool may_pass_on) {
  if (const auto state = state_.final_states.final_state(id))
    return respond(known_reply(id, {state->phase, state->done, 0}));
  auto cancel_here = [this, id, respond](Shard& shard, Job& job) {
    // An award under way would outlive the cancellation, whose write removes only those it knows of.
    if (job.finalizing || job.ended || job.tasks_in_award > 0) return respond(unavailable(id));
    finalize(shard, job, JobPhase::cancelled, respond);
  };
  if (state_.lease_valid())
    for (auto& [name, shard] : state_.shards) {
      auto it = shard.jobs.find(id);
      if (shard.ready() && it != shard.jobs.end() && it->second.owner.empty())
        return cancel_here(shard, it->second);
    }
  auto pass_on = [this, id, respond, may_pass_on](const std::vector<std::string>& hosts) {
    if (!may_pass_on) return respond(unavailable(id));
    ask(hosts, {0, JobQuery::Kind::cancel, id, false, {}}, kCancelWithin, respond);
  };
  if (auto shard = shard_of_.find(id);
      shard != shard_of_.end() && may_pass_on && state_.leader_of(shard->second) != state_.self())
    return pass_on({state_.leader_of(shard->second)});
  const auto read = [this, id, respond, pass_on, cancel_here, asked = state_.now()](const StoreResponse& a) {
    // Not live: whatever else there is to be told of it, it can't be cancelled any more.
    if (a.outcome == Outcome::absent) return read_and_tell(id, respond, false);
    auto live = a.ok() && !a.entries.empty() ? records::live_job(a.entries.front().value) : std::nullopt;
    if (!live) return pass_on(peers());
    learn(*live);
    const std::string leader_of = state_.leader_of(live->shard);
    if (leader_of != state_.self()) return pass_on({leader_of});
    Shard* shard = state_.ready_shard(live->shard);
    Job* job = shard == nullptr ? nullptr : load_if_current(*shard, *live, asked);
    if (job == nullptr) return respond(unavailable(id));
    cancel_here(*shard, *job);
  };
  state_.store.get(records::live_key(id), read);
}

void Jobs::end_finished_jobs(Shard& shard) {
  for (auto& [id, job] : shard.jobs) {
    const bool finished = job.owner.empty() && job.spec.shape == Shape::array && job.done == job.tasks.size();
    if (!finished || job.finalizing || job.ended || state_.now() < job.retry_at) continue;
    job.retry_at = state_.now() + kRetryFinal;
    finalize(shard, job, JobPhase::done, [](const UserReply&) {});
  }
}

void Jobs::finalize(Shard& shard, Job& job, JobPhase phase, const ReplyCallback& respond) {
  job.finalizing = true;
  write_final({shard.name, shard.leadership_term, job.spec.id, phase, false}, respond);
}

void Jobs::write_final(const FinalWrite& write, const ReplyCallback& respond) {
  Shard* shard = state_.shard_in_term(write.shard, write.leadership_term);
  if (shard == nullptr || !shard->jobs.contains(write.job)) return respond(unavailable(write.job));
  Job& job = shard->jobs.at(write.job);
  const records::FinalJob entry{write.phase, static_cast<std::uint32_t>(job.tasks.size())};
  Transaction transaction;
  // A final state is written once, and never over another, whatever this controller believes.
  transaction.compares = {state_.fenced_by(*shard), {records::final_job_key(write.job), 0}};
  transaction.writes = {{records::final_job_key(write.job), records::to_json(entry), 0},
                        {records::live_key(write.job), std::nullopt, 0}};
  // The awards go in the same write: the winners stop as soon as they miss them.
  for (const auto& [key, winner] : job.awards) transaction.writes.push_back({key, std::nullopt, 0});
  state_.store.commit(
      std::move(transaction),
      [this, write, respond](const StoreResponse& a) { on_final_written(write, a, respond); },
      KeyValueClient::RequestPriority::high);
}

void Jobs::on_final_written(const FinalWrite& write, const StoreResponse& a, const ReplyCallback& respond) {
  if (a.ok()) return conclude(write, write.phase, respond);
  Shard* shard = state_.shard_in_term(write.shard, write.leadership_term);
  if (shard == nullptr || !shard->jobs.contains(write.job)) return respond(unavailable(write.job));
  if (a.outcome == Outcome::conflict) {
    hooks_.invalidate_leases();
    const bool is_final_already =
        std::find(a.failed.begin(), a.failed.end(), records::final_job_key(write.job)) != a.failed.end();
    if (is_final_already) return read_final(write, respond);
  }
  respond(unavailable(write.job));
  FinalWrite again = write;
  again.outcome_unknown = write.outcome_unknown || a.outcome == Outcome::unknown;
  if (!again.outcome_unknown) {
    shard->jobs.at(write.job).finalizing = false;
    return;
  }
  // It may have been written, or may be yet: from here there is no way but forward.
  state_.context.later(kRetryFinal, [this, again] { write_final(again, [](const UserReply&) {}); });
}

void Jobs::read_final(const FinalWrite& write, const ReplyCallback& respond) {
  state_.store.get(records::final_job_key(write.job), [this, write, respond](const StoreResponse& a) {
    const auto entry =
        a.ok() && !a.entries.empty() ? records::final_job(a.entries.front().value) : std::nullopt;
    if (!entry) {
      respond(unavailable(write.job));
      state_.context.later(kRetryFinal, [this, write] { write_final(write, [](const UserReply&) {}); });
      return;
    }
    const bool ours = write.outcome_unknown && entry->phase == write.phase;
    if (!ours && state_.shard_in_term(write.shard, write.leadership_term) != nullptr)
      state_.context.violated(Invariant::final_state_stays,
                              write.job + " is " + to_text(entry->phase) +
                                  " in the state service at revision " +
                                  to_string(a.entries.front().revision) + ", and part " + write.shard +
                                  " was to write that it is " + to_text(write.phase));
    conclude(write, entry->phase, respond);
  });
}

void Jobs::conclude(const FinalWrite& write, JobPhase phase, const ReplyCallback& respond) {
  FinalState state{phase, 0};
  Shard* shard = state_.shard_in_term(write.shard, write.leadership_term);
  if (shard != nullptr && shard->jobs.contains(write.job)) {
    Job& job = shard->jobs.at(write.job);
    state.done = job.done;
    job.finalizing = false;
    shard->end(job);
    if (!job.awards.empty())
      for (const auto& [host, route] : state_.routes)
        state_.context.act(PeerSend{host, JobEndNotice{write.job}});
    settle(*shard);
  }
  remember(write.job, state);
  state_.context.info(write.job + (phase == JobPhase::done ? " is done" : " is cancelled") + ", in part " +
                      write.shard);
  respond(known_reply(write.job, {phase, state.done, 0}));
}

/// Makes the wish of ended jobs felt: nothing of them is wanted, and they go once nothing is left.
void Jobs::settle(Shard& shard) {
  std::vector<std::string> over;
  std::swap(over, shard.ended_jobs);
  for (std::string& id : over) {
    auto it = shard.jobs.find(id);
    if (it == shard.jobs.end()) continue;
    Job& job = it->second;
    for (std::uint32_t i = 0; job.present > 0 && i < job.tasks.size(); ++i) {
      const Task& task = job.tasks[i];
      if (task.state != Task::State::placed) continue;
      const AttemptId attempt{{id, i}, task.attempt};
      auto placed = task.machine->tasks.find(attempt);
      if (placed == task.machine->tasks.end() || !placed->second.wanted) continue;
      shard.change(*task.machine, attempt, placed->second, [](Placement& p) { p.wanted = false; });
      state_.context.debug([&] {
        return id + "/" + std::to_string(i) + " is not wanted on " + task.machine->name +
               " any more: its job is over";
      });
      shard.request_push(*task.machine);
    }
    if (job.present > 0 || job.finalizing || job.tasks_in_award > 0) {
      shard.ended_jobs.push_back(std::move(id));
      continue;
    }
    std::erase_if(shard.queue, [&](const QueueEntry& r) { return r.job == &job; });
    shard.jobs.erase(it);
  }
}

}  // namespace bendtide
