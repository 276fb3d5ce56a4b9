// Keeps the catalogue of machine types in the controller's state up to date.
#pragma once

#include "core/provisioning/cloud_client.h"
#include "core/state/controller_state.h"

namespace bendtide {

/// Reads the catalogue from the cloud every 30 seconds. A controller that starts while the cloud is
/// unavailable uses the copy in the key-value store.
class CatalogueReader {
 public:
  CatalogueReader(ControllerState& state, CloudClient& cloud) : state_(state), cloud_(cloud) {}

  void tick();

 private:
  void read();
  void on_types_listed(bool is_first_read, const CloudResponse& response);
  void save(const std::vector<MachineType>& types);
  void load_saved();
  /// Updates the sizes of all machines from the catalogue, and the usage counted by their shards.
  void update_machine_sizes();
  void schedule_next(Micros delay);

  ControllerState& state_;
  CloudClient& cloud_;
  Micros next_read_{0};  ///< steady clock
  bool reading_ = false;
};

}  // namespace bendtide
