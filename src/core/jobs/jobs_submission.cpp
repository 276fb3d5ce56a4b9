// Submissions: checked, gathered, written, and then told.
#include "core/jobs/jobs.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kRereadEvery = seconds(60);
constexpr Micros kRereadSoon = seconds(3);
/// Submissions may wait for the budget of writes this long; later ones are told to come back.
constexpr double kAcceptWithinSeconds = 1.5;

}  // namespace

std::optional<std::string> Jobs::impossible(const JobSpec& spec) const {
  const Team* team = state_.context.settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const bool fits = std::any_of(state_.catalogue.begin(), state_.catalogue.end(), [&](const MachineType& t) {
    return spec.allows_type(t.name) && spec.each.fits_in(t.size) &&
           (!spec.zone || std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end());
  });
  if (!fits) return "a task fits no allowed machine type";
  const std::int64_t at_once = spec.shape == Shape::service ? spec.tasks : 1;
  if (!(quota_of(spec.each) * at_once).fits_in(team->limit)) return "more than the team's limit";
  return std::nullopt;
}

Job& Jobs::load(Shard& shard, const records::LiveJob& record) {
  auto [it, fresh] = shard.jobs.try_emplace(record.spec.id);
  Job& job = it->second;
  if (!fresh) return job;
  job.spec = record.spec;
  job.accepted = record.accepted;
  job.recorded.assign(record.spec.tasks, false);
  job.tasks.resize(record.spec.tasks);
  job.waiting.reserve(record.spec.tasks);
  for (std::uint32_t i = record.spec.tasks; i > 0; --i) job.waiting.push_back(i - 1);
  shard.changed();
  return job;
}

Job* Jobs::load_if_current(Shard& shard, const records::LiveJob& record, Micros asked) {
  return state_.may_act_on(shard, record.spec.id, asked) ? &load(shard, record) : nullptr;
}

bool Jobs::can_accept() const {
  return state_.held_shard(state_.self()) != nullptr && state_.shards.at(state_.self()).ready() &&
         !state_.catalogue.empty() && !state_.store.failing();
}

void Jobs::on_submit(std::uint64_t request, const JobSpec& spec) { submit(spec, to_user(request), true); }

void Jobs::submit(const JobSpec& spec, ReplyCallback respond, bool may_pass_on) {
  const std::string& id = spec.id;
  if (auto known = from_memory(id)) return respond(known_reply(id, *known));
  if (!can_accept()) {
    if (!may_pass_on) return respond(unavailable(id));
    return ask(peers(), {0, JobQuery::Kind::submit, id, false, spec}, kPassOnWithin, std::move(respond));
  }
  if (const auto reason = impossible(spec))
    return refuse(id, {422, id, {}, 0, 0, 0, *reason}, std::move(respond), may_pass_on);
  if (auto it = submissions_in_flight_.find(id); it != submissions_in_flight_.end()) {
    it->second.push_back(std::move(respond));
    return;
  }
  for (Submission& a : queued_submissions_)
    if (a.record.spec.id == id) {
      a.callbacks.push_back(std::move(respond));
      return;
    }
  const Settings& s = state_.context.settings;
  const double per_second = s.store_writes_per_s / static_cast<double>(s.controllers());
  if (static_cast<double>(queued_submissions_.size()) >= std::max(8.0, per_second * kAcceptWithinSeconds))
    return respond(unavailable(id, 2));
  queued_submissions_.push_back({{state_.self(), spec, state_.context.wall}, {std::move(respond)}});
  write_accepted(*state_.ready_shard(state_.self()));
}

void Jobs::on_malformed(std::uint64_t request, const std::string& id, const std::string& why) {
  if (auto known = from_memory(id)) return to_user(request)(known_reply(id, *known));
  refuse(id, {400, id, {}, 0, 0, 0, why}, to_user(request), true);
}

/// A job that was accepted before, perhaps under other settings or with another body, stays accepted: only
/// one that is not known is refused.
void Jobs::refuse(const std::string& id, UserReply refusal, ReplyCallback respond, bool may_pass_on) {
  const bool under_way = submissions_in_flight_.contains(id) ||
                         std::any_of(queued_submissions_.begin(), queued_submissions_.end(),
                                     [&](const Submission& a) { return a.record.spec.id == id; });
  if (under_way) return respond(unavailable(id));
  read_and_tell(
      id,
      [respond = std::move(respond), refusal = std::move(refusal)](const UserReply& reply) {
        respond(reply.status == 404 ? refusal : reply);
      },
      may_pass_on);
}

