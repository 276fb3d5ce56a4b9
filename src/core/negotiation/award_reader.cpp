#include "core/negotiation/award_reader.h"

#include <algorithm>
#include <cstdlib>

namespace bendtide {

namespace {

constexpr Micros kReadInterval = seconds(2);
/// Delays the read after a progress notice, so that notices in quick succession lead to a single read.
constexpr Micros kNoticeReadDelay = millis(150);

bool has_outgoing_awards(const Job& job) { return !job.awards.empty() && job.owner.empty(); }

/// Returns the indices of the awarded tasks; indices that `job` does not have are left out.
std::vector<std::uint32_t> awarded_tasks(const records::Award& award, const Job& job) {
  std::vector<std::uint32_t> tasks;
  for (const auto& [first, count] : award.ranges)
    for (std::uint32_t task = first; task < first + count && task < job.tasks.size(); ++task)
      tasks.push_back(task);
  return tasks;
}

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

/// Marks as done the tasks that the chunk records as done. Tasks placed in this shard are left alone, because
/// their workers report how they end. Waiting tasks are marked only while the shard is being loaded.
void apply_done_bits(Job& job, const records::DoneBits& done, ProgressRead read) {
  const std::size_t first = std::size_t{done.chunk} * records::kTasksPerChunk;
  for (std::size_t i = 0; i < done.bits.size() && first + i < job.tasks.size(); ++i) {
    if (!done.bits[i]) continue;
    const Task::State state = job.tasks[first + i].state;
    if (state == Task::State::elsewhere ||
        (read == ProgressRead::at_takeover && state == Task::State::waiting))
      job.mark_done(static_cast<std::uint32_t>(first + i), true);
  }
}

/// Applies a record of finished tasks that an earlier leader of this shard wrote.
void load_own_progress(Shard& shard, FinishedTaskSlot& slot, const std::vector<records::DoneBits>& chunks) {
  for (const records::DoneBits& chunk : chunks) {
    const auto job = shard.jobs.find(chunk.job);
    // The next write of the record leaves out jobs that no longer exist.
    if (job == shard.jobs.end()) continue;
    if (slot.chunks.insert({chunk.job, chunk.chunk}).second)
      slot.bytes += records::max_done_bytes(chunk.job, chunk.bits.size());
    apply_done_bits(job->second, chunk, ProgressRead::at_takeover);
  }
}

/// Applies a record of finished tasks that another shard wrote.
void load_progress_of_peer(Shard& shard, const std::vector<records::DoneBits>& chunks, ProgressRead read) {
  for (const records::DoneBits& chunk : chunks) {
    const auto job = shard.jobs.find(chunk.job);
    if (job != shard.jobs.end() && job->second.owner.empty()) apply_done_bits(job->second, chunk, read);
  }
}

}  // namespace

void AwardReader::refresh(Shard& shard) {
  if (shard.award_read.due(state_.now())) read_awards(shard);
  const bool has_awarded = std::any_of(shard.jobs.begin(), shard.jobs.end(),
                                       [](const auto& entry) { return has_outgoing_awards(entry.second); });
  if (has_awarded && shard.progress_read.due(state_.now())) read_progress(shard);
}

void AwardReader::on_award_notice(const std::string& name) {
  Shard* shard = state_.ready_shard(name);
  if (shard == nullptr) return;
  shard->award_read.bring_forward(state_.now());
  shard->quota.mark_stale();
}

void AwardReader::on_progress_notice(const std::string& name) {
  if (Shard* shard = state_.ready_shard(name))
    shard->progress_read.bring_forward(state_.now() + kNoticeReadDelay);
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
  load_awards(shard, response.entries, requested_at);
  std::set<std::string> current;
  for (const KeyValue& entry : response.entries) current.insert(entry.key);
  for (auto& [id, job] : shard.jobs) {
    if (job.owner.empty()) continue;
    const bool still_awarded = std::any_of(job.awards.begin(), job.awards.end(),
                                           [&](const auto& award) { return current.contains(award.first); });
    // The owner removes the awards of a job once the job is done or cancelled.
    if (!still_awarded) shard.mark_ended(job);
  }
}

void AwardReader::load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros requested_at) {
  for (const KeyValue& entry : entries) {
    const std::vector<std::string> key = records::split_key(entry.key);
    const auto award = records::read_award(entry.value);
    if (key.size() != 4 || !award) continue;
    const std::string& winner = key[1];
    if (winner == shard.name)
      load_incoming_award(shard, entry.key, *award, requested_at);
    else if (award->owner == shard.name)
      load_outgoing_award(shard, entry.key, winner, *award);
  }
}

void AwardReader::load_incoming_award(Shard& shard, const std::string& key, const records::Award& award,
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
  if (job.owner.empty() || !job.awards.emplace(key, shard.name).second) return;
  shard.request_scheduling_pass();
  for (const std::uint32_t task : awarded_tasks(award, job))
    if (job.tasks[task].state == Task::State::elsewhere) job.set_waiting(task);
}

void AwardReader::load_outgoing_award(Shard& shard, const std::string& key, const std::string& winner,
                                      const records::Award& award) {
  const auto found = shard.jobs.find(award.job.spec.id);
  if (found == shard.jobs.end()) return;
  Job& job = found->second;
  if (!job.awards.emplace(key, winner).second) return;
  for (const std::uint32_t task : awarded_tasks(award, job))
    if (job.tasks[task].state == Task::State::waiting)
      job.leave_waiting(task, {Task::State::elsewhere, nullptr, 0});
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

// ---- finished tasks ------------------------------------------------------------------------------

void AwardReader::read_progress(Shard& shard) {
  shard.progress_read.begin();
  shard.progress_read.schedule(state_.now() + kReadInterval);
  state_.store.list(records::kDonePrefix, [this, name = shard.name, leadership_term = shard.leadership_term](
                                              const StoreResponse& response) {
    Shard* read_shard = state_.shard_in_term(name, leadership_term);
    if (read_shard == nullptr) return;
    read_shard->progress_read.end();
    if (response.ok()) load_progress(*read_shard, response.entries, ProgressRead::periodic);
  });
}

void AwardReader::load_progress(Shard& shard, const std::vector<KeyValue>& entries, ProgressRead read) {
  for (const KeyValue& entry : entries) {
    const std::vector<std::string> key = records::split_key(entry.key);
    if (key.size() != 3) continue;
    const bool is_own = key[1] == shard.name;
    if (is_own && read == ProgressRead::periodic) continue;
    const auto chunks = records::read_done_bits(entry.value);
    if (!is_own) {
      if (chunks) load_progress_of_peer(shard, *chunks, read);
      continue;
    }
    const auto number = static_cast<std::uint32_t>(std::strtoul(key[2].c_str(), nullptr, 10));
    FinishedTaskSlot& slot = shard.finished_task_slots[number];
    slot.revision = entry.revision;
    if (chunks) load_own_progress(shard, slot, *chunks);
  }
}

}  // namespace bendtide
