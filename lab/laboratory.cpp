#include "laboratory.h"

namespace bendtide::lab {

namespace {

Settings make_settings() {
  Settings s;
  s.zones = {"east", "west"};
  s.teams = {{"blue", {16000, 0}, {48000, 0}}, {"green", {16000, 0}, {30000, 0}}};
  s.heartbeat_interval = seconds(1);
  s.worker_lease = seconds(9);
  s.cancel_within = seconds(30);
  s.store_requests_per_s = 300;
  s.store_writes_per_s = 120;
  s.store_value_bytes = 8 * 1024;
  s.store_transaction_writes = 12;
  s.cloud_calls_per_s = 10;
  s.cloud_list_lag = seconds(1);
  s.sockets = 800;
  return s;
}

}  // namespace

Laboratory::Laboratory(const Plan& its_plan)
    : plan(its_plan),
      began(loop.now()),
      random(plan.seed),
      settings(make_settings()),
      history([this] { return now(); }),
      checker(settings) {}

}  // namespace bendtide::lab
