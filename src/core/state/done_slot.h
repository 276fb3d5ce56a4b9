// The state of a shard's finished-task records, as held by its leader.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "core/model/ids.h"

namespace bendtide {

/// One record of finished tasks. It covers chunks of several jobs, so that a single write can record all
/// tasks that finished since the previous write.
struct FinishedTaskSlot {
  Revision revision = 0;                                   ///< of the record; 0 if it does not exist
  std::set<std::pair<std::string, std::uint32_t>> chunks;  ///< job id and chunk number of each chunk
  std::size_t bytes = 0;         ///< upper bound of the record's size, reached when every task is done
  bool dirty = false;            ///< the record has to be written
  bool outcome_unknown = false;  ///< a write got no response: the revision has to be read before the next

  void on_written(Revision at) {
    revision = at;
    dirty = false;
  }
  /// Records the revision that a read found; 0 if there is no record.
  void on_read(Revision found) {
    revision = found;
    outcome_unknown = false;
  }
};

}  // namespace bendtide
