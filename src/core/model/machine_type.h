// Machines as the cloud describes them.
#pragma once

#include <string>
#include <vector>

#include "core/model/resources.h"
#include "core/model/time.h"

namespace bendtide {

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Micros boot{0};
  std::vector<std::string> zones;
  bool operator==(const MachineType&) const = default;
};

enum class CloudPhase : std::uint8_t { booting, running, failed };

struct CloudMachine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  CloudPhase phase = CloudPhase::booting;
  Micros age{0};
};

}  // namespace bendtide
