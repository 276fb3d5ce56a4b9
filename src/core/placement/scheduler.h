// Placement within one shard: who goes first, on which machine, and who has to make room.
#pragma once

#include "core/workers/fleet.h"

namespace bendtide {

class Scheduler {
 public:
  Scheduler(ControllerState& state, Fleet& fleet) : state_(state), fleet_(fleet) {}

  /// Places what can be placed; leaves in each job how many tasks found no room. Does nothing unless
  /// something has changed since the last pass, or a while has gone by.
  void pass(Shard& shard);
  /// Places on one machine what waited at the last pass, so that the answer to its heartbeat brings it new
  /// work.
  void fill(Shard& shard, Machine& machine);
  /// How many tasks of a call this shard could take, and how soon.
  struct Offer {
    std::uint32_t tasks = 0;
    Micros delay{0};
  };
  Offer offer(Shard& shard, const CallForProposals& call) const;
  /// The share of a team's guarantee that falls to this shard.
  Quota guarantee(const Shard& shard, const std::string& team) const;

 private:
  struct FreeCapacity {
    Machine* machine;
    Resources free;
    Resources being_released;  ///< of tasks already told to stop, as far as nobody was promised it
  };
  using TasksPerZone = std::map<std::string, std::int64_t>;

  struct Urgency {
    int missed_objectives;
    Micros start_by;
  };
  Urgency urgency(const Job& job) const;
  void build_queue(Shard& shard);
  std::vector<FreeCapacity> free_capacities(Shard& shard) const;
  static bool is_allowed_on(const Job& job, const Machine& m, const TasksPerZone& tasks_per_zone);
  /// Opportunistic work does not begin on an ordinary machine that nothing else needs: it would keep it
  /// rented.
  bool justifies_machine(const Shard& shard, const Job& job, const Machine& m) const;
  /// Places as many waiting tasks of a job as fit on a machine and into the share.
  void place(Shard& shard, const QueueEntry& queue_entry, FreeCapacity& capacity,
             TasksPerZone& tasks_per_zone);
  void place_all(Shard& shard, const QueueEntry& queue_entry, std::vector<FreeCapacity>& free_capacities,
                 TasksPerZone& tasks_per_zone);
  /// Whose tasks may be stopped for others.
  struct PreemptionCandidates {
    Priority lowest = Priority::production;
    std::set<std::string> over_guarantee;  ///< teams that use more
  };
  PreemptionCandidates preemption_candidates(const Shard& shard) const;
  /// Whether a service begins sooner on a machine that caches its image, once lesser tasks there have given
  /// way, than anywhere else with a fetch.
  bool sooner_where_cached(const Shard& shard, const Job& job,
                           const std::vector<FreeCapacity>& free_capacities,
                           const TasksPerZone& tasks_per_zone) const;
  /// Stops tasks that have to give way. The room is there once their machines have shown them gone.
  void preempt_for(Shard& shard, const QueueEntry& queue_entry, std::vector<FreeCapacity>& free_capacities,
                   const TasksPerZone& tasks_per_zone, std::int64_t& being_released);
  Micros guarantee_within() const;
  /// Where tasks of the job are, or may be.
  static TasksPerZone tasks_per_zone_of(const Shard& shard, const Job& job);

  ControllerState& state_;
  Fleet& fleet_;
};

}  // namespace bendtide
