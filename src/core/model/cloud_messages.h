// Requests to the cloud and its responses.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/model/machine_type.h"

namespace bendtide {

struct ListMachineTypes {};

struct CreateMachines {
  std::string idempotency_key;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

struct DeleteMachines {
  std::vector<std::string> machines;
};

struct ListMachines {
  std::string after;
};

using CloudRequest = std::variant<ListMachineTypes, CreateMachines, DeleteMachines, ListMachines>;

struct CloudResponse {
  enum class Outcome : std::uint8_t { ok, no_capacity, refused, unknown };
  Outcome outcome = Outcome::unknown;
  std::vector<MachineType> types;
  std::vector<std::string> names;
  std::vector<CloudMachine> machines;
  bool more = false;
  bool ok() const { return outcome == Outcome::ok; }
};

}  // namespace bendtide
