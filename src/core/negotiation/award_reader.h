// Reads the records of awards and of finished tasks from the key-value store and applies them to the jobs of
// a shard: the tasks that other shards awarded to it, the tasks that it awarded to other shards, and which of
// them are done.
//
// The shard that owns a job may remove an award at any time. Awarded tasks are therefore started and kept
// running only while the last read of the award records is recent enough (see Shard::award_is_stale).
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

class AwardReader {
 public:
  explicit AwardReader(ControllerState& state) : state_(state) {}

  /// Reads the awards to a shard, and the progress of the tasks that it awarded, if the next read is due.
  void refresh(Shard& shard);
  /// Handles the notice that the awards to a shard have changed. Its quota allocation may have changed as
  /// well, and is marked stale.
  void on_award_notice(const std::string& shard);
  /// Handles the notice that another shard has recorded finished tasks of jobs owned by this shard.
  void on_progress_notice(const std::string& shard);
  /// Requests the stop of tasks on the machine whose award may have been removed since the last read.
  void stop_stale_awards(Shard& shard, Machine& machine);
  /// Applies award records to a shard. `requested_at`: when the read was requested (steady clock).
  void load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros requested_at);
  /// Applies records of finished tasks to the jobs of a shard.
  static void load_progress(Shard& shard, const std::vector<KeyValue>& entries, ProgressRead read);

 private:
  void read_awards(Shard& shard);
  void on_awards_read(Shard& shard, const StoreResponse& response, Micros requested_at);
  void read_progress(Shard& shard);
  void load_incoming_award(Shard& shard, const std::string& key, const records::Award& award,
                           Micros requested_at);
  static void load_outgoing_award(Shard& shard, const std::string& key, const std::string& winner,
                                  const records::Award& award);

  ControllerState& state_;
};

}  // namespace bendtide
