// Demand for machines: the tasks that fit neither on the machines that are up nor on those that boot.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/provisioning/offering.h"
#include "core/workers/fleet.h"

namespace bendtide {

/// Tasks of a job that still need a machine.
struct Demand {
  Job* job = nullptr;
  std::int64_t tasks = 0;
  bool best_effort = false;
  bool spot_only = false;  ///< no on-demand machine is created for it
};

/// Capacity to come, of one machine: one that is up, as far as its tasks end soon, one that boots, or one
/// that is about to be created.
struct Bin {
  Offering offering;
  Resources free;
};

/// Packs as many tasks of the demand as fit into the bin.
void pack(Bin& bin, Demand& demand);

class DemandEstimate {
 public:
  DemandEstimate(const ControllerState& state, const Fleet& fleet) : state_(state), fleet_(fleet) {}

  /// What will be free on the machines of a shard by the time a machine created now would be up.
  std::vector<Bin> future_bins(const Shard& shard) const;
  /// The tasks that find no capacity in the bins, within the quota shares, the highest priority first. Packs
  /// the others into the bins.
  std::vector<Demand> unmet_demands(Shard& shard, std::vector<Bin>& bins) const;

 private:
  /// When the newest machine that is up was created (wall clock), by machine type.
  using NewestUp = std::map<std::string, Micros>;

  static NewestUp newest_up(const Shard& shard);
  /// Whether a machine that boots is still counted on. One that is overdue is, as long as no other of its
  /// type that was created as late has come up: then all of them are slow, and replacing them would bring
  /// twice what is needed.
  bool may_still_come(const Machine& machine, const MachineType& type, const NewestUp& newest) const;
  Demand demand_of(Job& job, const Quota& free_quota) const;

  const ControllerState& state_;
  const Fleet& fleet_;
};

}  // namespace bendtide
