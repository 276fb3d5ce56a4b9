#include "wire/cloud_protocol.h"

#include "wire/names.h"
#include "wire/object_reader.h"
#include "wire/query.h"

namespace bendtide::wire {

using nlohmann::json;
using namespace names;

namespace {

constexpr char kPageSize[] = "500";  ///< machines on a page of a list

const EnumNames<CloudPhase> kCloudPhases = {
    {"starting", CloudPhase::booting}, {"running", CloudPhase::running}, {"failed", CloudPhase::failed}};

HttpRequest to_http(const ListMachineTypes&) { return {"GET", kMachineTypesPath, ""}; }

HttpRequest to_http(const CreateMachines& request) {
  const json body = {{kIdempotencyKey, request.idempotency_key},
                     {kMachineType, request.type},
                     {kZone, request.zone},
                     {kSpot, request.spot},
                     {kCount, request.count}};
  return {"POST", kMachinesPath, body.dump()};
}

HttpRequest to_http(const DeleteMachines& request) {
  return {"POST", kDeleteMachinesPath, json{{kMachines, request.machines}}.dump()};
}

HttpRequest to_http(const ListMachines& request) {
  std::string target = std::string(kMachinesPath) + "?" + kLimit + "=" + kPageSize;
  if (!request.after.empty()) target += std::string("&") + kAfter + "=" + escape(request.after);
  return {"GET", target, ""};
}

MachineType read_machine_type(const ObjectReader& reader) {
  MachineType type;
  type.name = reader.name(kTypeName);
  type.size = reader.resources(Rounding::down);
  type.cache_gb = reader.amount(kCacheGb);
  type.fetch_gb_per_s = reader.amount(kFetchRate);
  type.price = reader.amount(kPrice);
  type.spot_price = reader.amount_or(kSpotPrice, 0);
  type.boot = reader.duration(kBootTime);
  type.zones = reader.strings(kZones);
  return type;
}

CloudMachine read_machine(const ObjectReader& reader) {
  CloudMachine machine;
  machine.name = reader.name(kUid);
  if (auto address = reader.optional_name(kAddress)) machine.address = std::move(*address);
  machine.type = reader.name(kMachineType);
  machine.zone = reader.name(kZone);
  machine.spot = reader.flag_or(kSpot, false);
  machine.phase = reader.one_of(kPhase, kCloudPhases);
  machine.age = reader.duration(kAge);
  return machine;
}

// One overload for each kind of request. Each reads the body of a response with status 200.

CloudResponse read_result(const ListMachineTypes&, std::string_view body) {
  const json value = parse_json(body);
  CloudResponse response;
  for (const json& type : ObjectReader(value).require(kMachineTypes))
    response.types.push_back(read_machine_type(ObjectReader(type)));
  return response;
}

CloudResponse read_result(const CreateMachines&, std::string_view body) {
  const json value = parse_json(body);
  CloudResponse response;
  response.names = ObjectReader(value).strings(kMachines);
  return response;
}

/// Ignores the body, which may be missing: the status alone shows the success.
CloudResponse read_result(const DeleteMachines&, std::string_view) { return {}; }

CloudResponse read_result(const ListMachines&, std::string_view body) {
  const json value = parse_json(body);
  const ObjectReader reader(value);
  CloudResponse response;
  for (const json& machine : reader.require(kMachines))
    response.machines.push_back(read_machine(ObjectReader(machine)));
  response.more = reader.flag_or(kMore, false);
  return response;
}

CloudResponse read_success(const CloudRequest& request, std::string_view body) {
  CloudResponse response = std::visit([&](const auto& kind) { return read_result(kind, body); }, request);
  response.outcome = CloudResponse::Outcome::ok;
  return response;
}

/// Reads a response with status 503, whose body distinguishes a lack of capacity from other refusals.
CloudResponse read_unavailable(std::string_view body) {
  const json value = parse_json(body);
  const json* error = value.is_object() ? ObjectReader(value).find(kError) : nullptr;
  const bool no_capacity = error != nullptr && *error == "no capacity";
  CloudResponse response;
  response.outcome = no_capacity ? CloudResponse::Outcome::no_capacity : CloudResponse::Outcome::refused;
  return response;
}

CloudResponse read_response(const CloudRequest& request, int status, std::string_view body) {
  CloudResponse response;
  switch (status) {
    case 200:
      return read_success(request, body);
    case 400:
    case 429:
      response.outcome = CloudResponse::Outcome::refused;
      return response;
    case 503:
      return read_unavailable(body);
    default:
      return response;
  }
}

}  // namespace

HttpRequest request_of(const CloudRequest& request) {
  return std::visit([](const auto& kind) { return to_http(kind); }, request);
}

CloudResponse parse_cloud_response(const CloudRequest& request, int status, std::string_view body) {
  auto parsed = parse_with<CloudResponse>([&] { return read_response(request, status, body); });
  auto* response = std::get_if<CloudResponse>(&parsed);
  return response == nullptr ? CloudResponse{} : std::move(*response);
}

}  // namespace bendtide::wire
