// Reads the records of finished tasks from the key-value store and applies them to the jobs of a shard: which
// of the tasks that it awarded to other shards are done and, while the shard is being loaded, which of its
// own.
#pragma once

#include <string>
#include <vector>

#include "core/state/controller_state.h"

namespace bendtide {

/// The occasion on which the records of finished tasks are read.
enum class ProgressRead : std::uint8_t {
  at_takeover,  ///< the shard is being loaded; its own records are applied as well
  periodic      ///< only records of other shards are applied
};

class ProgressReader {
 public:
  explicit ProgressReader(ControllerState& state) : state_(state) {}

  /// Reads the progress of the tasks that a shard awarded, if there are any and the next read is due.
  void refresh(Shard& shard);
  /// Handles the notice that another shard has recorded finished tasks of jobs owned by this shard.
  void on_notice(const std::string& shard);
  /// Applies records of finished tasks to the jobs of a shard.
  static void load(Shard& shard, const std::vector<KeyValue>& entries, ProgressRead read);

 private:
  void read(Shard& shard);

  ControllerState& state_;
};

}  // namespace bendtide
