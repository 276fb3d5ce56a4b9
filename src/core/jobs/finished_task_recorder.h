// Finished tasks of unfinished jobs, recorded before their workers may forget them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/state/controller_state.h"

namespace bendtide {

/// Writes the finished tasks of a shard in batches, one batch at a time. Each record (a slot) holds bitmaps
/// of tasks of several jobs. A slot whose last write got no answer is read before it is written again.
class FinishedTaskRecorder {
 public:
  /// `invalidate_leases`: called on a conflict, which may mean that another controller leads the shard.
  FinishedTaskRecorder(ControllerState& state, std::function<void()> invalidate_leases)
      : state_(state), invalidate_leases_(std::move(invalidate_leases)) {}

  /// Starts the next batch, if it is time and there is anything to be recorded.
  void record(Shard& shard);

 private:
  /// Tasks of one chunk that a batch records.
  struct RecordedChunk {
    std::string job;
    std::uint32_t chunk = 0;
    std::vector<std::uint32_t> tasks;
  };
  struct SlotContent {
    std::vector<records::DoneBits> value;  ///< all finished tasks of the slot's chunks
    std::vector<RecordedChunk> chunks;     ///< those that are not recorded yet
  };
  /// One write of several slots.
  struct Batch {
    Transaction transaction;
    std::vector<RecordedChunk> chunks;
    std::vector<std::uint32_t> slots;
    std::size_t bytes = 0;  ///< of all slots

    void add(const std::string& key, std::uint32_t number, const DoneSlot& slot, const SlotContent& content);
  };
  void mark_slots_to_write(Shard& shard) const;
  DoneSlot& slot_for(Shard& shard, const Job& job, std::uint32_t chunk) const;
  static SlotContent content_of(const Shard& shard, DoneSlot& slot);
  void write(Shard& shard, Batch batch);
  void on_written(Shard& shard, const Batch& batch, const StoreResponse& response);
  void mark_recorded(Shard& shard, const std::vector<RecordedChunk>& chunks);
  void read_slot(Shard& shard, std::uint32_t number);

  ControllerState& state_;
  std::function<void()> invalidate_leases_;
};

}  // namespace bendtide
