#include "core/negotiation/award_reader.h"

#include <algorithm>

#include "core/negotiation/task_ranges.h"

namespace bendtide {

namespace {

constexpr Micros kReadInterval = seconds(2);
/// Finds the returned tasks whose notice was lost.
constexpr Micros kOutgoingReadInterval = seconds(10);
/// The shortest time between two reads of the awards that a shard has made, however many notices arrive.
constexpr Micros kMinOutgoingReadInterval = seconds(2);

/// Returns the job of an award, owned by another shard, with none of its tasks assigned to this shard yet.
Job make_awarded_job(const records::Award& award) {
  Job job;
  job.spec = award.job.spec;
  job.accepted_at = award.job.accepted_at;
  job.owner = award.owner;
  job.tasks.assign(job.spec.tasks, {Task::State::elsewhere, nullptr, 0});
  job.recorded.assign(job.spec.tasks, false);
  return job;
}

/// Lets awarded tasks wait, and tasks that are no longer awarded do so no longer.
void apply_awards(Job& job) {
  std::vector<bool> awarded(job.tasks.size());
  for (const auto& [key, award] : job.awards)
    for (const std::uint32_t task : tasks_in(award.ranges, job.tasks.size())) awarded[task] = true;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    const Task::State state = job.tasks[task].state;
    if (awarded[task] && state == Task::State::elsewhere)
      job.set_waiting(task);
    else if (!awarded[task] && state == Task::State::waiting)
      job.leave_waiting(task, {Task::State::elsewhere, nullptr, 0});
  }
  job.has_changed_awards = false;
}

/// Lets the tasks of an award that it no longer covers wait in the shard of the owner again.
void take_back(Job& job, const std::vector<records::TaskRange>& before,
               const std::vector<records::TaskRange>& now) {
  std::vector<bool> still_awarded(job.tasks.size());
  for (const std::uint32_t task : tasks_in(now, job.tasks.size())) still_awarded[task] = true;
  for (const std::uint32_t task : tasks_in(before, job.tasks.size()))
    if (!still_awarded[task] && job.tasks[task].state == Task::State::elsewhere) job.set_waiting(task);
}

}  // namespace

void AwardReader::refresh(Shard& shard) {
  if (shard.award_read.due(state_.now())) read_awards(shard);
  const bool has_awarded = std::any_of(shard.jobs.begin(), shard.jobs.end(),
                                       [](const auto& entry) { return entry.second.has_outgoing_awards(); });
  if (has_awarded && shard.outgoing_award_read.due(state_.now())) read_outgoing_awards(shard);
}

void AwardReader::on_award_notice(const std::string& name) {
  Shard* shard = state_.ready_shard(name);
  if (shard == nullptr) return;
  shard->award_read.bring_forward(state_.now());
  shard->outgoing_award_read.bring_forward(
      std::max(state_.now(), shard->outgoing_awards_read_at + kMinOutgoingReadInterval));
  shard->quota.mark_stale();
}

// ---- awards --------------------------------------------------------------------------------------

void AwardReader::read_awards(Shard& shard) {
  shard.award_read.begin();
  shard.award_read.schedule(state_.now() + kReadInterval);
  state_.store.list(records::award_prefix(shard.name),
                    [this, name = shard.name, leadership_term = shard.leadership_term,
                     requested_at = state_.now()](const StoreResponse& response) {
                      if (Shard* read_shard = state_.shard_in_term(name, leadership_term))
                        on_awards_read(*read_shard, response, requested_at);
                    });
}

void AwardReader::on_awards_read(Shard& shard, const StoreResponse& response, Micros requested_at) {
  shard.award_read.end();
  if (!response.ok()) return;
  shard.award_freshness.confirm(requested_at, state_.context.settings.lease_term());
  shard.request_scheduling_pass();
  std::set<std::string> stored_keys;
  for (const KeyValue& entry : response.entries) stored_keys.insert(entry.key);
  for (auto& [id, job] : shard.jobs) {
    if (job.owner.empty()) continue;
    const auto removed =
        std::erase_if(job.awards, [&](const auto& award) { return !stored_keys.contains(award.first); });
    job.has_changed_awards |= removed > 0;
  }
  load_awards(shard, response.entries, requested_at);
  for (auto& [id, job] : shard.jobs) {
    // The owner removes the awards of a job once the job is done or cancelled.
    if (!job.owner.empty() && job.awards.empty()) shard.mark_ended(job);
  }
}

void AwardReader::load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros requested_at) {
  for (const KeyValue& entry : entries) {
    const std::vector<std::string> key = records::split_key(entry.key);
    const auto award = records::read_award(entry.value);
    if (key.size() != 4 || !award) continue;
    const std::string& winner = key[1];
    if (winner == shard.name)
      load_incoming_award(shard, entry, *award, requested_at);
    else if (award->owner == shard.name)
      load_outgoing_award(shard, entry, winner, *award);
  }
  for (auto& [id, job] : shard.jobs) {
    // A read that was requested before the last return may still show the tasks that were returned.
    if (!job.has_changed_awards || job.tasks_in_return > 0 || requested_at < job.last_return_at) continue;
    apply_awards(job);
    shard.request_scheduling_pass();
  }
}

