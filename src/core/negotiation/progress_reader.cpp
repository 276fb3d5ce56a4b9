#include "core/negotiation/progress_reader.h"

#include <algorithm>
#include <cstdlib>

namespace bendtide {

namespace {

constexpr Micros kReadInterval = seconds(2);
/// Delays the read after a progress notice, so that notices in quick succession lead to a single read.
constexpr Micros kNoticeReadDelay = millis(150);

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

void ProgressReader::refresh(Shard& shard) {
  const bool has_awarded = std::any_of(shard.jobs.begin(), shard.jobs.end(),
                                       [](const auto& entry) { return entry.second.has_outgoing_awards(); });
  if (has_awarded && shard.progress_read.due(state_.now())) read(shard);
}

void ProgressReader::on_notice(const std::string& name) {
  if (Shard* shard = state_.ready_shard(name))
    shard->progress_read.bring_forward(state_.now() + kNoticeReadDelay);
}

void ProgressReader::read(Shard& shard) {
  shard.progress_read.begin();
  shard.progress_read.schedule(state_.now() + kReadInterval);
  state_.store.list(records::kDonePrefix, [this, name = shard.name, leadership_term = shard.leadership_term](
                                              const StoreResponse& response) {
    Shard* read_shard = state_.shard_in_term(name, leadership_term);
    if (read_shard == nullptr) return;
    read_shard->progress_read.end();
    if (response.ok()) load(*read_shard, response.entries, ProgressRead::periodic);
  });
}

void ProgressReader::load(Shard& shard, const std::vector<KeyValue>& entries, ProgressRead read) {
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
