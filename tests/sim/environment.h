// The state that the components of a simulated cluster share.
#pragma once

#include <map>
#include <set>
#include <string>

#include "sim/checker.h"
#include "sim/evidence.h"
#include "sim/fault_scenario.h"
#include "sim/late_start_copies.h"
#include "sim/planted_defects.h"
#include "sim/simulated_key_value_store.h"
#include "sim/simulation.h"

namespace bendtide::sim {

/// Network addresses of the key-value store and the cloud. Those of controllers and machines are their names.
inline const std::string kStoreAddress = "state";
inline const std::string kCloudAddress = "cloud";

/// Faults in effect that are not part of the state of one component. Only FaultInjector changes them.
struct ActiveFaults {
  bool store_outage = false;
  double store_slowness = 1;            ///< factor on the time that the store takes for a request
  std::set<std::string> refused_hosts;  ///< controllers whose requests the key-value store refuses
  // The end of each fault; in the past if it is not in effect.
  Micros machines_boot_late_until{0};
  Micros transactions_late_until{0};
  Micros heartbeats_duplicated_until{0};
  Micros job_ends_raced_until{0};
  Micros store_responses_late_until{0};
};

/// Owned by SimulatedCluster; outlives all components that refer to it.
struct Environment {
  explicit Environment(const FaultScenario& the_scenario)
      : scenario(the_scenario),
        settings(settings_for(the_scenario)),
        simulation(the_scenario.seed),
        checker(settings),
        late_start_copies(checker),
        defects(the_scenario.planted_defect, jobs),
        store(settings) {}
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  const FaultScenario scenario;
  const Settings settings;
  std::map<std::string, JobSpec> jobs;  ///< of all users, by id
  Simulation simulation;
  EvidenceCounters evidence;
  ActiveFaults faults;
  Checker checker;
  LateStartCopies late_start_copies;
  const PlantedDefects defects;
  SimulatedKeyValueStore store;
};

}  // namespace bendtide::sim
