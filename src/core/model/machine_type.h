// Machine types and machines as the cloud describes them.
#pragma once

#include <string>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide {

/// One entry of the catalogue.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;             ///< for images
  double fetch_gb_per_s = 0;       ///< of images, shared by the fetches of one machine
  double price = 0;                ///< on demand, in the unit of the cloud; only compared
  double spot_price = 0;           ///< as a spot machine, at present; zero if there are none
  Micros boot{0};                  ///< usual time from its creation until it is up
  std::vector<std::string> zones;  ///< in which it is offered
  bool operator==(const MachineType&) const = default;
};

enum class CloudPhase : std::uint8_t { booting, running, failed };

/// A machine in the cloud's list, which may be out of date by Settings::cloud_list_lag.
struct CloudMachine {
  std::string name;
  std::string address;  ///< HOST:PORT of its worker; empty while it boots
  std::string type;
  std::string zone;
  bool spot = false;
  CloudPhase phase = CloudPhase::booting;
  Micros age{0};  ///< since its creation
};

}  // namespace bendtide
