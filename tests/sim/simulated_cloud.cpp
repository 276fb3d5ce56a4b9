#include "sim/simulated_cloud.h"

#include <nlohmann/json.hpp>

#include "sim/simulated_worker.h"
#include "wire/names.h"

namespace bendtide::sim {

using nlohmann::json;
using namespace wire::names;

const MachineType* SimulatedCloud::type(const std::string& name) const {
  for (const MachineType& type : types_)
    if (type.name == name) return &type;
  return nullptr;
}

SimulatedCloud::Machine& SimulatedCloud::add(const std::string& type, const std::string& zone, bool spot,
                                             Micros now) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06llu", static_cast<unsigned long long>(next_machine_number_++));
  Machine& machine = machines_[name];
  machine.name = name;
  machine.address = machine.name + ":9000";
  machine.type = type;
  machine.zone = zone;
  machine.spot = spot;
  machine.provisioned_at = now;
  boot_(machine);
  return machine;
}

void SimulatedCloud::kill(Machine& machine) {
  machine.dead = true;
  if (machine.worker) machine.worker->stop();
}

SimulatedWorker* SimulatedCloud::running_worker(const std::string& machine) {
  const auto found = machines_.find(machine);
  return found != machines_.end() && found->second.is_up() ? found->second.worker.get() : nullptr;
}

Response SimulatedCloud::handle(const wire::HttpRequest& request, Micros now) {
  if (outage_) return {503, json{{kError, "outage"}}.dump()};
  if (request.target == kMachineTypesPath) return list_types();
  if (request.method == "POST" && request.target == kMachinesPath)
    return provision(json::parse(request.body), now);
  if (request.target == kDeleteMachinesPath) return remove(json::parse(request.body));
  return list_machines(now);
}

Response SimulatedCloud::list_types() const {
  json types = json::array();
  for (const MachineType& type : types_)
    types.push_back({{kTypeName, type.name},
                     {kCpus, static_cast<double>(type.size.cpu) / 1000},
                     {kGpus, 0},
                     {kMemory, static_cast<double>(type.size.memory) / 1000},
                     {kCacheGb, type.cache_gb},
                     {kFetchRate, type.fetch_gb_per_s},
                     {kPrice, type.price},
                     {kSpotPrice, type.spot_price},
                     {kBootTime, in_seconds(type.boot)},
                     {kZones, type.zones}});
  return {200, json{{kMachineTypes, types}}.dump()};
}

Response SimulatedCloud::provision(const json& body, Micros now) {
  const auto idempotency_key = body.at(kIdempotencyKey).get<std::string>();
  if (const auto earlier = responses_.find(idempotency_key); earlier != responses_.end())
    return {200, earlier->second};
  json names = json::array();
  for (int i = 0; i < body.at(kCount).get<int>() && static_cast<int>(machines_.size()) < capacity_; ++i)
    names.push_back(add(body.at(kMachineType), body.at(kZone), body.at(kSpot), now).name);
  if (names.empty()) return {503, json{{kError, "no capacity"}}.dump()};
  std::string& response = responses_[idempotency_key];
  response = json{{kMachines, names}}.dump();
  return {200, response};
}

Response SimulatedCloud::remove(const json& body) {
  for (const json& name : body.at(kMachines)) {
    const auto machine = machines_.find(name.get<std::string>());
    if (machine == machines_.end()) continue;
    kill(machine->second);
    machines_.erase(machine);
  }
  return {200, "{}"};
}

Response SimulatedCloud::list_machines(Micros now) const {
  json rows = json::array();
  for (const auto& [name, machine] : machines_)
    rows.push_back({{kUid, name},
                    {kAddress, machine.address},
                    {kMachineType, machine.type},
                    {kZone, machine.zone},
                    {kSpot, machine.spot},
                    {kPhase, "running"},
                    {kAge, in_seconds(now - machine.provisioned_at)}});
  return {200, json{{kMachines, rows}, {kMore, false}}.dump()};
}

}  // namespace bendtide::sim
