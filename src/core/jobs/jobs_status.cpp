// What users are told of a job: from memory, from the record, or from the peer that holds it.
#include "core/jobs/jobs.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kAskWithin = millis(400);

}  // namespace

Jobs::ReplyCallback Jobs::to_user(std::uint64_t request) {
  return [this, request](const UserReply& reply) {
    const UserReply answer = never_older(reply);
    state_.context.debug([&] {
      return answer.id + ": request " + std::to_string(request) + " is answered " +
             std::to_string(answer.status) + " " + to_text(answer.phase) + ", " +
             std::to_string(answer.done) + " done, " + std::to_string(answer.running) + " running";
    });
    state_.context.act(AnswerUser{request, answer});
  };
}

UserReply Jobs::never_older(const UserReply& reply) {
  const std::optional<FinalState> final_state = state_.final_states.final_state(reply.id);
  if (!final_state || reply.status == 503) return reply;
  const bool tells_state = reply.status == 200 || reply.status == 201;
  if (tells_state && is_final(reply.phase) && reply.phase != final_state->phase) {
    state_.context.violated(Invariant::answers_agree, reply.id + " is " + to_text(final_state->phase) +
                                                          ", and was to be called " + to_text(reply.phase));
    return unavailable(reply.id);
  }
  if (tells_state && reply.phase == final_state->phase) return reply;
  return known_reply(reply.id, {final_state->phase, final_state->done, 0});
}

UserReply Jobs::known_reply(const std::string& id, const JobStatus& k, int status) {
  return {status, id, k.phase, k.done, k.running, 0, {}};
}

UserReply Jobs::absent(const std::string& id) { return {404, id, {}, 0, 0, 0, "no such job"}; }

UserReply Jobs::unavailable(const std::string& id, int retry_after_s) {
  return {503, id, {}, 0, 0, retry_after_s, "not able to tell now"};
}

void Jobs::remember(const std::string& id, const FinalState& state) {
  shard_of_.erase(id);
  if (state_.record_job_end(id, state)) return;
  state_.context.violated(Invariant::final_state_stays,
                          id + " is known as " + to_text(state_.final_states.final_state(id)->phase) +
                              " and now found " + to_text(state.phase));
}

void Jobs::learn(const records::LiveJob& record) {
  if (state_.final_states.has_ended(record.spec.id)) return;
  if (shard_of_.size() >= kRoutesRemembered) shard_of_.clear();
  shard_of_[record.spec.id] = record.shard;
}

std::optional<Jobs::JobStatus> Jobs::from_memory(const std::string& id) const {
  if (const auto state = state_.final_states.final_state(id)) return JobStatus{state->phase, state->done, 0};
  if (!state_.lease_valid() || state_.final_states.has_ended(id)) return std::nullopt;
  for (const auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    auto it = shard.jobs.find(id);
    if (it == shard.jobs.end() || !it->second.owner.empty()) continue;
    const Job& job = it->second;
    // While its last write is under way, only the key-value store can tell.
    if (job.finalizing || job.ended) return std::nullopt;
    JobStatus known;
    known.done = job.done;
    known.running = job.under_way();
    known.phase = known.running > 0 ? JobPhase::running : JobPhase::pending;
    return known;
  }
  return std::nullopt;
}

void Jobs::on_poll(std::uint64_t request, const std::string& id) { poll(id, to_user(request), true); }

/// One question about a job is asked at a time, however many ask it. Who asks while one is under way waits
/// for the next: the answer under way may be older than what that user has been told.
void Jobs::poll(const std::string& id, ReplyCallback respond, bool may_pass_on) {
  if (auto known = from_memory(id)) return respond(known_reply(id, *known));
  const SharedPoll poll{id, may_pass_on};
  auto [waiting, first] = shared_polls_.try_emplace(poll);
  if (first) return ask_holder_or_read(poll, {std::move(respond)});
  if (waiting->second.size() >= kQuestions) return respond(unavailable(id));
  waiting->second.push_back(std::move(respond));
}

