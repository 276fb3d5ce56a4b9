#include "core/jobs/finished_task_recorder.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kWriteInterval = millis(500);
constexpr std::size_t kMaxTransactionBytes = 48 * 1024;  ///< leaves a margin below the limit of 64 KiB

std::size_t tasks_in_chunk(const Job& job, std::uint32_t chunk) {
  return std::min<std::size_t>(records::kTasksPerChunk,
                               job.tasks.size() - std::size_t{chunk} * records::kTasksPerChunk);
}

std::vector<std::uint32_t> unrecorded_tasks(const Job& job, std::uint32_t chunk) {
  std::vector<std::uint32_t> tasks;
  for (const std::uint32_t index : job.unrecorded)
    if (index / records::kTasksPerChunk == chunk) tasks.push_back(index);
  return tasks;
}

/// Returns all finished tasks of a chunk: those already recorded and the `unrecorded` ones.
records::DoneBits done_bits(const Job& job, std::uint32_t chunk,
                            const std::vector<std::uint32_t>& unrecorded) {
  const std::size_t first = std::size_t{chunk} * records::kTasksPerChunk;
  records::DoneBits done{job.spec.id, chunk, {}};
  done.bits.resize(tasks_in_chunk(job, chunk));
  for (std::size_t i = 0; i < done.bits.size(); ++i) done.bits[i] = job.recorded[first + i];
  for (const std::uint32_t index : unrecorded) done.bits[index % records::kTasksPerChunk] = true;
  return done;
}

}  // namespace

void FinishedTaskRecorder::record(Shard& shard) {
  if (!shard.finished_tasks_write.due(state_.now())) return;
  mark_slots_to_write(shard);
  Batch batch;
  for (auto& [number, slot] : shard.finished_task_slots) {
    if (!slot.dirty || batch.slots.size() >= state_.context.settings.store_transaction_writes) continue;
    if (slot.outcome_unknown) return read_slot(shard, number);
    const SlotContent content = content_of(shard, slot);
    // FIXME: the chunks are added even if the slot does not fit into this batch (see below). They are then
    // marked as recorded with this batch although only the next one writes them.
    batch.chunks.insert(batch.chunks.end(), content.chunks.begin(), content.chunks.end());
    if (content.value.empty()) {
      // All jobs of the slot have ended. The record need not be written, and the slot can be reused.
      slot.dirty = false;
      continue;
    }
    batch.bytes += slot.bytes;
    if (batch.bytes > kMaxTransactionBytes && !batch.slots.empty()) break;
    batch.add(records::done_key(shard.name, number), number, slot, content);
  }
  if (!batch.slots.empty()) write(shard, std::move(batch));
}

void FinishedTaskRecorder::mark_slots_to_write(Shard& shard) const {
  for (auto& [id, job] : shard.jobs) {
    if (job.ended || job.finalizing) continue;
    std::optional<std::uint32_t> last_chunk;
    for (const std::uint32_t index : job.unrecorded) {
      const std::uint32_t chunk = index / records::kTasksPerChunk;
      if (chunk == last_chunk) continue;
      slot_for(shard, job, chunk).dirty = true;
      last_chunk = chunk;
    }
  }
}

/// Returns the slot that contains the chunk. If there is none, adds the chunk to the first slot with enough
/// space or to a new slot.
FinishedTaskSlot& FinishedTaskRecorder::slot_for(Shard& shard, const Job& job, std::uint32_t chunk) const {
  const std::pair key{job.spec.id, chunk};
  const std::size_t bytes = records::max_done_bytes(job.spec.id, tasks_in_chunk(job, chunk));
  const std::size_t max_bytes = state_.context.settings.store_value_bytes * 9 / 10;
  std::uint32_t next_number = 0;
  FinishedTaskSlot* with_space = nullptr;
  for (auto& [number, slot] : shard.finished_task_slots) {
    if (slot.chunks.contains(key)) return slot;
    if (with_space == nullptr && slot.bytes + bytes <= max_bytes) with_space = &slot;
    next_number = number + 1;
  }
  FinishedTaskSlot& slot = with_space != nullptr ? *with_space : shard.finished_task_slots[next_number];
  slot.chunks.insert(key);
  slot.bytes += bytes;
  return slot;
}

