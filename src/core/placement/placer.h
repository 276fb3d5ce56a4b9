// Bin packing: decides on which machines of a shard the tasks of a job are placed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/workers/fleet.h"

namespace bendtide {

/// The free resources of a usable machine during one scheduling pass.
struct FreeCapacity {
  Machine* machine = nullptr;
  Resources free;
  /// Resources of tasks that have been told to stop, without those reserved for other jobs in this pass.
  Resources being_released;
};

/// The number of tasks of one job that are, or may be, running in each zone. Empty for jobs without zone
/// rules.
using TasksPerZone = std::map<std::string, std::int64_t>;
TasksPerZone tasks_per_zone_of(const Shard& shard, const Job& job);

/// Whether the rules of the job (spot, zones, machine types) allow another of its tasks on the machine.
bool is_allowed_on(const Job& job, const Machine& machine, const TasksPerZone& tasks_per_zone);

class Placer {
 public:
  Placer(ControllerState& state, const Fleet& fleet) : state_(state), fleet_(fleet) {}

  /// Returns the free capacity of each machine on which tasks may be started.
  std::vector<FreeCapacity> free_capacities(Shard& shard) const;

  /// Places as many waiting tasks of a job as fit on the machine and into the quota share of its team. Sets
  /// the job's `quota_share_exhausted` if the share was the limiting factor.
  void place_on(Shard& shard, Job& job, FreeCapacity& capacity, TasksPerZone& tasks_per_zone);

  /// Places as many waiting tasks of a job as fit on these machines, the most suitable machine first.
  void place_on_best(Shard& shard, Job& job, std::vector<FreeCapacity>& capacities,
                     TasksPerZone& tasks_per_zone);

 private:
  struct Preference;
  Preference preference(const Job& job, const FreeCapacity& capacity) const;
  bool is_candidate(const Shard& shard, const Job& job, const FreeCapacity& capacity,
                    const TasksPerZone& tasks_per_zone) const;
  /// False if only best-effort tasks would keep the machine from being returned: once a best-effort job has
  /// begun, it places no tasks on an on-demand machine that runs nothing but best-effort tasks.
  bool may_occupy(const Shard& shard, const Job& job, const Machine& machine) const;
  void place_task(Shard& shard, Job& job, std::uint32_t index, Machine& machine);

  ControllerState& state_;
  const Fleet& fleet_;
};

}  // namespace bendtide
