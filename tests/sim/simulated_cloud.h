// The simulated cloud: provisions and deletes machines by the published protocol, in its JSON.
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

/// Owns the machines. Provisioning is idempotent by idempotency key and limited by a capacity.
class SimulatedCloud {
 public:
  struct Machine {
    std::string name;
    std::string type;
    std::string zone;
    std::string address;  ///< of its worker
    bool spot = false;
    Micros provisioned_at{0};
    std::unique_ptr<SimulatedWorker> worker;  ///< null until the machine is up
    bool dead = false;

    bool is_up() const { return worker != nullptr && !dead; }
  };
  /// Called for every new machine; has to give it a worker once it is up.
  using Boot = std::function<void(Machine&)>;

  SimulatedCloud(std::vector<MachineType> types, int capacity, Boot boot)
      : types_(std::move(types)), capacity_(capacity), boot_(std::move(boot)) {}

  Response handle(const wire::HttpRequest& request, Micros now);
  Machine& add(const std::string& type, const std::string& zone, bool spot, Micros now);
  /// The machine and all that runs on it end; the machine stays listed until it is deleted.
  static void kill(Machine& machine);
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// The worker of a machine that is up; null if there is no such machine or it is not up.
  SimulatedWorker* running_worker(const std::string& machine);
  /// Null if there is no type of that name.
  const MachineType* type(const std::string& name) const;
  /// During an outage every request is answered 503.
  void set_outage(bool on) { out_ = on; }

 private:
  Response list_types() const;
  Response list_machines(Micros now) const;
  Response provision(const nlohmann::json& body, Micros now);
  Response remove(const nlohmann::json& body);

  std::vector<MachineType> types_;
  int capacity_;
  Boot boot_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> answers_;  ///< by idempotency key
  std::uint64_t next_number_ = 1;
  bool out_ = false;
};

}  // namespace bendtide::sim
