// Questions that controllers ask each other for their users.
#include "core/jobs/jobs.h"

namespace bendtide {

std::vector<std::string> Jobs::peers() const {
  std::vector<std::string> hosts;
  for (const Peer& peer : state_.context.settings.peers) hosts.push_back(peer.host);
  return hosts;
}

void Jobs::ask(const std::vector<std::string>& hosts, JobQuery query, Micros within, ReplyCallback respond) {
  if (hosts.empty() || pending_questions_.size() >= kQuestions) return respond(unavailable(query.job));
  query.id = next_question_++;
  pending_questions_[query.id] = {state_.now() + within, hosts.size(),
                                  [id = query.job, respond = std::move(respond)](const UserReply& reply) {
                                    UserReply mine = reply;
                                    mine.id = id;
                                    respond(mine);
                                  }};
  for (const std::string& host : hosts) state_.context.act(PeerSend{host, query});
}

void Jobs::on_reply(const JobReply& reply) {
  auto it = pending_questions_.find(reply.id);
  if (it == pending_questions_.end()) return;
  if (reply.status == 503 && --it->second.outstanding > 0) return;
  ReplyCallback respond = std::move(it->second.respond);
  pending_questions_.erase(it);
  UserReply out;
  out.status = static_cast<int>(reply.status);
  out.phase = reply.phase;
  out.done = reply.done;
  out.running = reply.running;
  if (out.status == 503) out.retry_after_s = 1;
  if (out.status >= 400) out.error = "as another controller says";
  respond(out);
}

void Jobs::give_up_late_questions() {
  std::vector<std::uint64_t> late;
  for (const auto& [id, question] : pending_questions_)
    if (state_.now() >= question.until) late.push_back(id);
  for (const std::uint64_t id : late) {
    const ReplyCallback respond = std::move(pending_questions_.at(id).respond);
    pending_questions_.erase(id);
    respond(unavailable({}));
  }
}

void Jobs::on_query(const std::string& from, const JobQuery& query) {
  ReplyCallback reply = [this, from, id = query.id](const UserReply& answer) {
    const UserReply known = never_older(answer);
    state_.context.act(PeerSend{from, JobReply{id, static_cast<std::uint32_t>(known.status), known.phase,
                                               known.done, known.running}});
  };
  switch (query.kind) {
    case JobQuery::Kind::poll:
      if (query.fresh) return poll(query.job, reply, false);
      if (auto known = from_memory(query.job)) return reply(known_reply(query.job, *known));
      return reply(unavailable(query.job));
    case JobQuery::Kind::cancel:
      return cancel(query.job, reply, false);
    case JobQuery::Kind::submit:
      return submit(query.spec, reply, false);
  }
}

}  // namespace bendtide
