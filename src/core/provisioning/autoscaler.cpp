#include "core/provisioning/autoscaler.h"

namespace bendtide {

namespace {

constexpr Micros kScaleOutInterval = millis(500);

}  // namespace

Autoscaler::Autoscaler(ControllerState& state, Fleet& fleet)
    : state_(state),
      cloud_(state.context),
      catalogue_reader_(state, cloud_),
      scale_out_(state, fleet, cloud_),
      scale_in_(state, fleet, cloud_),
      orphan_adoption_(state, fleet, cloud_) {}

void Autoscaler::on_response(std::uint64_t call, const CloudResponse& response) {
  cloud_.on_response(call, response);
}

void Autoscaler::on_shard_ready(Shard&) { orphan_adoption_.start(); }

void Autoscaler::on_capacity_exhausted(const CapacityExhausted& exhausted) {
  scale_out_.on_capacity_exhausted(exhausted);
}

void Autoscaler::tick() {
  catalogue_reader_.tick();
  if (!state_.lease_valid()) return;
  const bool scale_out_due = state_.now() >= next_scale_out_;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    scale_in_.scale_in(shard);
    if (scale_out_due && !state_.catalogue.empty()) scale_out_.scale_out(shard);
    if (name == state_.own_host()) orphan_adoption_.tick(shard);
  }
  if (scale_out_due) next_scale_out_ = state_.now() + kScaleOutInterval;
}

}  // namespace bendtide
