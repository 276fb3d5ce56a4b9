#include "core/negotiation/quota_transfer.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kResolveRetryDelay = millis(300);
/// How long a share that is too small for a job is kept for it while the shard requests the rest from others.
constexpr Micros kMaxReservation = seconds(30);

/// Returns the allocation in the first entry of a response, or none if there is no entry or it can't be
/// parsed.
std::optional<records::QuotaAllocation> allocation_in(const StoreResponse& response) {
  if (!response.ok() || response.entries.empty()) return std::nullopt;
  return records::read_quota_allocation(response.entries.front().value);
}

}  // namespace

QuotaTransfer::QuotaTransfer(ControllerState& state, NegotiationCounters& counters,
                             std::function<void()> invalidate_leases)
    : state_(state), counters_(counters), invalidate_leases_(std::move(invalidate_leases)) {}

// ---- transfers -----------------------------------------------------------------------------------

void QuotaTransfer::start(Shard& shard, const std::string& to, const std::string& team, Quota amount,
                          std::optional<AwardedTasks> award) {
  shard.quota.begin_transfer(team, amount);
  const PendingTransfer transfer{shard.name, shard.leadership_term, to, team, amount, std::move(award)};
  state_.store.get(records::quota_key(to),
                   [this, transfer](const StoreResponse& response) { on_receiver_read(transfer, response); });
}

void QuotaTransfer::on_receiver_read(const PendingTransfer& transfer, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(transfer.from, transfer.leadership_term);
  if (shard == nullptr) return;
  const auto receiver = allocation_in(response);
  // A proposal is valid for one revision of the allocation record. At any other revision, the capacity that
  // it offers may already be used by another award.
  const bool proposal_expired = receiver && transfer.award && transfer.award->proposed_revision != 0 &&
                                response.entries.front().revision != transfer.award->proposed_revision;
  if (!receiver || proposal_expired) {
    ++counters_.conflicts;
    // The receiver's leader may not know of the other award if its notice was lost.
    if (receiver) state_.send_to_leader_of(transfer.to, AwardNotice{transfer.to});
    return finish(*shard, transfer, false);
  }
  commit(*shard, transfer, receiver->quota_shares, response.entries.front().revision);
}

void QuotaTransfer::commit(Shard& shard, const PendingTransfer& transfer,
                           const QuotaLedger::Shares& receiver_shares, Revision receiver_revision) {
  records::QuotaAllocation sender_allocation{shard.quota.shares()};
  sender_allocation.quota_shares[transfer.team] -= transfer.amount;
  records::QuotaAllocation receiver_allocation{receiver_shares};
  receiver_allocation.quota_shares[transfer.team] += transfer.amount;
  const std::string sender_key = records::quota_key(transfer.from);
  const std::string receiver_key = records::quota_key(transfer.to);
  Transaction transaction;
  transaction.compares = {{sender_key, shard.quota.revision()}, {receiver_key, receiver_revision}};
  transaction.writes = {{sender_key, records::to_json(sender_allocation), 0},
                        {receiver_key, records::to_json(receiver_allocation), 0}};
  if (transfer.award) {
    // The tasks of a job that has ended must not be awarded, even if this leader has not learned of the end.
    transaction.compares.push_back({records::final_job_key(transfer.award->job), 0});
    transaction.compares.push_back({transfer.award->key, 0});
    transaction.writes.push_back({transfer.award->key, records::to_json(transfer.award->record), 0});
    if (transfer.award->replaced) {
      // The winner may have returned tasks of the award to be replaced.
      transaction.compares.push_back(*transfer.award->replaced);
      transaction.writes.push_back({transfer.award->replaced->key, std::nullopt, 0});
    }
  }
  state_.commit_fenced(shard, std::move(transaction),
                       [this, transfer](const StoreResponse& response) { on_committed(transfer, response); });
}

void QuotaTransfer::on_committed(const PendingTransfer& transfer, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(transfer.from, transfer.leadership_term);
  if (shard == nullptr) return;
  switch (response.outcome) {
    case Outcome::ok:
      shard->quota.set_revision(response.revision);
      return finish(*shard, transfer, true, response.revision);
    case Outcome::unknown:
      return resolve(*shard, transfer);
    case Outcome::conflict:
      ++counters_.conflicts;
      shard->quota.mark_stale();
      shard->outgoing_award_read.bring_forward(state_.now());
      invalidate_leases_();
      return finish(*shard, transfer, false);
    case Outcome::absent:
    case Outcome::refused:
      return finish(*shard, transfer, false);
  }
}

void QuotaTransfer::finish(Shard& shard, const PendingTransfer& transfer, bool applied,
                           Revision award_revision) {
  if (applied)
    shard.quota.complete_transfer(transfer.team, transfer.amount);
  else
    shard.quota.cancel_transfer(transfer.team, transfer.amount);
  shard.request_scheduling_pass();
  if (transfer.award) {
    const auto job = shard.jobs.find(transfer.award->job);
    if (job != shard.jobs.end()) finish_award(job->second, transfer, applied, award_revision, state_.now());
  }
  if (!applied) return;
  if (transfer.award) {
    ++counters_.awards;
    state_.context.info(LogMessage("tasks awarded")
                            .shard(transfer.from)
                            .token(shard.fencing_token)
                            .job(transfer.award->job)
                            .detail("tasks", transfer.award->tasks.size())
                            .detail("winner", transfer.to));
  } else {
    ++counters_.quota_transfers;
  }
  state_.send_to_leader_of(transfer.to, AwardNotice{transfer.to});
}

