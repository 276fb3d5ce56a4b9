// Requests to the cloud and its responses.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/model/machine_type.h"

namespace bendtide {

/// Asks for the catalogue.
struct ListMachineTypes {};

/// Asks for up to `count` machines of one type. Repeated with the same key it creates nothing, and its
/// response names the machines created the first time.
struct CreateMachines {
  std::string idempotency_key;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

/// Deletes machines by name; a success also covers those that don't exist any more.
struct DeleteMachines {
  std::vector<std::string> machines;
};

/// Asks for one page of the list of machines, which is ordered by name.
struct ListMachines {
  std::string after;  ///< the page begins behind this name; empty: at the beginning
};

using CloudRequest = std::variant<ListMachineTypes, CreateMachines, DeleteMachines, ListMachines>;

/// The outcome of a request, with the fields that belong to its kind.
struct CloudResponse {
  enum class Outcome : std::uint8_t {
    ok,
    no_capacity,  ///< nothing of this offering is to be had at present
    refused,      ///< surely not executed
    unknown       ///< no response, or none that shows whether the request was executed
  };
  Outcome outcome = Outcome::unknown;
  std::vector<MachineType> types;  ///< of ListMachineTypes
  std::vector<std::string> names;  ///< of CreateMachines: those created, fewer than asked for if few are left
  std::vector<CloudMachine> machines;  ///< of ListMachines
  bool more = false;                   ///< of ListMachines: further pages follow
  bool ok() const { return outcome == Outcome::ok; }
};

}  // namespace bendtide
