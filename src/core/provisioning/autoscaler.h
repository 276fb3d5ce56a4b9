// The cloud: renting for tasks that found no room, returning what is idle, deleting what is given up.
#pragma once

#include "core/runtime/token_bucket.h"
#include "core/workers/fleet.h"

namespace bendtide {

class Autoscaler {
 public:
  Autoscaler(ControllerState& state, Fleet& fleet);

  void tick();
  void on_answer(std::uint64_t call, const CloudResponse& answer);
  void on_shard_ready(Shard& shard);
  /// A peer was refused this kind: no need to spend a call on it.
  void on_capacity_exhausted(const CapacityExhausted& exhausted);

 private:
  using Callback = std::function<void(const CloudResponse&)>;
  struct Offering {  ///< what can be rented
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Offering&) const = default;
  };

  bool call(CloudRequest request, Callback callback);
  void read_catalogue();
  void scale_out(Shard& shard);
  void create_machines(Shard& shard, const std::string& idempotency_key, const Offering& offering, int count);
  void scale_in_idle_machines(Shard& shard);
  /// Stops best-effort work that alone keeps an ordinary machine rented.
  void drain_best_effort(Shard& shard, Machine& m) const;
  void decommission_stuck_machines(Shard& shard);
  void delete_decommissioned_machines(Shard& shard);
  void adopt_orphaned_machines(Shard& shard);
  /// Machines of one kind that are wanted, and whether by best-effort work only.
  struct MachinesWanted {
    int count = 0;
    bool best_effort = true;
  };
  /// Tasks of a job that still need a machine.
  struct Demand {
    Job* job;
    std::int64_t tasks;
    bool best_effort = false;
    bool spot_only = false;
  };
  /// Room of a machine that is up, that boots, or that is being added in this very pass.
  struct Bin {
    Offering offering;
    Resources free;
  };
  std::map<Offering, MachinesWanted> machines_wanted(Shard& shard);
  std::vector<Bin> future_bins(const Shard& shard) const;
  bool may_still_come(const Machine& m, const std::map<std::string, Micros>& newest_up) const;
  std::vector<Demand> demands_beyond(Shard& shard, std::vector<Bin>& bins) const;
  static void fill(Bin& bin, Demand& demand);
  std::optional<Offering> cheapest_offering(const Shard& shard, const Demand& demand,
                                            const std::vector<Demand>& demands) const;
  static bool suits(const JobSpec& spec, const Offering& offering);
  void report_exhausted(const Offering& offering);
  std::string next_idempotency_key();

  ControllerState& state_;
  Fleet& fleet_;
  TokenBucket budget_;
  std::map<std::uint64_t, Callback> in_flight_;
  std::uint64_t next_call_ = 1;
  std::uint64_t idempotency_keys_ = 0;
  std::map<Offering, Micros> exhausted_until_;                            ///< refused lately
  std::map<std::string, std::pair<Offering, int>> unanswered_creations_;  ///< idempotency key to be repeated
  std::set<std::string> creating_;                                        ///< shards with a rental under way
  Micros next_catalogue_{0};
  bool reading_catalogue_ = false;
  Micros next_list_{0};
  std::string list_from_;  ///< the next page of the list begins behind it
  Micros next_scale_out_{0};
};

}  // namespace bendtide
