// Demand for machines: the tasks that fit neither on running machines nor on booting ones.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/provisioning/offering.h"
#include "core/workers/fleet.h"

namespace bendtide {

/// The tasks of a job that still need a machine.
struct Demand {
  Job* job = nullptr;
  std::int64_t tasks = 0;
  bool best_effort = false;
  bool spot_only = false;  ///< no on-demand machine may be created for it
};

/// The expected capacity of one machine. The machine is running, and the capacity is what will be free soon,
/// or it is booting, or it is about to be created.
struct Bin {
  Offering offering;
  Resources free;
};

/// Moves as many tasks as fit from the demand into the bin.
void pack(Bin& bin, Demand& demand);

class DemandEstimate {
 public:
  DemandEstimate(const ControllerState& state, const Fleet& fleet) : state_(state), fleet_(fleet) {}

  /// Returns what will be free on the machines of a shard by the time a machine created now would have
  /// booted.
  std::vector<Bin> future_bins(const Shard& shard) const;
  /// Returns the tasks that find no capacity in the bins, as far as the quota shares allow them, the highest
  /// priority first. Packs the other tasks into the bins.
  std::vector<Demand> unmet_demands(Shard& shard, std::vector<Bin>& bins) const;

 private:
  /// Creation time (wall clock) of the newest running machine, by machine type.
  using NewestRunning = std::map<std::string, Micros>;

  static NewestRunning newest_running(const Shard& shard);
  /// Whether a booting machine is still expected to become available. This holds for an overdue machine as
  /// long as no machine of its type that was created at the same time or later is running: then the whole
  /// type boots slowly, and replacing its machines would create twice the capacity needed.
  bool is_expected_to_boot(const Machine& machine, const MachineType& type,
                           const NewestRunning& newest) const;
  Demand demand_of(Job& job, const Quota& free_quota) const;

  const ControllerState& state_;
  const Fleet& fleet_;
};

}  // namespace bendtide
