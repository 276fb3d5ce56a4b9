// The period during which a shard may act on the awards that it has received.
#pragma once

#include "core/model/time.h"

namespace bendtide {

/// The owner of a job may remove an award and cancel the job without the winner noticing. The winner
/// therefore acts on awards only for a limited time after reading them. Times are on the steady clock.
struct AwardFreshness {
  Micros read_at{0};      ///< the time as of which the awards are known
  Micros valid_until{0};  ///< the awards may be acted on before this time

  /// Records a read that shows the awards as of `as_of`, and allows them to be acted on for `validity` from
  /// then.
  void confirm(Micros as_of, Micros validity) {
    read_at = as_of;
    valid_until = as_of + validity;
  }
  bool is_valid(Micros now) const { return now < valid_until; }
};

}  // namespace bendtide
