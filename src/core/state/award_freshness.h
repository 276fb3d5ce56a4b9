// How long the awards that a shard has received may be acted on.
#pragma once

#include "core/model/time.h"

namespace bendtide {

/// The owner of a job may remove an award, and cancel the job, without the winner seeing it. So the winner
/// acts on awards only for a limited time after it has read them. All times are on the steady clock.
struct AwardFreshness {
  Micros read_at{0};      ///< the awards are known as they were then
  Micros valid_until{0};  ///< and are acted on until then

  /// The awards were read as they were at `as_of`.
  void confirm(Micros as_of, Micros validity) {
    read_at = as_of;
    valid_until = as_of + validity;
  }
  bool is_valid(Micros now) const { return now < valid_until; }
};

}  // namespace bendtide
