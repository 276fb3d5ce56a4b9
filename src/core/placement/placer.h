// Bin packing: which tasks of a job go on which machines of its shard.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/workers/fleet.h"

namespace bendtide {

/// What a usable machine has free during one pass.
struct FreeCapacity {
  Machine* machine = nullptr;
  Resources free;
  /// Of tasks that were already told to stop, as far as it is not reserved for another job of this pass.
  Resources being_released;
};

/// How many tasks of one job are in each zone, or may be. Only counted for jobs with rules on zones.
using TasksPerZone = std::map<std::string, std::int64_t>;
TasksPerZone tasks_per_zone_of(const Shard& shard, const Job& job);

/// Whether the rules of the job (spot, zones, machine types) allow a further task of it on the machine.
bool is_allowed_on(const Job& job, const Machine& machine, const TasksPerZone& tasks_per_zone);

class Placer {
 public:
  Placer(ControllerState& state, const Fleet& fleet) : state_(state), fleet_(fleet) {}

  /// Of all machines on which tasks may be started.
  std::vector<FreeCapacity> free_capacities(Shard& shard) const;

  /// Places as many waiting tasks of a job as fit on one machine and into the quota share of its team. Sets
  /// the job's `quota_share_exhausted` if the share was the limit.
  void place_on(Shard& shard, Job& job, FreeCapacity& capacity, TasksPerZone& tasks_per_zone);

  /// Places as many waiting tasks of a job as fit on all of these machines, the most suitable first.
  void place_on_best(Shard& shard, Job& job, std::vector<FreeCapacity>& capacities,
                     TasksPerZone& tasks_per_zone);

 private:
  struct Preference;
  Preference preference(const Job& job, const FreeCapacity& capacity) const;
  bool is_candidate(const Shard& shard, const Job& job, const FreeCapacity& capacity,
                    const TasksPerZone& tasks_per_zone) const;
  /// Best-effort work does not begin on an on-demand machine that nothing else needs: it would keep it from
  /// being returned.
  bool justifies_machine(const Shard& shard, const Job& job, const Machine& machine) const;
  void place_task(Shard& shard, Job& job, std::uint32_t index, Machine& machine);

  ControllerState& state_;
  const Fleet& fleet_;
};

}  // namespace bendtide
