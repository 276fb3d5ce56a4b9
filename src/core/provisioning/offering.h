// What the cloud offers: a machine type in a zone, on demand or as a spot machine.
#pragma once

#include <compare>
#include <string>

#include "core/model/job.h"

namespace bendtide {

struct Offering {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offering&) const = default;
};

/// Whether the rules of a job allow its tasks on such a machine.
inline bool suits(const JobSpec& spec, const Offering& offering) {
  return (!offering.spot || spec.spot) && spec.allows_type(offering.type) &&
         (!spec.zone || *spec.zone == offering.zone);
}

}  // namespace bendtide
