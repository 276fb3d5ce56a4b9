#include "core/negotiation/quota_transfer.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kResolveAgainAfter = millis(300);

/// The allocation in the first entry of a response; none if there is no such entry or it can't be read.
std::optional<records::QuotaAllocation> allocation_in(const StoreResponse& response) {
  if (!response.ok() || response.entries.empty()) return std::nullopt;
  return records::quota_allocation(response.entries.front().value);
}

}  // namespace

QuotaTransfer::QuotaTransfer(ControllerState& state, NegotiationCounters& counters,
                             std::function<void()> invalidate_leases)
    : state_(state), counters_(counters), invalidate_leases_(std::move(invalidate_leases)) {}

// ---- a move --------------------------------------------------------------------------------------

void QuotaTransfer::start(Shard& shard, const std::string& to, const std::string& team, Quota amount,
                          std::optional<AwardedTasks> award) {
  shard.quota.begin_transfer(team, amount);
  const QuotaMove move{shard.name, shard.leadership_term, state_.fenced_by(shard), to, team,
                       amount,     std::move(award)};
  state_.store.get(records::quota_key(to),
                   [this, move](const StoreResponse& response) { on_receiver_read(move, response); });
}

void QuotaTransfer::on_receiver_read(const QuotaMove& move, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(move.from, move.leadership_term);
  if (shard == nullptr) return;
  const auto receiver = allocation_in(response);
  // A proposal is valid for one revision of the allocation: at any other, the capacity that it offers may
  // have gone to another award.
  const bool proposal_expired = receiver && move.award && move.award->proposed_at != 0 &&
                                response.entries.front().revision != move.award->proposed_at;
  if (!receiver || proposal_expired) {
    ++counters_.conflicts;
    // The notice of the other award may have been lost, so that the receiver's leader does not know of it.
    if (receiver) state_.send_to_leader_of(move.to, AwardNotice{move.to});
    return finish(*shard, move, false);
  }
  commit(*shard, move, receiver->quota_shares, response.entries.front().revision);
}

void QuotaTransfer::commit(Shard& shard, const QuotaMove& move, const QuotaLedger::Shares& receiver_shares,
                           Revision receiver_revision) {
  records::QuotaAllocation ours{shard.quota.shares()};
  ours.quota_shares[move.team] -= move.amount;
  records::QuotaAllocation theirs{receiver_shares};
  theirs.quota_shares[move.team] += move.amount;
  const std::string our_key = records::quota_key(move.from);
  const std::string their_key = records::quota_key(move.to);
  Transaction transaction;
  transaction.compares = {move.fence, {our_key, shard.quota.revision()}, {their_key, receiver_revision}};
  transaction.writes = {{our_key, records::to_json(ours), 0}, {their_key, records::to_json(theirs), 0}};
  if (move.award) {
    // Tasks of a job that is over must not be awarded, even if this leader has not learned of its end.
    transaction.compares.push_back({records::final_job_key(move.award->job), 0});
    transaction.compares.push_back({move.award->key, 0});
    transaction.writes.push_back({move.award->key, records::to_json(move.award->record), 0});
  }
  state_.store.commit(std::move(transaction),
                      [this, move](const StoreResponse& response) { on_committed(move, response); });
}

void QuotaTransfer::on_committed(const QuotaMove& move, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(move.from, move.leadership_term);
  if (shard == nullptr) return;
  switch (response.outcome) {
    case Outcome::ok:
      shard->quota.set_revision(response.revision);
      return finish(*shard, move, true);
    case Outcome::unknown:
      return resolve(*shard, move);
    case Outcome::conflict:
      ++counters_.conflicts;
      shard->quota.mark_stale();
      invalidate_leases_();
      return finish(*shard, move, false);
    case Outcome::absent:
    case Outcome::refused:
      return finish(*shard, move, false);
  }
}

void QuotaTransfer::finish(Shard& shard, const QuotaMove& move, bool applied) {
  if (applied)
    shard.quota.complete_transfer(move.team, move.amount);
  else
    shard.quota.cancel_transfer(move.team, move.amount);
  shard.changed();
  if (move.award) {
    const auto job = shard.jobs.find(move.award->job);
    if (job != shard.jobs.end()) finish_award(job->second, move, applied, state_.now());
  }
  if (!applied) return;
  if (move.award) {
    ++counters_.awards;
    state_.context.info(LogMessage("tasks awarded")
                            .shard(move.from)
                            .token(shard.fencing_token)
                            .job(move.award->job)
                            .detail("tasks", move.award->tasks.size())
                            .detail("winner", move.to));
  } else {
    ++counters_.quota_transfers;
  }
  state_.send_to_leader_of(move.to, AwardNotice{move.to});
}

void QuotaTransfer::finish_award(Job& job, const QuotaMove& move, bool applied, Micros now) {
  job.tasks_in_award -= static_cast<std::uint32_t>(move.award->tasks.size());
  if (applied) {
    job.awards[move.award->key] = move.to;
    job.next_call = now;
    return;
  }
  for (const std::uint32_t index : move.award->tasks) job.set_waiting(index);
}

