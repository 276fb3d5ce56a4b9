#include "core/jobs/jobs.h"

#include "core/jobs/ended_jobs.h"

namespace bendtide {

Jobs::Jobs(ControllerState& state, const Hooks& hooks)
    : state_(state),
      directory_(state),
      queries_(state),
      polls_(state, directory_, queries_),
      final_states_(state, directory_, hooks.invalidate_leases),
      cancellations_(state, directory_, queries_, polls_, final_states_),
      unfinished_jobs_(state, directory_),
      submissions_(state, directory_, queries_, polls_, unfinished_jobs_, hooks),
      recorder_(state, hooks.invalidate_leases) {}

void Jobs::tick() {
  queries_.expire();
  submissions_.fail_unwritable();
  if (!state_.lease_valid()) return;
  submissions_.write_queued();
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    final_states_.end_finished_jobs(shard);
    recorder_.record(shard);
    clean_up_ended_jobs(state_, shard);
    unfinished_jobs_.read(shard);
  }
}

void Jobs::on_submit(std::uint64_t request, const JobSpec& spec) {
  submissions_.submit(spec, reply_to_user(request), RequestOrigin::user);
}

void Jobs::on_invalid_submission(std::uint64_t request, const std::string& job, const std::string& why) {
  if (const auto known = directory_.known_status(job))
    return reply_to_user(request)(replies::status(job, *known));
  submissions_.refuse(replies::refusal(job, 400, why), reply_to_user(request), RequestOrigin::user);
}

void Jobs::on_poll(std::uint64_t request, const std::string& job) {
  polls_.poll(job, reply_to_user(request), RequestOrigin::user);
}

void Jobs::on_cancel(std::uint64_t request, const std::string& job) {
  cancellations_.cancel(job, reply_to_user(request), RequestOrigin::user);
}

void Jobs::on_query(const std::string& from_host, const JobQuery& query) {
  const ReplyCallback respond = reply_to_peer(from_host, query.id);
  switch (query.kind) {
    case JobQuery::Kind::poll:
      if (query.may_read_store) return polls_.poll(query.job, respond, RequestOrigin::peer);
      if (const auto known = directory_.known_status(query.job))
        return respond(replies::status(query.job, *known));
      return respond(replies::unavailable(query.job));
    case JobQuery::Kind::cancel:
      return cancellations_.cancel(query.job, respond, RequestOrigin::peer);
    case JobQuery::Kind::submit:
      return submissions_.submit(query.spec, respond, RequestOrigin::peer);
  }
}

void Jobs::on_reply(const JobReply& reply) { queries_.on_reply(reply); }

ReplyCallback Jobs::reply_to_user(std::uint64_t request) {
  return [this, request](const UserReply& reply) {
    const UserReply current = directory_.replace_if_outdated(reply);
    state_.context.debug([&] {
      return LogMessage("request answered")
          .job(current.id)
          .detail("request", request)
          .detail("status", static_cast<std::uint64_t>(current.status))
          .detail("phase", to_text(current.phase))
          .detail("done", current.done)
          .detail("running", current.running);
    });
    state_.context.emit(AnswerUser{request, current});
  };
}

ReplyCallback Jobs::reply_to_peer(const std::string& host, std::uint64_t query) {
  return [this, host, query](const UserReply& reply) {
    const UserReply current = directory_.replace_if_outdated(reply);
    state_.context.emit(PeerSend{host, JobReply{query, static_cast<std::uint32_t>(current.status),
                                                current.phase, current.done, current.running}});
  };
}

}  // namespace bendtide
