// Reads the records of awards and of finished tasks, and keeps the jobs of a shard in step with them: tasks
// that other shards awarded to it, tasks that it awarded to others, and which of these are done.
//
// An award may be removed at any time by the owner of its job. Tasks of awards are therefore started and kept
// alive only while the last read of the award records is recent enough (Shard::award_is_stale).
#pragma once

#include <string>
#include <vector>

#include "core/state/controller_state.h"

namespace bendtide {

/// When the records of finished tasks are read.
enum class ProgressRead : std::uint8_t {
  at_takeover,  ///< the shard is being loaded: its own records count as well
  periodic      ///< only what other shards did of its jobs is news
};

class AwardReader {
 public:
  explicit AwardReader(ControllerState& state) : state_(state) {}

  /// Reads the awards to a shard, and the progress of the tasks that it awarded, when it is time to.
  void refresh(Shard& shard);
  /// The awards to a shard have changed, and its allocation may have.
  void on_award_notice(const std::string& shard);
  /// Another shard has recorded finished tasks of jobs of this one.
  void on_progress_notice(const std::string& shard);
  /// Stops tasks of awards that may have been removed since they were last read.
  void stop_stale_awards(Shard& shard, Machine& machine);
  /// Applies award records to a shard. `asked`: when they were asked for, on the steady clock.
  void load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros asked);
  /// Applies records of finished tasks to the jobs of a shard.
  static void load_progress(Shard& shard, const std::vector<KeyValue>& entries, ProgressRead read);

 private:
  void read_awards(Shard& shard);
  void on_awards_read(Shard& shard, const StoreResponse& response, Micros asked);
  void read_progress(Shard& shard);
  void load_award_to_us(Shard& shard, const std::string& key, const records::Award& award, Micros asked);
  static void load_award_by_us(Shard& shard, const std::string& key, const std::string& winner,
                               const records::Award& award);

  ControllerState& state_;
};

}  // namespace bendtide