// ---- a move whose write was not answered ---------------------------------------------------------

/// The write may have been executed, or may be executed yet. It compares the revision of our allocation
/// record, so once that record is rewritten the write has been executed already or never will be.
void QuotaTransfer::resolve(Shard& shard, const QuotaMove& move) {
  state_.store.get(records::quota_key(shard.name),
                   [this, move](const StoreResponse& response) { on_allocation_read(move, response); });
}

void QuotaTransfer::resolve_later(const QuotaMove& move) {
  state_.context.later(kResolveAgainAfter, [this, move] {
    if (Shard* shard = state_.shard_in_term(move.from, move.leadership_term)) resolve(*shard, move);
  });
}

void QuotaTransfer::on_allocation_read(const QuotaMove& move, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(move.from, move.leadership_term);
  if (shard == nullptr) return;
  const auto allocation = allocation_in(response);
  if (!allocation) return resolve_later(move);
  const std::string key = records::quota_key(move.from);
  Transaction transaction;
  transaction.compares = {state_.fenced_by(*shard), {key, response.entries.front().revision}};
  transaction.writes = {{key, records::to_json(*allocation), 0}};
  state_.store.commit(std::move(transaction),
                      [this, move, shares = allocation->quota_shares](const StoreResponse& rewritten) {
                        on_allocation_rewritten(move, shares, rewritten);
                      });
}

void QuotaTransfer::on_allocation_rewritten(const QuotaMove& move, const QuotaLedger::Shares& shares,
                                            const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(move.from, move.leadership_term);
  if (shard == nullptr) return;
  if (!response.ok()) {
    invalidate_leases_();
    return resolve_later(move);
  }
  shard->quota.set_revision(response.revision);
  // Without an award, the shares just read include the move if it was executed: nothing depends on whether
  // it was.
  if (!move.award) return finish_resolved(move, shares, false);
  state_.store.get(move.award->key,
                   [this, move, shares](const StoreResponse& award) { on_award_read(move, shares, award); });
}

void QuotaTransfer::on_award_read(const QuotaMove& move, const QuotaLedger::Shares& shares,
                                  const StoreResponse& response) {
  switch (response.outcome) {
    case Outcome::ok:
      return finish_resolved(move, shares, true);
    case Outcome::absent:
      return finish_resolved(move, shares, false);
    case Outcome::conflict:
    case Outcome::refused:
    case Outcome::unknown:
      return resolve_later(move);
  }
}

void QuotaTransfer::finish_resolved(const QuotaMove& move, const QuotaLedger::Shares& shares, bool applied) {
  Shard* shard = state_.shard_in_term(move.from, move.leadership_term);
  if (shard == nullptr) return;
  finish(*shard, move, applied);
  shard->quota.load(shares, shard->quota.revision());
  shard->changed();
  shard->quota.mark_stale();
}

// ---- requests of peers ---------------------------------------------------------------------------

void QuotaTransfer::on_request(const QuotaTransferRequest& request) {
  Shard* shard = state_.ready_shard(request.from);
  if (shard == nullptr || request.to == request.from || !state_.routes.contains(request.to)) return;
  if (!shard->quota.is_current() || !shard->quota.has_share_of(request.team)) return;
  const Quota spare = at_least_zero(quota_to_spare(*shard, request));
  const Quota wanted = at_least_zero(request.want);
  const Quota amount{std::min(spare.cpu, wanted.cpu), std::min(spare.gpu, wanted.gpu)};
  if (amount == Quota{}) return;
  start(*shard, request.to, request.team, amount, std::nullopt);
}

Quota QuotaTransfer::quota_to_spare(const Shard& shard, const QuotaTransferRequest& request) {
  const Quota unused = shard.quota.free(request.team);
  Quota spare = unused;
  for (const auto& [id, job] : shard.jobs) {
    if (job.spec.team != request.team || job.ended || job.waiting.empty()) continue;
    // A job that no machine can be had for does not keep share that others can use.
    if (job.no_offering) continue;
    // Nor does a job for which the unused share is too small, if the peer's job has waited for longer:
    // otherwise two shards could each keep a share that is too small for either, and neither job would start.
    const Quota each = quota_of(job.spec.each);
    if (request.waits_since < job.accepted && unused.holds(each) == 0) continue;
    const auto reserved = job.suspect() ? 1 : static_cast<std::int64_t>(job.waiting.size());
    spare -= each * reserved;
  }
  return spare;
}

void QuotaTransfer::refresh_allocation(Shard& shard) {
  if (!shard.quota.needs_read()) return;
  shard.quota.begin_read();
  state_.store.get(
      records::quota_key(shard.name),
      [this, name = shard.name, leadership_term = shard.leadership_term](const StoreResponse& response) {
        Shard* read_shard = state_.shard_in_term(name, leadership_term);
        if (read_shard == nullptr) return;
        read_shard->quota.finish_read();
        const auto allocation = allocation_in(response);
        if (!allocation || response.entries.front().revision < read_shard->quota.revision()) return;
        read_shard->quota.load(allocation->quota_shares, response.entries.front().revision);
        read_shard->changed();
      });
}

}  // namespace bendtide
