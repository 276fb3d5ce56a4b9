#include "core/leases/shard_acquisition.h"

#include "core/leases/lease_record_writes.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

ShardAcquisition::ShardAcquisition(ControllerState& state, StoreLease& store_lease, Hooks hooks)
    : state_(state), store_lease_(store_lease), hooks_(std::move(hooks)) {}

void ShardAcquisition::start(const std::string& shard, Revision expected_revision) {
  const Acquisition acquisition{shard, expected_revision, store_lease_.id()};
  in_flight_.insert(shard);
  Transaction transaction;
  transaction.compares = {{records::lease_key(shard), expected_revision}};
  transaction.writes = {lease_record_write(state_, shard, acquisition.store_lease)};
  state_.store.commit(
      std::move(transaction),
      [this, acquisition](const StoreResponse& response) { on_written(acquisition, response); },
      RequestPriority::lease);
}

void ShardAcquisition::on_written(const Acquisition& acquisition, const StoreResponse& response) {
  if (response.outcome == Outcome::unknown) return read_record(acquisition);
  if (!finish(acquisition)) return;
  if (response.ok())
    return hooks_.acquired(acquisition.shard, fencing_token_of(response.revision),
                           fencing_token_of(acquisition.expected_revision));
  if (response.outcome == Outcome::absent) store_lease_.end();
  hooks_.failed();
}

void ShardAcquisition::read_record(const Acquisition& acquisition) {
  // If the write is applied only after this read, a later list of the lease records shows a record of this
  // process for a shard that it does not lead. The shard is then acquired again.
  state_.store.get(
      records::lease_key(acquisition.shard),
      [this, acquisition](const StoreResponse& response) { on_record_read(acquisition, response); },
      ReadKind::lease);
}

void ShardAcquisition::on_record_read(const Acquisition& acquisition, const StoreResponse& response) {
  if (!finish(acquisition)) return;
  if (!response.ok() || response.entries.empty()) return hooks_.failed();
  const KeyValue& entry = response.entries.front();
  if (!shows_leadership(acquisition, entry)) return hooks_.failed();
  hooks_.acquired(acquisition.shard, fencing_token_of(entry.revision), FencingToken{});
}

bool ShardAcquisition::shows_leadership(const Acquisition& acquisition, const KeyValue& entry) const {
  const auto record = records::read_lease_record(entry.value);
  if (!record || !is_written_by_this_process(state_, *record)) return false;
  if (entry.revision <= acquisition.expected_revision) return false;
  // A record from an earlier term may have been released to a peer, whose transaction that replaces it may
  // still be applied.
  const auto last_token = last_tokens_.find(acquisition.shard);
  return last_token == last_tokens_.end() || fencing_token_of(entry.revision) > last_token->second;
}

void ShardAcquisition::on_term_ended(const std::string& shard, FencingToken last_token) {
  FencingToken& highest = last_tokens_[shard];
  highest = std::max(highest, last_token);
}

bool ShardAcquisition::finish(const Acquisition& acquisition) {
  in_flight_.erase(acquisition.shard);
  if (store_lease_.is_granted() && acquisition.store_lease == store_lease_.id()) return true;
  state_.context.info(LogMessage("shard not acquired")
                          .shard(acquisition.shard)
                          .reason("the store lease of its lease record has ended"));
  hooks_.failed();
  return false;
}

}  // namespace bendtide
