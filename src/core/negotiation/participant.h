// The participant of the contract net: answers calls for proposals from other shards.
#pragma once

#include "core/placement/scheduler.h"

namespace bendtide {

class Participant {
 public:
  Participant(ControllerState& state, Scheduler& scheduler) : state_(state), scheduler_(scheduler) {}

  /// Sends one proposal for each shard led by this controller, except the calling shard. A proposal is not
  /// binding: the award is conditional on the revision of the allocation record that the proposal names.
  void on_call(const CallForProposals& call);

 private:
  Proposal proposal_for(const CallForProposals& call, Shard& shard);

  ControllerState& state_;
  Scheduler& scheduler_;
};

}  // namespace bendtide