void QuotaTransfer::finish_award(Job& job, const PendingTransfer& transfer, bool applied,
                                 Revision award_revision, Micros now) {
  const AwardedTasks& award = *transfer.award;
  job.tasks_in_award -= static_cast<std::uint32_t>(award.tasks.size());
  if (applied) {
    if (award.replaced) job.awards.erase(award.replaced->key);
    job.awards[award.key] = {transfer.to, award.record.ranges, award_revision, now};
    job.next_call_for_proposals_at = now;
    return;
  }
  if (award.replaced)
    if (const auto kept = job.awards.find(award.replaced->key); kept != job.awards.end())
      kept->second.known_since = now;
  for (const std::uint32_t index : award.tasks) job.set_waiting(index);
}

// ---- writes with an unknown outcome --------------------------------------------------------------

/// Finds out whether a write with an unknown outcome was executed. It may have been, or may still be. It
/// compares the revision of the sending shard's allocation record, so once that record has been rewritten,
/// the write either has been executed or never will be.
void QuotaTransfer::resolve(Shard& shard, const PendingTransfer& transfer) {
  state_.store.get(records::quota_key(shard.name), [this, transfer](const StoreResponse& response) {
    on_allocation_read(transfer, response);
  });
}

void QuotaTransfer::resolve_later(const PendingTransfer& transfer) {
  state_.context.run_after(kResolveRetryDelay, [this, transfer] {
    if (Shard* shard = state_.shard_in_term(transfer.from, transfer.leadership_term))
      resolve(*shard, transfer);
  });
}

void QuotaTransfer::on_allocation_read(const PendingTransfer& transfer, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(transfer.from, transfer.leadership_term);
  if (shard == nullptr) return;
  const auto allocation = allocation_in(response);
  if (!allocation) return resolve_later(transfer);
  const std::string key = records::quota_key(transfer.from);
  Transaction transaction;
  transaction.compares = {{key, response.entries.front().revision}};
  transaction.writes = {{key, records::to_json(*allocation), 0}};
  state_.commit_fenced(*shard, std::move(transaction),
                       [this, transfer, shares = allocation->quota_shares](const StoreResponse& rewritten) {
                         on_allocation_rewritten(transfer, shares, rewritten);
                       });
}

void QuotaTransfer::on_allocation_rewritten(const PendingTransfer& transfer,
                                            const QuotaLedger::Shares& shares,
                                            const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(transfer.from, transfer.leadership_term);
  if (shard == nullptr) return;
  if (!response.ok()) {
    invalidate_leases_();
    return resolve_later(transfer);
  }
  shard->quota.set_revision(response.revision);
  // The shares just read already reflect the transfer if it was executed, so a transfer without an award need
  // not know whether it was.
  if (!transfer.award) return finish_resolved(transfer, shares, false);
  state_.store.get(transfer.award->key, [this, transfer, shares](const StoreResponse& award) {
    on_award_read(transfer, shares, award);
  });
}

void QuotaTransfer::on_award_read(const PendingTransfer& transfer, const QuotaLedger::Shares& shares,
                                  const StoreResponse& response) {
  switch (response.outcome) {
    case Outcome::ok:
      return finish_resolved(transfer, shares, true, response.entries.front().revision);
    case Outcome::absent:
      return finish_resolved(transfer, shares, false);
    case Outcome::conflict:
    case Outcome::refused:
    case Outcome::unknown:
      return resolve_later(transfer);
  }
}

void QuotaTransfer::finish_resolved(const PendingTransfer& transfer, const QuotaLedger::Shares& shares,
                                    bool applied, Revision award_revision) {
  Shard* shard = state_.shard_in_term(transfer.from, transfer.leadership_term);
  if (shard == nullptr) return;
  finish(*shard, transfer, applied, award_revision);
  shard->quota.load(shares, shard->quota.revision());
  shard->request_scheduling_pass();
  shard->quota.mark_stale();
}

// ---- requests from peers -------------------------------------------------------------------------

void QuotaTransfer::on_request(const QuotaTransferRequest& request) {
  Shard* shard = state_.ready_shard(request.from);
  if (shard == nullptr || request.to == request.from || !state_.routes.contains(request.to)) return;
  if (!shard->quota.is_current() || !shard->quota.has_share_of(request.team)) return;
  const Quota spare = at_least_zero(transferable_quota(*shard, request, state_.now()));
  const Quota wanted = at_least_zero(request.max_amount);
  const Quota amount{std::min(spare.cpu, wanted.cpu), std::min(spare.gpu, wanted.gpu)};
  if (amount == Quota{}) return;
  start(*shard, request.to, request.team, amount, std::nullopt);
}

Quota QuotaTransfer::transferable_quota(const Shard& shard, const QuotaTransferRequest& request, Micros now) {
  const Quota unused = shard.quota.free(request.team);
  Quota spare = unused;
  for (const auto& [id, job] : shard.jobs) {
    if (job.spec.team != request.team || job.ended || job.waiting.empty()) continue;
    // No share is kept for a job that the cloud offers no machine for, as other shards can use it.
    if (job.no_offering) continue;
    // No share is kept for a job that the unused share is too small for, if the peer's job has waited longer,
    // or if this shard could not obtain the rest in time. Otherwise two shards could each keep a share too
    // small for their own job, and neither job would start.
    const Quota each = quota_of(job.spec.task_resources);
    const bool too_small = unused.count_that_fit(each) == 0;
    const bool rest_not_obtained =
        job.without_capacity_since != Micros{0} && now - job.without_capacity_since >= kMaxReservation;
    if (too_small && (request.job_accepted_at < job.accepted_at || rest_not_obtained)) continue;
    const auto reserved = job.is_suspect() ? 1 : static_cast<std::int64_t>(job.waiting.size());
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
        read_shard->request_scheduling_pass();
      });
}

}  // namespace bendtide
