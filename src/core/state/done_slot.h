// The records of finished tasks that a shard writes, as its leader knows them.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "core/model/ids.h"

namespace bendtide {

/// One record of finished tasks. It holds those of many jobs, so that one write serves all that finished
/// since the last.
struct DoneSlot {
  Revision revision = 0;
  std::set<std::pair<std::string, std::uint32_t>> chunks;  ///< job and chunk of its tasks
  std::size_t bytes = 0;                                   ///< upper bound, with every task done
  bool dirty = false;                                      ///< to be written
  bool outcome_unknown = false;                            ///< a write got no answer: read the revision first

  void on_written(Revision at) {
    revision = at;
    dirty = false;
  }
  /// What a read found; revision 0: no record.
  void on_read(Revision found) {
    revision = found;
    outcome_unknown = false;
  }
};

}  // namespace bendtide