/// Returns the content to be written to a slot, after removing the chunks of ended jobs from the slot.
FinishedTaskRecorder::SlotContent FinishedTaskRecorder::content_of(const Shard& shard,
                                                                   FinishedTaskSlot& slot) {
  SlotContent content;
  slot.bytes = 0;
  for (auto it = slot.chunks.begin(); it != slot.chunks.end();) {
    const auto& [id, chunk] = *it;
    const auto found = shard.jobs.find(id);
    if (found == shard.jobs.end() || found->second.ended) {
      it = slot.chunks.erase(it);
      continue;
    }
    const Job& job = found->second;
    RecordedChunk unrecorded{id, chunk, unrecorded_tasks(job, chunk)};
    content.value.push_back(done_bits(job, chunk, unrecorded.tasks));
    if (!unrecorded.tasks.empty()) content.chunks.push_back(std::move(unrecorded));
    slot.bytes += records::max_done_bytes(id, content.value.back().bits.size());
    ++it;
  }
  return content;
}

void FinishedTaskRecorder::Batch::add(const std::string& key, std::uint32_t number,
                                      const FinishedTaskSlot& slot, const SlotContent& content) {
  // The compared revision prevents a delayed write from overwriting a later one.
  transaction.compares.push_back({key, slot.revision});
  transaction.writes.push_back({key, records::to_json(content.value), 0});
  slots.push_back(number);
}

void FinishedTaskRecorder::write(Shard& shard, Batch batch) {
  shard.finished_tasks_write.begin();
  Transaction transaction = std::move(batch.transaction);
  state_.commit_fenced(shard, std::move(transaction),
                       [this, name = shard.name, leadership_term = shard.leadership_term,
                        batch = std::move(batch)](const StoreResponse& response) {
                         Shard* current = state_.shard_in_term(name, leadership_term);
                         if (current != nullptr) on_written(*current, batch, response);
                       });
}

void FinishedTaskRecorder::on_written(Shard& shard, const Batch& batch, const StoreResponse& response) {
  shard.finished_tasks_write.end();
  shard.finished_tasks_write.schedule(state_.now() + kWriteInterval);
  if (response.outcome == Outcome::conflict) invalidate_leases_();
  for (const std::uint32_t number : batch.slots) {
    FinishedTaskSlot& slot = shard.finished_task_slots[number];
    if (response.ok())
      slot.on_written(response.revision);
    else if (response.outcome != Outcome::refused)
      slot.outcome_unknown = true;
  }
  if (response.ok()) mark_recorded(shard, batch.chunks);
}

/// Marks the tasks as recorded. Workers may forget them from now on, and learn so from the replies to their
/// next heartbeats. The leaders of the shards that own the jobs are notified of the progress.
void FinishedTaskRecorder::mark_recorded(Shard& shard, const std::vector<RecordedChunk>& chunks) {
  std::set<std::string> owners;
  for (const RecordedChunk& recorded : chunks) {
    const auto found = shard.jobs.find(recorded.job);
    if (found == shard.jobs.end()) continue;
    Job& job = found->second;
    for (const std::uint32_t index : recorded.tasks) {
      job.recorded[index] = true;
      std::erase(job.unrecorded, index);
    }
    if (!job.owner.empty()) owners.insert(job.owner);
  }
  for (const std::string& owner : owners)
    state_.context.emit(PeerSend{state_.leader_of(owner), ProgressNotice{owner}});
}

void FinishedTaskRecorder::read_slot(Shard& shard, std::uint32_t number) {
  shard.finished_tasks_write.begin();
  state_.store.get(records::done_key(shard.name, number), [this, name = shard.name,
                                                           leadership_term = shard.leadership_term,
                                                           number](const StoreResponse& response) {
    Shard* current = state_.shard_in_term(name, leadership_term);
    if (current == nullptr) return;
    current->finished_tasks_write.end();
    if (!response.ok() && response.outcome != Outcome::absent) return;
    const bool exists = !response.entries.empty();
    current->finished_task_slots[number].on_read(exists ? response.entries.front().revision : Revision{});
  });
}

}  // namespace bendtide
