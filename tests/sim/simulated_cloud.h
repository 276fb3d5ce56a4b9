// The simulated cloud: creates and deletes machines. Implements the published protocol in its JSON format.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/model/settings.h"
#include "sim/response.h"
#include "wire/cloud_protocol.h"

namespace bendtide::sim {

class SimulatedWorker;

/// Owns the machines. Requests to create machines are idempotent by their idempotency key. The number of
/// machines is limited by the cloud's capacity.
class SimulatedCloud {
 public:
  struct Machine {
    std::string name;
    std::string type;
    std::string zone;
    std::string address;  ///< host and port of its worker
    bool spot = false;
    Micros provisioned_at{0};
    std::unique_ptr<SimulatedWorker> worker;  ///< null until the machine is up
    bool dead = false;

    bool is_up() const { return worker != nullptr && !dead; }
  };
  /// Called for each new machine. Must set the machine's worker when its boot ends.
  using BootCallback = std::function<void(Machine&)>;

  SimulatedCloud(std::vector<MachineType> types, int capacity, BootCallback boot)
      : types_(std::move(types)), capacity_(capacity), boot_(std::move(boot)) {}

  /// Serves one HTTP request.
  Response handle(const wire::HttpRequest& request, Micros now);
  /// Creates a machine, regardless of the capacity.
  Machine& add(const std::string& type, const std::string& zone, bool spot, Micros now);
  /// Ends a machine and all its tasks. The machine remains listed until it is deleted.
  static void kill(Machine& machine);
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Returns the worker of a machine, or null if the machine does not exist or is not up.
  SimulatedWorker* running_worker(const std::string& machine);
  /// Returns null if there is no type with that name.
  const MachineType* type(const std::string& name) const;
  /// Starts or ends an outage. Every request during an outage gets status 503.
  void set_outage(bool on) { outage_ = on; }

 private:
  Response list_types() const;
  Response list_machines(Micros now) const;
  Response provision(const nlohmann::json& body, Micros now);
  Response remove(const nlohmann::json& body);

  std::vector<MachineType> types_;
  int capacity_;  ///< number of machines
  BootCallback boot_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> responses_;  ///< response bodies of creations, by idempotency key
  std::uint64_t next_machine_number_ = 1;
  bool outage_ = false;
};

}  // namespace bendtide::sim
