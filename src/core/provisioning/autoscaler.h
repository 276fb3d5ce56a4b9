// The autoscaler: creates machines for tasks that found no capacity, deletes machines that are no longer
// needed, and adopts orphaned machines. The interface of this folder to the controller.
#pragma once

#include "core/provisioning/catalogue_reader.h"
#include "core/provisioning/orphan_adoption.h"
#include "core/provisioning/scale_in.h"
#include "core/provisioning/scale_out.h"

namespace bendtide {

class Autoscaler {
 public:
  Autoscaler(ControllerState& state, Fleet& fleet);

  /// Keeps the catalogue up to date, and scales the shards that are ready while the controller's lease is
  /// valid.
  void tick();
  void on_response(std::uint64_t call, const CloudResponse& response);
  void on_shard_ready(Shard& shard);
  /// Handles the notice of a peer that the cloud has no capacity for this offering.
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
