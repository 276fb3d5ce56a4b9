// Loads an acquired shard from the records in the key-value store.
#pragma once

#include <functional>

#include "core/jobs/jobs.h"
#include "core/negotiation/contract_net.h"

namespace bendtide {

/// Loads shards: first the jobs, machines, awards and finished tasks, then the quota allocation. The first
/// leader that a shard ever has creates its quota allocation. Each step is retried until it succeeds or the
/// shard is lost.
class ShardLoader {
 public:
  /// `on_ready` is called with each shard once it is loaded.
  ShardLoader(ControllerState& state, Fleet& fleet, ContractNet& contract_net, Jobs& jobs,
              std::function<void(Shard&)> on_ready);

  void load(const Shard& shard);

 private:
  /// Identifies the loading of a shard: its name and the term in which it was acquired.
  struct Load {
    std::string shard;
    LeadershipTerm leadership_term = 0;
  };
  /// The records of all shards, collected as the responses arrive.
  struct RecordReads {
    Micros requested_at{0};  ///< steady clock
    std::vector<KeyValue> live_jobs;
    std::vector<KeyValue> owned_machines;
    std::vector<KeyValue> awards;
    std::vector<KeyValue> done_tasks;
    int in_flight = 0;    ///< number of reads without a response
    bool failed = false;  ///< whether a read has failed
  };
  using Step = void (ShardLoader::*)(const Load&);

  /// Returns the shard, or null once it is lost.
  Shard* shard_of(const Load& load) { return state_.shard_in_term(load.shard, load.leadership_term); }
  void retry(const Load& load, Step step);

  void read_records(const Load& load);
  void read_record_list(const Load& load, const std::shared_ptr<RecordReads>& reads,
                        const std::string& prefix, std::vector<KeyValue> RecordReads::*entries);
  void on_records_read(const Load& load, const RecordReads& reads);
  void load_jobs(Shard& shard, const RecordReads& reads);

  void read_quota_allocation(const Load& load);
  void on_quota_allocation_read(const Load& load, const StoreResponse& response);
  /// Writes an equal share of every limit. The first shard also gets the remainder, so that the shares of all
  /// shards add up to the limit.
  void create_quota_allocation(const Load& load, const Shard& shard);
  void on_quota_allocation_created(const Load& load, const StoreResponse& response);
  void become_ready(Shard& shard);

  ControllerState& state_;
  Fleet& fleet_;
  ContractNet& contract_net_;
  Jobs& jobs_;
  std::function<void(Shard&)> on_ready_;
};

}  // namespace bendtide
