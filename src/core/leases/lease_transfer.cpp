#include "core/leases/lease_transfer.h"

namespace bendtide {

namespace {

constexpr Micros kReacquisitionHoldOff = seconds(5);
constexpr Micros kProbeInterval = seconds(2);
constexpr std::size_t kMaxProbedWorkersPerShard = 4;

}  // namespace

std::string_view to_text(TransferReason reason) {
  switch (reason) {
    case TransferReason::failback:
      return "its home host requested it back";
    case TransferReason::store_unresponsive:
      return "the key-value store does not respond to this controller";
    case TransferReason::workers_unreachable:
      return "its workers cannot reach this controller";
  }
  return "";
}

LeaseTransfers::LeaseTransfers(ControllerState& state, Fleet& fleet) : state_(state), fleet_(fleet) {}

void LeaseTransfers::tick() {
  for (auto& [shard, transferred] : transferred_)
    if (!transferred.workers.empty() && !transferred.probing && state_.now() >= transferred.next_probe)
      probe(shard, transferred);
}

void LeaseTransfers::probe(const std::string& shard, Transferred& transferred) {
  transferred.probing = true;
  transferred.next_probe = state_.now() + kProbeInterval;
  std::rotate(transferred.workers.begin(), transferred.workers.begin() + 1, transferred.workers.end());
  fleet_.probe(transferred.workers.front(), [this, shard](bool answered) {
    const auto found = transferred_.find(shard);
    if (found == transferred_.end()) return;
    found->second.probing = false;
    if (answered) found->second.workers.clear();
  });
}

LeaseTransfer LeaseTransfers::begin(const Shard& shard, TransferReason reason) {
  Transferred& transferred = transferred_[shard.name];
  transferred = {.hold_off_until = state_.now() + kReacquisitionHoldOff};
  if (reason == TransferReason::workers_unreachable)
    for (const auto& [name, machine] : shard.machines)
      if (!machine.address.empty() && transferred.workers.size() < kMaxProbedWorkersPerShard)
        transferred.workers.push_back(machine.address);
  const bool is_failback = reason == TransferReason::failback;
  return {shard.name, shard.fencing_token, is_failback, fleet_.unreachable_machines(shard)};
}

bool LeaseTransfers::is_held_off(const std::string& shard) {
  const auto found = transferred_.find(shard);
  if (found == transferred_.end()) return false;
  const Transferred& transferred = found->second;
  const ShardRoute& route = state_.routes[shard];
  const bool led_by_peer = route.revision != 0 && route.host != state_.own_host();
  // The recorded workers may never answer a probe because they are unreachable or deleted. After `last_probe`
  // the peer has had two worker leases to handle them, so this controller stops waiting for their answers.
  const Micros last_probe = transferred.hold_off_until + state_.context.settings.worker_lease * 2;
  const bool awaits_worker = !transferred.workers.empty() && state_.now() < last_probe;
  if (state_.now() < transferred.hold_off_until || (led_by_peer && awaits_worker)) return true;
  transferred_.erase(found);
  return false;
}

void LeaseTransfers::on_received(const LeaseTransfer& transfer) {
  if (!transfer.is_failback) received_[transfer.shard] = state_.now();
  handovers_[transfer.shard] = transfer;
}

bool LeaseTransfers::is_released_at(const std::string& shard, Revision lease_record) const {
  const auto handover = handovers_.find(shard);
  return handover != handovers_.end() &&
         lease_record_revision(handover->second.fencing_token) == lease_record;
}

bool LeaseTransfers::received_within(const std::string& shard, Micros span) const {
  const auto found = received_.find(shard);
  return found != received_.end() && state_.now() - found->second < span;
}

std::vector<UnreachableMachine> LeaseTransfers::take_handover(const std::string& shard,
                                                              FencingToken replaced) {
  const auto handover = handovers_.extract(shard);
  if (handover.empty() || handover.mapped().fencing_token != replaced) return {};
  return std::move(handover.mapped().unreachable);
}

}  // namespace bendtide
