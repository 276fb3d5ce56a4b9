#include "core/negotiation/contract_net.h"

namespace bendtide {

ContractNet::ContractNet(ControllerState& state, Scheduler& scheduler, Hooks hooks)
    : state_(state),
      quota_transfer_(state, counters_, hooks.invalidate_leases),
      initiator_(state, quota_transfer_, counters_),
      participant_(state, scheduler),
      award_reader_(state, counters_),
      award_returns_(state, counters_, std::move(hooks.invalidate_leases)),
      progress_reader_(state) {}

void ContractNet::tick() {
  initiator_.decide_due_calls();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    quota_transfer_.refresh_allocation(shard);
    award_reader_.refresh(shard);
    progress_reader_.refresh(shard);
    if (shard.award_freshness.is_valid(state_.now())) {
      initiator_.start_calls(shard);
      award_returns_.return_unplaced_tasks(shard);
      continue;
    }
    for (auto& [machine_name, machine] : shard.machines) stop_stale_awards(shard, machine);
  }
}

}  // namespace bendtide
