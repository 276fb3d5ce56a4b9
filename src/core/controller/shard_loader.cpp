#include "core/controller/shard_loader.h"

#include <memory>

namespace bendtide {

namespace {

constexpr Micros kRetryDelay = millis(300);

}  // namespace

ShardLoader::ShardLoader(ControllerState& state, Fleet& fleet, ContractNet& contract_net, Jobs& jobs,
                         std::function<void(Shard&)> on_ready)
    : state_(state),
      fleet_(fleet),
      contract_net_(contract_net),
      jobs_(jobs),
      on_ready_(std::move(on_ready)) {}

void ShardLoader::load(const Shard& shard) { read_records({shard.name, shard.leadership_term}); }

void ShardLoader::retry(const Load& load, Step step) {
  state_.context.run_after(kRetryDelay, [this, load, step] {
    if (shard_of(load) != nullptr) (this->*step)(load);
  });
}

// ---- jobs, machines, awards and finished tasks ---------------------------------------------------

void ShardLoader::read_records(const Load& load) {
  const auto reads = std::make_shared<RecordReads>();
  reads->requested_at = state_.now();
  reads->in_flight = 4;
  read_record_list(load, reads, records::kLivePrefix, &RecordReads::live_jobs);
  read_record_list(load, reads, records::kOwnershipPrefix, &RecordReads::owned_machines);
  read_record_list(load, reads, records::kAwardPrefix, &RecordReads::awards);
  read_record_list(load, reads, records::kDonePrefix, &RecordReads::done_tasks);
}

void ShardLoader::read_record_list(const Load& load, const std::shared_ptr<RecordReads>& reads,
                                   const std::string& prefix, std::vector<KeyValue> RecordReads::*entries) {
  state_.store.list(prefix, [this, load, reads, entries](const StoreResponse& response) {
    if (response.ok())
      (*reads).*entries = response.entries;
    else
      reads->failed = true;
    if (--reads->in_flight == 0) on_records_read(load, *reads);
  });
}

void ShardLoader::on_records_read(const Load& load, const RecordReads& reads) {
  Shard* shard = shard_of(load);
  if (shard == nullptr) return;
  if (reads.failed || state_.catalogue.empty()) return retry(load, &ShardLoader::read_records);
  fleet_.ownership().load(*shard, reads.owned_machines);
  load_jobs(*shard, reads);
  contract_net_.load_awards(*shard, reads.awards, reads.requested_at);
  ContractNet::load_progress(*shard, reads.done_tasks);
  fleet_.restore_unreachable_machines(*shard);
  shard->award_freshness.confirm(shard->acquired_at, state_.context.settings.lease_term());
  read_quota_allocation(load);
}

void ShardLoader::load_jobs(Shard& shard, const RecordReads& reads) {
  for (const KeyValue& entry : reads.live_jobs) {
    const auto record = records::read_live_job(entry.value);
    if (!record) continue;
    jobs_.remember_shard(*record);
    if (record->shard != shard.name) continue;
    if (!state_.may_act_on(shard, record->spec.id, reads.requested_at)) continue;
    // An earlier leader may have started any task of the job on any machine.
    Jobs::load(shard, *record).may_be_on_unreconciled_machines = true;
  }
  shard.has_unreconciled_jobs = true;
}

// ---- quota allocation ----------------------------------------------------------------------------

void ShardLoader::read_quota_allocation(const Load& load) {
  state_.store.get(records::quota_key(load.shard),
                   [this, load](const StoreResponse& response) { on_quota_allocation_read(load, response); });
}

void ShardLoader::on_quota_allocation_read(const Load& load, const StoreResponse& response) {
  Shard* shard = shard_of(load);
  if (shard == nullptr) return;
  if (response.outcome == StoreResponse::Outcome::absent) return create_quota_allocation(load, *shard);
  const auto allocation = records::read_first(response, records::read_quota_allocation);
  if (!allocation) return retry(load, &ShardLoader::read_quota_allocation);
  shard->quota.load(allocation->quota_shares, response.entries.front().revision);
  become_ready(*shard);
}

void ShardLoader::create_quota_allocation(const Load& load, const Shard& shard) {
  const auto shards = static_cast<std::int64_t>(state_.context.settings.controllers());
  const bool is_first = load.shard == state_.routes.begin()->first;
  const auto share = [&](std::int64_t limit) { return limit / shards + (is_first ? limit % shards : 0); };
  records::QuotaAllocation allocation;
  for (const Team& team : state_.context.settings.teams)
    allocation.quota_shares[team.name] = {share(team.limit.cpu), share(team.limit.gpu)};
  const std::string key = records::quota_key(load.shard);
  Transaction transaction;
  transaction.compares = {{key, 0}};
  transaction.writes = {{key, records::to_json(allocation), 0}};
  state_.commit_fenced(shard, std::move(transaction), [this, load](const StoreResponse& response) {
    on_quota_allocation_created(load, response);
  });
}

void ShardLoader::on_quota_allocation_created(const Load& load, const StoreResponse& response) {
  if (shard_of(load) == nullptr) return;
  if (!response.ok()) return retry(load, &ShardLoader::read_quota_allocation);
  read_quota_allocation(load);
}

void ShardLoader::become_ready(Shard& shard) {
  shard.stage = Shard::Stage::ready;
  state_.context.info(LogMessage("shard ready")
                          .shard(shard.name)
                          .token(shard.fencing_token)
                          .detail("jobs", shard.jobs.size())
                          .detail("machines", shard.machines.size()));
  on_ready_(shard);
}

}  // namespace bendtide
