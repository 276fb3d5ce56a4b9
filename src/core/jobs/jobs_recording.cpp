// Finished tasks of unfinished jobs, recorded before their workers may forget them.
#include "core/jobs/jobs.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kRecordEvery = millis(500);
constexpr std::size_t kTransactionBytes = 48 * 1024;  ///< of the 64 KiB that a transaction may have

}  // namespace

DoneSlot& Jobs::slot_for(Shard& shard, const Job& job, std::uint32_t chunk) const {
  const std::pair key{job.spec.id, chunk};
  const std::size_t tasks =
      std::min<std::size_t>(records::kChunk, job.tasks.size() - std::size_t{chunk} * records::kChunk);
  const std::size_t bytes = records::done_bytes(job.spec.id, tasks);
  const std::size_t most = state_.context.settings.store_value_bytes * 9 / 10;
  std::uint32_t free = 0;
  DoneSlot* found = nullptr;
  for (auto& [number, slot] : shard.done_slots) {
    if (slot.chunks.contains(key)) return slot;
    if (found == nullptr && slot.bytes + bytes <= most) found = &slot;
    free = number + 1;
  }
  if (found == nullptr) found = &shard.done_slots[free];
  found->chunks.insert(key);
  found->bytes += bytes;
  return *found;
}

void Jobs::mark_slots_to_write(Shard& shard) const {
  for (auto& [id, job] : shard.jobs) {
    if (job.ended || job.finalizing) continue;
    std::optional<std::uint32_t> last_chunk;
    for (const std::uint32_t index : job.unrecorded) {
      const std::uint32_t chunk = index / records::kChunk;
      if (chunk == last_chunk) continue;
      slot_for(shard, job, chunk).dirty = true;
      last_chunk = chunk;
    }
  }
}

/// All finished tasks of one chunk: those that are recorded, and those that are to be, which are added to
/// `batch`.
records::DoneBits Jobs::done_bits(const Job& job, std::uint32_t chunk, std::vector<Recorded>& batch) {
  const std::size_t first = std::size_t{chunk} * records::kChunk;
  records::DoneBits done{job.spec.id, chunk, {}};
  done.bits.resize(std::min<std::size_t>(records::kChunk, job.tasks.size() - first));
  for (std::size_t i = 0; i < done.bits.size(); ++i) done.bits[i] = job.recorded[first + i];
  Recorded recorded{job.spec.id, chunk, {}};
  for (const std::uint32_t index : job.unrecorded) {
    if (index / records::kChunk != chunk) continue;
    done.bits[index % records::kChunk] = true;
    recorded.tasks.push_back(index);
  }
  if (!recorded.tasks.empty()) batch.push_back(std::move(recorded));
  return done;
}

/// What a slot is to hold. Chunks of jobs that are over leave it.
std::vector<records::DoneBits> Jobs::slot_value(Shard& shard, DoneSlot& slot, std::vector<Recorded>& batch) {
  std::vector<records::DoneBits> value;
  slot.bytes = 0;
  for (auto it = slot.chunks.begin(); it != slot.chunks.end();) {
    const auto& [id, chunk] = *it;
    const auto found = shard.jobs.find(id);
    if (found == shard.jobs.end() || found->second.ended) {
      it = slot.chunks.erase(it);
      continue;
    }
    value.push_back(done_bits(found->second, chunk, batch));
    slot.bytes += records::done_bytes(id, value.back().bits.size());
    ++it;
  }
  return value;
}

void Jobs::record(Shard& shard) {
  if (!shard.finished_tasks_write.due(state_.now())) return;
  mark_slots_to_write(shard);
  Transaction transaction;
  transaction.compares = {state_.fenced_by(shard)};
  std::vector<Recorded> batch;
  std::vector<std::uint32_t> slots;
  std::size_t bytes = 0;
  for (auto& [number, slot] : shard.done_slots) {
    if (!slot.dirty || slots.size() >= state_.context.settings.store_transaction_writes) continue;
    if (slot.outcome_unknown) return read_slot(shard, number);
    const std::vector<records::DoneBits> value = slot_value(shard, slot, batch);
    // With all its jobs over there is nothing to be kept; the slot is used again.
    if (value.empty()) {
      slot.dirty = false;
      continue;
    }
    bytes += slot.bytes;
    if (bytes > kTransactionBytes && !slots.empty()) break;
    // A late write of ours must not take back what a later one recorded.
    const std::string key = records::done_key(shard.name, number);
    transaction.compares.push_back({key, slot.revision});
    transaction.writes.push_back({key, records::to_json(value), 0});
    slots.push_back(number);
  }
  if (transaction.writes.empty()) return;
  shard.finished_tasks_write.begin();
  state_.store.commit(std::move(transaction),
                      [this, name = shard.name, leadership_term = shard.leadership_term,
                       batch = std::move(batch), slots](const StoreResponse& a) {
                        if (Shard* p = state_.shard_in_term(name, leadership_term))
                          on_recorded(*p, batch, slots, a);
                      });
}

void Jobs::on_recorded(Shard& shard, const std::vector<Recorded>& batch,
                       const std::vector<std::uint32_t>& slots, const StoreResponse& a) {
  shard.finished_tasks_write.end();
  shard.finished_tasks_write.schedule(state_.now() + kRecordEvery);
  if (a.outcome == Outcome::conflict) hooks_.invalidate_leases();
  for (std::uint32_t number : slots) {
    DoneSlot& slot = shard.done_slots[number];
    if (a.ok())
      slot.written(a.revision);
    else if (a.outcome != Outcome::refused)
      slot.outcome_unknown = true;
  }
  if (!a.ok()) return;
  std::set<std::string> owners;
  for (const Recorded& r : batch) {
    auto it = shard.jobs.find(r.job);
    if (it == shard.jobs.end()) continue;
    Job& job = it->second;
    for (std::uint32_t index : r.tasks) {
      job.recorded[index] = true;
      std::erase(job.unrecorded, index);
      // Its worker may forget it now; that need not be told before its next heartbeat.
    }
    if (!job.owner.empty()) owners.insert(job.owner);
  }
  for (const std::string& owner : owners)
    state_.context.act(PeerSend{state_.leader_of(owner), ProgressNotice{owner}});
}

void Jobs::read_slot(Shard& shard, std::uint32_t number) {
  shard.finished_tasks_write.begin();
  state_.store.get(
      records::done_key(shard.name, number),
      [this, name = shard.name, leadership_term = shard.leadership_term, number](const StoreResponse& a) {
        Shard* p = state_.shard_in_term(name, leadership_term);
        if (p == nullptr) return;
        p->finished_tasks_write.end();
        if (!a.ok() && a.outcome != Outcome::absent) return;
        DoneSlot& slot = p->done_slots[number];
        slot.read(a.entries.empty() ? Revision{} : a.entries.front().revision);
      });
}

}  // namespace bendtide
