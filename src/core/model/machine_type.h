// Machine types and machines as the cloud API reports them.
#pragma once

#include <string>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide {

/// One entry of the catalogue of machine types.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;        ///< size of the cache for job images
  double fetch_gb_per_s = 0;  ///< bandwidth for fetching images, shared by all fetches of one machine
  double price = 0;  ///< as an on-demand machine, in the cloud's unit; only ever compared with other prices
  double spot_price = 0;           ///< current price as a spot machine; 0: not offered as one
  Micros boot{0};                  ///< usual time from the creation of a machine until it is up
  std::vector<std::string> zones;  ///< the zones that offer the type
  bool operator==(const MachineType&) const = default;
};

enum class CloudPhase : std::uint8_t { booting, running, failed };

/// A machine in the list of the cloud API, which may be out of date by up to Settings::cloud_list_lag.
struct CloudMachine {
  std::string name;
  std::string address;  ///< HOST:PORT of the machine's worker; empty while the machine boots
  std::string type;
  std::string zone;
  bool spot = false;
  CloudPhase phase = CloudPhase::booting;
  Micros age{0};  ///< time since the creation of the machine
};

}  // namespace bendtide
