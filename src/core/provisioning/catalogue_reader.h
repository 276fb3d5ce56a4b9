// Keeps the catalogue of machine types in the controller's state up to date.
#pragma once

#include "core/provisioning/cloud_client.h"
#include "core/state/controller_state.h"

namespace bendtide {

/// Reads the catalogue from the cloud every half minute. A copy in the key-value store serves a controller
/// that starts while the cloud is away.
class CatalogueReader {
 public:
  CatalogueReader(ControllerState& state, CloudClient& cloud) : state_(state), cloud_(cloud) {}

  void tick();

 private:
  void read();
  void on_types_listed(bool first, const CloudResponse& response);
  void save(const std::vector<MachineType>& types);
  void load_saved();
  /// Sizes of machines follow the catalogue, and with them the usage counted by the shards.
  void update_machine_sizes();
  void schedule_next(Micros pause);

  ControllerState& state_;
  CloudClient& cloud_;
  Micros next_read_{0};  ///< steady clock
  bool reading_ = false;
};

}  // namespace bendtide
