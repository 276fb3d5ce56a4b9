// Requests to the cloud API and the responses to them.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/model/machine_type.h"

namespace bendtide {

/// Lists the machine types that the cloud offers (the catalogue).
struct ListMachineTypes {};

/// Creates up to `count` machines of one type. A repeated request with the same idempotency key creates
/// nothing; its response names the machines that the first request created.
struct CreateMachines {
  std::string idempotency_key;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

/// Deletes machines by name. Machines that no longer exist are not an error.
struct DeleteMachines {
  std::vector<std::string> machines;
};

/// Reads one page of the list of machines, which is ordered by name.
struct ListMachines {
  std::string after;  ///< the page starts after this name; empty: at the first machine
};

using CloudRequest = std::variant<ListMachineTypes, CreateMachines, DeleteMachines, ListMachines>;

/// The response to any CloudRequest. Only the fields that belong to the kind of request are set.
struct CloudResponse {
  enum class Outcome : std::uint8_t {
    ok,
    no_capacity,  ///< the cloud has no capacity for this offering at present
    refused,      ///< the request was definitely not executed
    unknown       ///< no response, or one that does not show whether the request was executed
  };
  Outcome outcome = Outcome::unknown;
  std::vector<MachineType> types;      ///< response to ListMachineTypes
  std::vector<std::string> names;      ///< response to CreateMachines; may be fewer machines than requested
  std::vector<CloudMachine> machines;  ///< response to ListMachines
  bool more = false;                   ///< response to ListMachines: whether further pages follow
  bool ok() const { return outcome == Outcome::ok; }
};

}  // namespace bendtide
