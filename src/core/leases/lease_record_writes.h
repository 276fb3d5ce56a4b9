// The lease records of this controller process: how it writes them and how it knows them again.
#pragma once

#include "core/state/controller_state.h"

namespace bendtide {

/// The write that makes this process the leader of a shard. The record is attached to `store_lease`, so that
/// the key-value store removes it when that lease ends.
inline Write lease_record_write(const ControllerState& state, const std::string& shard,
                                StoreLeaseId store_lease) {
  const records::LeaseRecord record{state.self(), state.context.incarnation};
  return {records::lease_key(shard), records::to_json(record), store_lease};
}

/// Whether this very process wrote the record, and not an earlier one of the same host.
inline bool is_written_by_this_process(const ControllerState& state, const records::LeaseRecord& record) {
  return record.host == state.self() && record.incarnation == state.context.incarnation;
}

}  // namespace bendtide
