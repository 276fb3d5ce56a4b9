// Records the finished tasks of unfinished jobs, so that their workers may forget them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/state/controller_state.h"

namespace bendtide {

/// Writes the finished tasks of a shard to the key-value store in batches, one batch at a time. Each record
/// (slot) contains bitmaps of the tasks of several jobs. A slot whose last write got no response is read
/// before it is written again.
class FinishedTaskRecorder {
 public:
  /// `invalidate_leases` is called on a conflict, because another controller may lead the shard.
  FinishedTaskRecorder(ControllerState& state, std::function<void()> invalidate_leases)
      : state_(state), invalidate_leases_(std::move(invalidate_leases)) {}

  /// Writes the next batch if one is due and there are tasks to record.
  void record(Shard& shard);

 private:
  /// The tasks of one chunk that a batch records.
  struct RecordedChunk {
    std::string job;
    std::uint32_t chunk = 0;
    std::vector<std::uint32_t> tasks;  ///< task indexes
  };
  struct SlotContent {
    std::vector<records::DoneBits> value;  ///< all finished tasks of the slot's chunks
    std::vector<RecordedChunk> chunks;     ///< the finished tasks among them that are not recorded yet
  };
  /// A transaction that writes several slots.
  struct Batch {
    Transaction transaction;
    std::vector<RecordedChunk> chunks;
    std::vector<std::uint32_t> slots;  ///< slot numbers
    std::size_t bytes = 0;             ///< upper bound of the size of all slots

    void add(const std::string& key, std::uint32_t number, const FinishedTaskSlot& slot,
             const SlotContent& content);
  };
  void mark_slots_to_write(Shard& shard) const;
  FinishedTaskSlot& slot_for(Shard& shard, const Job& job, std::uint32_t chunk) const;
  static SlotContent content_of(const Shard& shard, FinishedTaskSlot& slot);
  void write(Shard& shard, Batch batch);
  void on_written(Shard& shard, const Batch& batch, const StoreResponse& response);
  void mark_recorded(Shard& shard, const std::vector<RecordedChunk>& chunks);
  void read_slot(Shard& shard, std::uint32_t number);

  ControllerState& state_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