void AwardReader::load_incoming_award(Shard& shard, const KeyValue& entry, const records::Award& award,
                                      Micros requested_at) {
  // The job may have ended since the read was requested.
  const std::string& id = award.job.spec.id;
  if (!state_.may_act_on(shard, id, requested_at)) return;
  auto found = shard.jobs.find(id);
  if (found == shard.jobs.end()) {
    Job awarded = make_awarded_job(award);
    awarded.may_be_on_unreconciled_machines = !shard.ready();
    shard.has_unreconciled_jobs |= awarded.may_be_on_unreconciled_machines;
    found = shard.jobs.emplace(id, std::move(awarded)).first;
  }
  Job& job = found->second;
  // A job all of whose tasks were returned is loaded anew once it has left the shard.
  if (job.owner.empty() || job.ended) return;
  JobAward& known = job.awards[entry.key];
  if (known.revision == entry.revision) return;
  known = {shard.name, award.ranges, entry.revision, requested_at};
  job.has_changed_awards = true;
}

void AwardReader::load_outgoing_award(Shard& shard, const KeyValue& entry, const std::string& winner,
                                      const records::Award& award) {
  const auto found = shard.jobs.find(award.job.spec.id);
  if (found == shard.jobs.end()) return;
  Job& job = found->second;
  const JobAward known{winner, award.ranges, entry.revision, state_.now()};
  if (!job.awards.emplace(entry.key, known).second) return;
  for (const std::uint32_t task : tasks_in(award.ranges, job.tasks.size()))
    if (job.tasks[task].state == Task::State::waiting)
      job.leave_waiting(task, {Task::State::elsewhere, nullptr, 0});
}

// ---- returned tasks ------------------------------------------------------------------------------

void AwardReader::read_outgoing_awards(Shard& shard) {
  shard.outgoing_award_read.begin();
  shard.outgoing_award_read.schedule(state_.now() + kOutgoingReadInterval);
  shard.outgoing_awards_read_at = state_.now();
  state_.store.list(records::kAwardPrefix, [this, name = shard.name, leadership_term = shard.leadership_term,
                                            requested_at = state_.now()](const StoreResponse& response) {
    if (Shard* read_shard = state_.shard_in_term(name, leadership_term))
      on_outgoing_awards_read(*read_shard, response, requested_at);
  });
}

void AwardReader::on_outgoing_awards_read(Shard& shard, const StoreResponse& response, Micros requested_at) {
  shard.outgoing_award_read.end();
  if (!response.ok()) return;
  OutgoingAwards stored;
  for (const KeyValue& entry : response.entries) {
    const auto award = records::read_award(entry.value);
    StoredAward& of_key = stored[entry.key];
    of_key.revision = entry.revision;
    if (award) of_key.ranges = award->ranges;
    of_key.is_readable = award.ok();
  }
  for (auto& [id, job] : shard.jobs) {
    // While an award is being written, or the final state, awards may be gone for another reason.
    if (!job.has_outgoing_awards() || job.tasks_in_award > 0 || job.finalizing || job.ended) continue;
    take_back_returned_tasks(shard, job, stored, requested_at);
  }
}

void AwardReader::take_back_returned_tasks(Shard& shard, Job& job, const OutgoingAwards& stored,
                                           Micros requested_at) {
  const std::size_t waiting_before = job.waiting.size();
  std::vector<std::string> gone;
  for (auto& [key, known] : job.awards) {
    if (requested_at < known.known_since) continue;
    const auto found = stored.find(key);
    if (found == stored.end()) {
      take_back(job, known.ranges, {});
      gone.push_back(key);
      continue;
    }
    const StoredAward& current = found->second;
    if (!current.is_readable || current.revision == known.revision) continue;
    take_back(job, known.ranges, current.ranges);
    known = {known.winner, current.ranges, current.revision, requested_at};
  }
  for (const std::string& key : gone) job.awards.erase(key);
  const std::size_t taken_back = job.waiting.size() - waiting_before;
  if (taken_back == 0) return;
  counters_.tasks_taken_back += taken_back;
  job.next_call_for_proposals_at = state_.now();
  shard.request_scheduling_pass();
  state_.context.info(LogMessage("awarded tasks taken back")
                          .shard(shard.name)
                          .token(shard.fencing_token)
                          .job(job.spec.id)
                          .detail("tasks", taken_back));
}

void AwardReader::stop_stale_awards(Shard& shard, Machine& machine) {
  if (shard.award_freshness.is_valid(state_.now())) return;
  for (auto& [id, placement] : machine.tasks) {
    const auto job = shard.jobs.find(id.task.job);
    if (!placement.wanted || job == shard.jobs.end() || !shard.award_is_stale(job->second, state_.now()))
      continue;
    shard.change_placement(machine, id, placement, [](Placement& changed) { changed.wanted = false; });
    state_.context.debug([&shard, &machine, &attempt = id] {
      return LogMessage("task stop requested")
          .shard(shard.name)
          .token(shard.fencing_token)
          .job(attempt.task.job)
          .task(attempt.task.index)
          .attempt(attempt.attempt)
          .machine(machine.name)
          .reason("award records not read within the lease term");
    });
    shard.request_push(machine);
  }
}

}  // namespace bendtide
