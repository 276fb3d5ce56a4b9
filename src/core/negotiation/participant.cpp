#include "core/negotiation/participant.h"

#include <algorithm>

namespace bendtide {

namespace {

/// The used portion of the CPUs of all machines of the shard, in thousandths.
std::uint32_t load_permille(const Shard& shard) {
  std::int64_t size = 1;  // avoids a division by zero: a shard without machines has load 0
  std::int64_t used = 0;
  for (const auto& [name, machine] : shard.machines) {
    size += machine.size.cpu;
    used += machine.used.cpu;
  }
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(used * 1000 / size, 0, 1000));
}

}  // namespace

void Participant::on_call(const CallForProposals& call) {
  for (auto& [name, shard] : state_.shards) {
    if (name == call.from_shard || !state_.lease_valid()) continue;
    state_.send_to_leader_of(call.from_shard, proposal_for(call, shard));
  }
}

Proposal Participant::proposal_for(const CallForProposals& call, Shard& shard) {
  Proposal proposal;
  proposal.id = call.id;
  proposal.round = call.round;
  proposal.shard = shard.name;
  if (!shard.ready() || !shard.quota.is_current() || !shard.quota.has_share_of(call.team))
    return proposal;  // zero tasks: a refusal
  scheduler_.run_pass(shard);
  const Scheduler::Offer offer = scheduler_.offer(shard, call);
  proposal.tasks = offer.tasks;
  proposal.start_delay = offer.delay;
  proposal.load_permille = load_permille(shard);
  proposal.quota_revision = shard.quota.revision();
  proposal.free_quota_share = shard.quota.spare(call.team);
  return proposal;
}

}  // namespace bendtide
