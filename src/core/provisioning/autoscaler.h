// The autoscaler: creates machines for tasks without capacity, deletes those no longer needed, and adopts
// orphaned ones. The front of the folder.
#pragma once

#include "core/provisioning/catalogue_reader.h"
#include "core/provisioning/orphan_adoption.h"
#include "core/provisioning/scale_in.h"
#include "core/provisioning/scale_out.h"

namespace bendtide {

class Autoscaler {
 public:
  Autoscaler(ControllerState& state, Fleet& fleet);

  /// Acts on the shards that are ready, and only while the controller's lease is valid.
  void tick();
  void on_response(std::uint64_t call, const CloudResponse& response);
  void on_shard_ready(Shard& shard);
  /// A peer was refused this offering.
  void on_capacity_exhausted(const CapacityExhausted& exhausted);

 private:
  ControllerState& state_;
  CloudClient cloud_;
  CatalogueReader catalogue_reader_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  OrphanAdoption orphan_adoption_;
  Micros next_scale_out_{0};  ///< steady clock
};

}  // namespace bendtide