/// All submissions that have gathered while a write was under way go with the next one.
void Jobs::write_accepted(Shard& shard) {
  const std::size_t most = std::max<std::size_t>(1, state_.context.settings.store_transaction_writes / 2);
  while (!queued_submissions_.empty() && acceptance_writes_ < kAcceptanceWrites) {
    Batch batch{shard.name, shard.leadership_term, state_.now(), {}};
    Transaction transaction;
    transaction.compares = {state_.fenced_by(shard)};
    while (!queued_submissions_.empty() && batch.jobs.size() < most) {
      const records::LiveJob& record = queued_submissions_.front().record;
      transaction.compares.push_back({records::live_key(record.spec.id), 0});
      transaction.compares.push_back({records::final_job_key(record.spec.id), 0});
      transaction.writes.push_back({records::live_key(record.spec.id), records::to_json(record), 0});
      submissions_in_flight_[record.spec.id];
      batch.jobs.push_back(std::move(queued_submissions_.front()));
      queued_submissions_.pop_front();
    }
    ++acceptance_writes_;
    state_.store.commit(
        std::move(transaction),
        [this, batch = std::move(batch)](const StoreResponse& a) mutable {
          --acceptance_writes_;
          on_accepted(std::move(batch), a);
          if (Shard* p = state_.ready_shard(state_.self()); p != nullptr && !queued_submissions_.empty())
            write_accepted(*p);
        },
        KeyValueClient::RequestPriority::high);
  }
}

void Jobs::on_accepted(Batch batch, const StoreResponse& a) {
  for (Submission& one : batch.jobs) {
    const std::string& id = one.record.spec.id;
    for (ReplyCallback& respond : submissions_in_flight_[id]) one.callbacks.push_back(std::move(respond));
    submissions_in_flight_.erase(id);
  }
  if (!a.ok()) return not_accepted(batch, a);
  for (Submission& one : batch.jobs) accepted(one, batch, a);
  Shard* shard = state_.shard_in_term(batch.shard, batch.leadership_term);
  if (shard != nullptr && state_.lease_valid() && shard->ready()) hooks_.schedule(*shard);
}

/// The answer may be late: since the write was made, the job may have been found by its record, and even have
/// been cancelled and forgotten. Then it must not begin anew, and nobody is told that it is only accepted.
void Jobs::accepted(Submission& one, const Batch& batch, const StoreResponse& a) {
  const std::string& id = one.record.spec.id;
  state_.context.info("accepted " + id + ": " + std::to_string(one.record.spec.tasks) + " tasks of " +
                      one.record.spec.team + ", in part " + batch.shard + " at revision " +
                      to_string(a.revision));
  Shard* shard = state_.shard_in_term(batch.shard, batch.leadership_term);
  if (shard != nullptr && load_if_current(*shard, one.record, batch.asked) == nullptr)
    shard->unfinished_jobs_read.bring_forward(state_.now() + kRereadSoon);
  const std::optional<JobStatus> known = from_memory(id);
  for (ReplyCallback& respond : one.callbacks) {
    if (known)
      respond(known_reply(id, *known, is_final(known->phase) ? 200 : 201));
    else
      read_and_tell(id, respond, true);
  }
}

void Jobs::not_accepted(Batch& batch, const StoreResponse& a) {
  if (a.outcome == Outcome::conflict) hooks_.invalidate_leases();
  // Without an answer they may have been accepted, or may be yet: then a later poll, a repeated submission or
  // the reading of the shard's unfinished jobs finds them.
  Shard* shard = state_.shard_in_term(batch.shard, batch.leadership_term);
  if (a.outcome == Outcome::unknown && shard != nullptr)
    shard->unfinished_jobs_read.bring_forward(state_.now() + kRereadSoon);
  auto failed = [&](const std::string& key) {
    return std::find(a.failed.begin(), a.failed.end(), key) != a.failed.end();
  };
  const bool held =
      a.outcome == Outcome::conflict && !a.failed.empty() && !failed(records::lease_key(batch.shard));
  for (Submission& one : batch.jobs) {
    const std::string& id = one.record.spec.id;
    if (a.outcome == Outcome::conflict &&
        (batch.jobs.size() == 1 || failed(records::live_key(id)) || failed(records::final_job_key(id)))) {
      // Known already, or the shard is no longer ours.
      for (ReplyCallback& respond : one.callbacks)
        read_and_tell(
            id, [respond, id](const UserReply& r) { respond(r.status == 404 ? unavailable(id) : r); }, true);
    } else if (held) {
      queued_submissions_.push_front(std::move(one));
    } else {
      for (ReplyCallback& respond : one.callbacks) respond(unavailable(id));
    }
  }
}

/// Nobody waits for what could not be written in time.
void Jobs::give_up_queued_submissions() {
  const bool can_write = state_.ready_shard(state_.self()) != nullptr && !state_.store.failing();
  while (!queued_submissions_.empty() && !can_write) {
    const Submission& submission = queued_submissions_.front();
    for (const ReplyCallback& respond : submission.callbacks) respond(unavailable(submission.record.spec.id));
    queued_submissions_.pop_front();
  }
}

void Jobs::reread(Shard& shard) {
  if (!shard.unfinished_jobs_read.due(state_.now())) return;
  shard.unfinished_jobs_read.schedule(state_.now() + kRereadEvery);
  shard.unfinished_jobs_read.begin();
  state_.store.list(records::kLivePrefix, [this, name = shard.name, leadership_term = shard.leadership_term,
                                           asked = state_.now()](const StoreResponse& a) {
    Shard* p = state_.shard_in_term(name, leadership_term);
    if (p == nullptr) return;
    p->unfinished_jobs_read.end();
    if (!a.ok()) return;
    for (const KeyValue& entry : a.entries) {
      const auto record = records::live_job(entry.value);
      if (record && record->shard == name) load_if_current(*p, *record, asked);
    }
  });
}

}  // namespace bendtide