void Jobs::ask_holder_or_read(const SharedPoll& poll, std::vector<ReplyCallback> askers) {
  const std::string& id = poll.id;
  const ReplyCallback answer = [this, poll, askers = std::move(askers)](const UserReply& reply) {
    for (const ReplyCallback& respond : askers) respond(reply);
    answer_those_who_waited(poll);
  };
  auto shard = shard_of_.find(id);
  const std::string leader_of = shard == shard_of_.end() ? state_.self() : state_.leader_of(shard->second);
  if (!poll.may_pass_on || leader_of == state_.self() || !state_.reachable(leader_of))
    return read_and_tell(id, answer, poll.may_pass_on);
  ask({leader_of}, {0, JobQuery::Kind::poll, id, false, {}}, kAskWithin,
      [this, id, answer](const UserReply& reply) {
        if (reply.status == 200) return answer(reply);
        read_and_tell(id, answer, true);
      });
}

void Jobs::answer_those_who_waited(const SharedPoll& poll) {
  std::vector<ReplyCallback> askers = std::move(shared_polls_.at(poll));
  shared_polls_.erase(poll);
  if (askers.empty()) return;
  if (auto known = from_memory(poll.id)) {
    for (const ReplyCallback& respond : askers) respond(known_reply(poll.id, *known));
    return;
  }
  shared_polls_.try_emplace(poll);
  ask_holder_or_read(poll, std::move(askers));
}

void Jobs::read_and_tell(const std::string& id, const ReplyCallback& respond, bool may_pass_on) {
  const JobRead read{id, state_.now(), may_pass_on, respond};
  if (state_.store.failing() && may_pass_on) return on_record_unreadable(read);
  state_.store.get(records::live_key(id), [this, read](const StoreResponse& a) { on_live_record(read, a); });
}

void Jobs::on_live_record(const JobRead& read, const StoreResponse& a) {
  if (a.outcome == Outcome::absent) {
    // Not live at that moment: over since before, or never accepted.
    state_.store.get(records::final_job_key(read.job),
                     [this, read](const StoreResponse& b) { on_final_record(read, b); });
    return;
  }
  const auto live = a.ok() && !a.entries.empty() ? records::live_job(a.entries.front().value) : std::nullopt;
  if (!live) return on_record_unreadable(read);
  // It has ended since this was read: how, the next read tells.
  if (state_.final_states.has_ended(read.job)) return read.respond(unavailable(read.job));
  learn(*live);
  if (Shard* shard = state_.ready_shard(live->shard)) load_if_current(*shard, *live, read.asked);
  // The record is fresh, so the answer is right either way; the leader knows the counts.
  const UserReply pending = known_reply(read.job, {});
  const std::string leader_of = state_.leader_of(live->shard);
  if (leader_of == state_.self() || !read.may_pass_on || !state_.reachable(leader_of))
    return read.respond(pending);
  ask({leader_of}, {0, JobQuery::Kind::poll, read.job, false, {}}, kAskWithin,
      [read, pending](const UserReply& reply) { read.respond(reply.status == 200 ? reply : pending); });
}

void Jobs::on_final_record(const JobRead& read, const StoreResponse& a) {
  if (a.outcome == Outcome::absent) return read.respond(absent(read.job));
  const auto entry =
      a.ok() && !a.entries.empty() ? records::final_job(a.entries.front().value) : std::nullopt;
  if (!entry) return on_record_unreadable(read);
  const FinalState state{entry->phase, entry->phase == JobPhase::done ? entry->tasks : 0};
  remember(read.job, state);
  read.respond(known_reply(read.job, {state.phase, state.done, 0}));
}

/// The key-value store does not answer us: it may answer a peer, and its leader knows the job without it.
void Jobs::on_record_unreadable(const JobRead& read) {
  if (!read.may_pass_on) return read.respond(unavailable(read.job));
  ask(peers(), {0, JobQuery::Kind::poll, read.job, true, {}}, kPassOnWithin, read.respond);
}

}  // namespace bendtide
