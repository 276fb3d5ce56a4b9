#include "sim/fault_scenario.h"

namespace bendtide::sim {

Settings settings_for(const FaultScenario& scenario) {
  Settings settings;
  settings.zones = {"east", "west"};
  settings.teams = {{"blue", {16000, 0}, {48000, 0}}, {"green", {16000, 0}, {30000, 0}}};
  if (scenario.tight_limits)
    settings.teams = {{"blue", {8000, 0}, {24000, 0}}, {"green", {8000, 0}, {20000, 0}}};
  settings.heartbeat_interval = seconds(scenario.slow_heartbeats ? 4 : 1.5);
  settings.worker_lease = seconds(scenario.slow_heartbeats ? 20 : 12);
  settings.cancel_within = seconds(40);
  settings.store_requests_per_s = 200;
  settings.store_writes_per_s = 60;
  settings.store_value_bytes = scenario.small_store_limits ? 900 : 8 * 1024;
  settings.store_transaction_writes = scenario.small_store_limits ? 5 : 12;
  settings.cloud_calls_per_s = 4;
  settings.cloud_list_lag = seconds(3);
  settings.sockets = 800;
  return settings;
}

}  // namespace bendtide::sim
