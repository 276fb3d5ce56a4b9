// Builds the lease records of this controller process and recognizes them when they are read back.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

/// Returns the write that makes this process the leader of a shard. The record is attached to `store_lease`:
/// the key-value store removes the record when that lease ends.
inline Write lease_record_write(const ControllerState& state, const std::string& shard,
                                StoreLeaseId store_lease) {
  const records::LeaseRecord record{state.own_host(), state.context.incarnation, true};
  return {records::lease_key(shard), records::to_json(record), store_lease};
}

/// Returns whether this process wrote the record, rather than an earlier process on the same host.
inline bool is_written_by_this_process(const ControllerState& state, const records::LeaseRecord& record) {
  return record.host == state.own_host() && record.incarnation == state.context.incarnation;
}

}  // namespace bendtide
