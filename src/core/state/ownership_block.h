// The state of one ownership record of a shard, as held by its leader.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/model/ids.h"

namespace bendtide {

/// An ownership record, which lists several machines of the shard.
struct OwnershipBlock {
  /// The urgency of the next write of the record; later enumerators are more urgent.
  enum class Rewrite : std::uint8_t {
    none,        ///< the record is up to date
    eventually,  ///< the record lists machines that no longer exist
    soon         ///< new machines have started, which can't be used until the record contains their addresses
  };
  Revision revision = 0;
  Rewrite rewrite = Rewrite::none;
  bool writing = false;          ///< a write is in flight
  bool outcome_unknown = false;  ///< a write got no response: the record has to be read again

  void request_rewrite(Rewrite urgency) { rewrite = std::max(rewrite, urgency); }
  /// Returns whether a rewrite of at least this urgency is requested and can be made now.
  bool may_be_rewritten(Rewrite least_urgency) const {
    return rewrite >= least_urgency && !writing && !outcome_unknown;
  }
};

}  // namespace bendtide
