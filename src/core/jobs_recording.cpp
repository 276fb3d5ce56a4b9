// Finished tasks of unfinished jobs, recorded before their workers may forget them.
#include "core/jobs.h"

namespace bendtide {

using Outcome = StateAnswer::Outcome;

namespace {

constexpr Micros kRecordEvery = millis(500);
constexpr std::size_t kTransactionBytes = 48 * 1024;  ///< of the 64 KiB that a transaction may have

}  // namespace

DoneSlot& Jobs::slot_for(Part& part, const Job& job, std::uint32_t chunk) const {
  const std::pair key{job.spec.id, chunk};
  const std::size_t tasks =
      std::min<std::size_t>(records::kChunk, job.tasks.size() - std::size_t{chunk} * records::kChunk);
  const std::size_t bytes = records::done_bytes(job.spec.id, tasks);
  const std::size_t most = cluster_.context.settings.state_value_bytes * 9 / 10;
  std::uint32_t free = 0;
  DoneSlot* found = nullptr;
  for (auto& [number, slot] : part.done_slots) {
    if (slot.chunks.contains(key)) return slot;
    if (found == nullptr && slot.bytes + bytes <= most) found = &slot;
    free = number + 1;
  }
  if (found == nullptr) found = &part.done_slots[free];
  found->chunks.insert(key);
  found->bytes += bytes;
  return *found;
}

void Jobs::mark_slots_to_write(Part& part) const {
  for (auto& [id, job] : part.jobs) {
    if (job.ended || job.finalizing) continue;
    std::optional<std::uint32_t> last_chunk;
    for (const std::uint32_t index : job.unrecorded) {
      const std::uint32_t chunk = index / records::kChunk;
      if (chunk == last_chunk) continue;
      slot_for(part, job, chunk).dirty = true;
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
std::vector<records::DoneBits> Jobs::slot_value(Part& part, DoneSlot& slot, std::vector<Recorded>& batch) {
  std::vector<records::DoneBits> value;
  slot.bytes = 0;
  for (auto it = slot.chunks.begin(); it != slot.chunks.end();) {
    const auto& [id, chunk] = *it;
    const auto found = part.jobs.find(id);
    if (found == part.jobs.end() || found->second.ended) {
      it = slot.chunks.erase(it);
      continue;
    }
    value.push_back(done_bits(found->second, chunk, batch));
    slot.bytes += records::done_bytes(id, value.back().bits.size());
    ++it;
  }
  return value;
}

void Jobs::record(Part& part) {
  if (part.recording || cluster_.now() < part.next_recording) return;
  mark_slots_to_write(part);
  StateCommit txn;
  txn.conditions = {cluster_.holds(part)};
  std::vector<Recorded> batch;
  std::vector<std::uint32_t> slots;
  std::size_t bytes = 0;
  for (auto& [number, slot] : part.done_slots) {
    if (!slot.dirty || slots.size() >= cluster_.context.settings.state_transaction_writes) continue;
    if (slot.in_doubt) return read_slot(part, number);
    const std::vector<records::DoneBits> value = slot_value(part, slot, batch);
    // With all its jobs over there is nothing to be kept; the slot is used again.
    if (value.empty()) {
      slot.dirty = false;
      continue;
    }
    bytes += slot.bytes;
    if (bytes > kTransactionBytes && !slots.empty()) break;
    // A late write of ours must not take back what a later one recorded.
    const std::string key = records::done_key(part.name, number);
    txn.conditions.push_back({key, slot.stamp});
    txn.writes.push_back({key, records::to_json(value), 0});
    slots.push_back(number);
  }
  if (txn.writes.empty()) return;
  part.recording = true;
  cluster_.store.commit(std::move(txn), [this, name = part.name, generation = part.generation,
                                         batch = std::move(batch), slots](const StateAnswer& a) {
    if (Part* p = cluster_.known(name, generation)) on_recorded(*p, batch, slots, a);
  });
}

void Jobs::on_recorded(Part& part, const std::vector<Recorded>& batch,
                       const std::vector<std::uint32_t>& slots, const StateAnswer& a) {
  part.recording = false;
  part.next_recording = cluster_.now() + kRecordEvery;
  if (a.outcome == Outcome::conflict) hooks_.doubt_holdings();
  for (std::uint32_t number : slots) {
    DoneSlot& slot = part.done_slots[number];
    if (a.ok())
      slot.stamp = a.revision, slot.dirty = false;
    else if (a.outcome != Outcome::refused)
      slot.in_doubt = true;
  }
  if (!a.ok()) return;
  std::set<std::string> owners;
  for (const Recorded& r : batch) {
    auto it = part.jobs.find(r.job);
    if (it == part.jobs.end()) continue;
    Job& job = it->second;
    for (std::uint32_t index : r.tasks) {
      job.recorded[index] = true;
      std::erase(job.unrecorded, index);
      // Its worker may forget it now; that need not be told before its next report.
    }
    if (!job.owner.empty()) owners.insert(job.owner);
  }
  for (const std::string& owner : owners)
    cluster_.context.act(PeerSend{cluster_.holder(owner), Progress{owner}});
}

void Jobs::read_slot(Part& part, std::uint32_t number) {
  part.recording = true;
  cluster_.store.get(records::done_key(part.name, number),
                     [this, name = part.name, generation = part.generation, number](const StateAnswer& a) {
                       Part* p = cluster_.known(name, generation);
                       if (p == nullptr) return;
                       p->recording = false;
                       if (!a.ok() && a.outcome != Outcome::absent) return;
                       DoneSlot& slot = p->done_slots[number];
                       slot.in_doubt = false;
                       slot.stamp = a.rows.empty() ? 0 : a.rows.front().stamp;
                     });
}

}  // namespace bendtide
