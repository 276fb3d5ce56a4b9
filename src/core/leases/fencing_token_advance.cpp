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
  transaction.compares = {state_.fenced_by(shard)};
  transaction.writes = {lease_record_write(state_, shard.name, store_lease_.id())};
  state_.store.commit(
      std::move(transaction),
      [this, name = shard.name, leadership_term = shard.leadership_term](const StoreResponse& response) {
        if (Shard* current = state_.shard_in_term(name, leadership_term)) on_written(*current, response);
      });
}

void FencingTokenAdvance::on_written(Shard& shard, const StoreResponse& response) {
  if (!response.ok()) {
    shard.token_advance.fail(response.outcome == StoreResponse::Outcome::conflict);
    return on_failed_();
  }
  shard.token_advance.succeed();
  const FencingToken written_token = fencing_token_of(response.revision);
  if (written_token <= shard.fencing_token)
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
