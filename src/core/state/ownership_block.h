// The state of one ownership record of a shard, at its leader.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/ids.h"

namespace bendtide {

/// One record that names several machines of the shard.
struct OwnershipBlock {
  enum class Rewrite : std::uint8_t {
    none,        ///< the record is as it should be
    eventually,  ///< it names machines that are gone
    soon         ///< machines came up, and are used once it names their addresses
  };
  Revision revision = 0;
  Rewrite rewrite = Rewrite::none;
  bool writing = false;          ///< a write is under way
  bool outcome_unknown = false;  ///< a write got no answer: the record has to be read again

  void request_rewrite(Rewrite urgency) { rewrite = std::max(rewrite, urgency); }
  /// Whether it is to be rewritten, with this urgency at least, and can be.
  bool may_be_rewritten(Rewrite least_urgency) const {
    return rewrite >= least_urgency && !writing && !outcome_unknown;
  }
};

}  // namespace bendtide
