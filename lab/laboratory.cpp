#include "laboratory.h"

namespace bendtide::lab {

namespace {

Settings make_settings() {
  Settings settings;
  settings.zones = {"east", "west"};
  settings.teams = {{"blue", {16000, 0}, {48000, 0}}, {"green", {16000, 0}, {30000, 0}}};
  settings.heartbeat_interval = seconds(1);
  settings.worker_lease = seconds(9);
  settings.cancel_within = seconds(30);
  settings.store_requests_per_s = 300;
  settings.store_writes_per_s = 120;
  settings.store_value_bytes = 8 * 1024;
  settings.store_transaction_writes = 12;
  settings.cloud_calls_per_s = 10;
  settings.cloud_list_lag = seconds(1);
  settings.sockets = 800;
  return settings;
}

}  // namespace

Laboratory::Laboratory(const Plan& soak_plan)
    : plan(soak_plan),
      started_at(loop.now()),
      random(plan.seed),
      settings(make_settings()),
      history([this] { return now(); }),
      checker(settings),
      late_start_copies(checker) {}

}  // namespace bendtide::lab
