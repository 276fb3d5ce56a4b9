// An offering of the cloud: a machine type in a zone, as an on-demand or a spot machine.
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

/// Whether the rules of a job allow its tasks on a machine of the offering.
inline bool suits(const JobSpec& spec, const Offering& offering) {
  return (!offering.spot || spec.spot) && spec.allows_type(offering.type) &&
         (!spec.zone || *spec.zone == offering.zone);
}

}  // namespace bendtide
