#include "core/leases/fencing_token_advance.h"

#include "core/leases/lease_record_writes.h"

namespace bendtide {

FencingTokenAdvance::FencingTokenAdvance(ControllerState& state, const StoreLease& store_lease,
                                         std::function<void()> on_failed)
    : state_(state), store_lease_(store_lease), on_failed_(std::move(on_failed)) {}

void FencingTokenAdvance::tick() {
  for (auto& [name, shard] : state_.shards)
    if (shard.token_advance.due(state_.now())) write_record(shard);
}

void FencingTokenAdvance::write_record(Shard& shard) {
  shard.token_advance.begin(state_.now());
  Transaction transaction;
  transaction.writes = {lease_record_write(state_, shard.name, store_lease_.id())};
  state_.commit_fenced(
      shard, std::move(transaction),
      [this, name = shard.name, leadership_term = shard.leadership_term,
       previous_token = shard.fencing_token](const StoreResponse& response) {
        Shard* current = state_.shard_in_term(name, leadership_term);
        if (current != nullptr) on_written(*current, previous_token, response);
      },
      RequestPriority::lease);
}

void FencingTokenAdvance::on_written(Shard& shard, FencingToken previous_token,
                                     const StoreResponse& response) {
  if (!response.ok()) {
    shard.token_advance.fail(response.outcome == StoreResponse::Outcome::conflict);
    return on_failed_();
  }
  shard.token_advance.succeed();
  const FencingToken written_token = fencing_token_of(response.revision);
  // A list of the lease records may have shown the new token before this response.
  if (written_token <= previous_token || written_token < shard.fencing_token)
    state_.context.report_violation(Invariant::tokens_grow,
                                    LogMessage("lease record written")
                                        .shard(shard.name)
                                        .token(shard.fencing_token)
                                        .detail("revision", to_string(response.revision)));
  shard.fencing_token = std::max(shard.fencing_token, written_token);
  state_.context.debug(
      [&] { return LogMessage("fencing token advanced").shard(shard.name).token(written_token); });
}

}  // namespace bendtide
