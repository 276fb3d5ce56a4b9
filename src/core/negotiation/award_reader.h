// Reads the records of awards from the key-value store and applies them to the jobs of a shard: the tasks
// that other shards awarded to it, and the tasks that it awarded to other shards.
//
// The shard that owns a job may remove an award at any time, and a winner may return tasks (AwardReturns).
// The owner therefore also reads the awards that it has made: returned tasks wait in its shard again. Awarded
// tasks are therefore started and kept running only while the last read of the award records is recent enough
// (see Shard::award_is_stale).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/negotiation/negotiation_counters.h"
#include "core/state/controller_state.h"

namespace bendtide {

class AwardReader {
 public:
  AwardReader(ControllerState& state, NegotiationCounters& counters) : state_(state), counters_(counters) {}

  /// Reads the awards to a shard, and those that it has made, each if the next read is due.
  void refresh(Shard& shard);
  /// Handles the notice that awards to a shard, or awards that it has made, have changed. Its quota
  /// allocation may have changed as well, and is marked stale.
  void on_award_notice(const std::string& shard);
  /// Requests the stop of tasks on the machine whose award may have been removed since the last read.
  void stop_stale_awards(Shard& shard, Machine& machine);
  /// Applies award records to a shard. `requested_at`: when the read was requested (steady clock).
  void load_awards(Shard& shard, const std::vector<KeyValue>& entries, Micros requested_at);

 private:
  /// The tasks of an award as stored, with the revision of its record.
  struct StoredAward {
    std::vector<records::TaskRange> ranges;
    Revision revision = 0;
    bool is_readable = false;
  };
  using OutgoingAwards = std::map<std::string, StoredAward>;  ///< by key

  void read_awards(Shard& shard);
  void on_awards_read(Shard& shard, const StoreResponse& response, Micros requested_at);
  void load_incoming_award(Shard& shard, const KeyValue& entry, const records::Award& award,
                           Micros requested_at);
  void load_outgoing_award(Shard& shard, const KeyValue& entry, const std::string& winner,
                           const records::Award& award);
  void read_outgoing_awards(Shard& shard);
  void on_outgoing_awards_read(Shard& shard, const StoreResponse& response, Micros requested_at);
  /// Lets tasks wait again that the winners of a job's awards have returned.
  void take_back_returned_tasks(Shard& shard, Job& job, const OutgoingAwards& stored, Micros requested_at);

  ControllerState& state_;
  NegotiationCounters& counters_;
};

}  // namespace bendtide
