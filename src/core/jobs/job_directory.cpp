#include "core/jobs/job_directory.h"

namespace bendtide {

std::optional<JobStatus> JobDirectory::known_status(const std::string& job_id) const {
  if (const auto final_state = state_.final_states.final_state(job_id))
    return JobStatus{final_state->phase, final_state->done, 0};
  if (!state_.lease_valid() || state_.final_states.has_ended(job_id)) return std::nullopt;
  for (const auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    const auto found = shard.jobs.find(job_id);
    if (found == shard.jobs.end() || !found->second.owner.empty()) continue;
    const Job& job = found->second;
    // While the write of the final state is in flight, only the key-value store knows the job's status.
    if (job.finalizing || job.ended) return std::nullopt;
    JobStatus status;
    status.done = job.done;
    status.running = job.tasks_in_progress();
    status.phase = status.running > 0 ? JobPhase::running : JobPhase::pending;
    return status;
  }
  return std::nullopt;
}

Shard* JobDirectory::shard_with_own_job(const std::string& job_id) {
  if (!state_.lease_valid()) return nullptr;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    const auto found = shard.jobs.find(job_id);
    if (found != shard.jobs.end() && found->second.owner.empty()) return &shard;
  }
  return nullptr;
}

UserReply JobDirectory::replace_if_outdated(const UserReply& reply) const {
  const std::optional<FinalState> final_state = state_.final_states.final_state(reply.id);
  if (!final_state || reply.status == 503) return reply;
  const bool shows_phase = reply.status == 200 || reply.status == 201;
  if (shows_phase && is_final(reply.phase) && reply.phase != final_state->phase) {
    state_.context.report_violation(Invariant::answers_agree,
                                    LogMessage("reply differs from the final state")
                                        .job(reply.id)
                                        .detail("final_state", to_text(final_state->phase))
                                        .detail("reply", to_text(reply.phase)));
    return replies::unavailable(reply.id);
  }
  if (shows_phase && reply.phase == final_state->phase) return reply;
  return replies::status(reply.id, {final_state->phase, final_state->done, 0});
}

void JobDirectory::remember_shard(const records::LiveJob& record) {
  if (state_.final_states.has_ended(record.spec.id)) return;
  if (shard_of_.size() >= kMaxRememberedShards) shard_of_.clear();
  shard_of_[record.spec.id] = record.shard;
}

std::string JobDirectory::leader_of(const std::string& job) const {
  const auto shard = shard_of_.find(job);
  return shard == shard_of_.end() ? state_.own_host() : state_.leader_of(shard->second);
}

void JobDirectory::record_final_state(const std::string& job, const FinalState& final_state) {
  shard_of_.erase(job);
  if (state_.record_job_end(job, final_state)) return;
  const FinalState remembered = *state_.final_states.final_state(job);
  state_.context.report_violation(Invariant::final_state_stays,
                                  LogMessage("final state differs from the one remembered")
                                      .job(job)
                                      .detail("remembered", to_text(remembered.phase))
                                      .detail("found", to_text(final_state.phase)));
}

Job& JobDirectory::load(Shard& shard, const records::LiveJob& record) {
  const auto [found, is_new] = shard.jobs.try_emplace(record.spec.id);
  Job& job = found->second;
  if (!is_new) return job;
  job.spec = record.spec;
  job.accepted_at = record.accepted_at;
  job.recorded.assign(record.spec.tasks, false);
  job.tasks.resize(record.spec.tasks);
  job.waiting.reserve(record.spec.tasks);
  for (std::uint32_t i = record.spec.tasks; i > 0; --i) job.waiting.push_back(i - 1);
  shard.request_scheduling_pass();
  return job;
}

Job* JobDirectory::load_if_current(Shard& shard, const records::LiveJob& record, Micros requested_at) {
  return state_.may_act_on(shard, record.spec.id, requested_at) ? &load(shard, record) : nullptr;
}

}  // namespace bendtide
