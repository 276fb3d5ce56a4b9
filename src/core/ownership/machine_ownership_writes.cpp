// Writes ownership records: new blocks and rewrites of existing blocks.
#include "core/ownership/machine_ownership.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr std::size_t kBlocksPerWrite = 4;

records::OwnedMachine record_of(const Machine& machine) {
  return {machine.name, machine.type, machine.zone, machine.spot, machine.address, machine.created_at};
}

}  // namespace

// ---- new blocks ------------------------------------------------------------------------------------

void MachineOwnership::write_new_block(Shard& shard) {
  const auto requested = requested_.find(shard.name);
  if (requested == requested_.end() || requested->second.empty()) return;
  NewBlock block = take_requested(shard, requested->second);
  std::vector<records::OwnedMachine> value;
  for (const Machine& machine : block.machines) value.push_back(record_of(machine));
  const std::string key = records::ownership_key(shard.name, block.number);
  Transaction transaction;
  transaction.compares = {{key, 0}};
  transaction.writes = {{key, records::to_json(value), 0}};
  for (const std::string& home : block.homes) {
    transaction.compares.push_back({records::home_shard_key(home), home_shard_revisions_[home]});
    transaction.writes.push_back({records::home_shard_key(home), Value(shard.name), 0});
  }
  writing_new_block_ = true;
  state_.commit_fenced(shard, std::move(transaction),
                       [this, block = std::move(block)](const StoreResponse& response) {
                         on_new_block_written(block, response);
                       });
}

/// Removes from the requests as many machines as fit in one record, and returns them as a new block.
MachineOwnership::NewBlock MachineOwnership::take_requested(const Shard& shard,
                                                            std::deque<Machine>& requested) const {
  NewBlock block{shard.name, shard.leadership_term, 0, {}, {}};
  if (!shard.ownership_blocks.empty()) block.number = shard.ownership_blocks.rbegin()->first + 1;
  const std::size_t limit = state_.context.settings.store_value_bytes * 9 / 10;
  std::size_t bytes = 0;
  while (!requested.empty()) {
    Machine& machine = requested.front();
    bytes += records::max_owned_machine_bytes(record_of(machine));
    block.homes.insert(home_shard(machine.name, machine.zone));
    if (!block.machines.empty() && bytes > limit) break;
    block.machines.push_back(std::move(machine));
    requested.pop_front();
  }
  return block;
}

void MachineOwnership::on_new_block_written(const NewBlock& block, const StoreResponse& response) {
  writing_new_block_ = false;
  if (!response.ok()) return on_new_block_failed(block, response);
  Shard* shard = state_.shard_in_term(block.shard, block.leadership_term);
  for (const std::string& home : block.homes) home_shard_revisions_[home] = response.revision;
  for (Machine machine : block.machines) {
    requested_names_.erase(machine.name);
    shard_of_[machine.name] = block.shard;
    machine.ownership_block = block.number;
    // A machine is not used before it is owned, so no unknown task can be on it.
    if (shard != nullptr) hooks_.on_owned(*shard, machine, true);
  }
  if (shard != nullptr) shard->ownership_blocks[block.number].revision = response.revision;
  hooks_.on_reloaded();
}

/// Requests the machines again if this controller has led their shard without interruption.
void MachineOwnership::on_new_block_failed(const NewBlock& block, const StoreResponse& response) {
  const bool still_led = state_.shard_in_term(block.shard, block.leadership_term) != nullptr;
  if (response.outcome == Outcome::conflict) hooks_.invalidate_leases();
  // Another shard wrote in the meantime, or the outcome of this write is unknown: the records must be read
  // again before the next attempt.
  if (response.outcome != Outcome::refused) invalidate();
  for (const Machine& machine : block.machines) {
    if (still_led)
      requested_[block.shard].push_back(machine);
    else
      requested_names_.erase(machine.name);
  }
}

// ---- rewrites of blocks ---------------------------------------------------------------------------

std::vector<records::OwnedMachine> MachineOwnership::machines_of(const Shard& shard, std::uint32_t block) {
  std::vector<records::OwnedMachine> owned;
  for (const auto& [name, machine] : shard.machines)
    if (machine.ownership_block == block) owned.push_back(record_of(machine));
  return owned;
}

/// Rewrites up to kBlocksPerWrite blocks in one transaction. Removes blocks that have no machine left.
void MachineOwnership::rewrite_blocks(Shard& shard, RewriteSchedule& schedule) {
  Transaction transaction;
  BlockRewrite rewrite{shard.name, shard.leadership_term, {}};
  for (auto& [number, block] : shard.ownership_blocks) {
    if (!block.may_be_rewritten(schedule.least_urgency)) continue;
    if (rewrite.blocks.size() >= kBlocksPerWrite) break;
    const std::vector<records::OwnedMachine> left = machines_of(shard, number);
    const std::string key = records::ownership_key(shard.name, number);
    transaction.compares.push_back({key, block.revision});
    transaction.writes.push_back(
        {key, left.empty() ? std::nullopt : std::optional(records::to_json(left)), 0});
    BlockRewrite::Block& written = rewrite.blocks.emplace_back();
    written.number = number;
    written.removed = left.empty();
    for (const records::OwnedMachine& machine : left)
      if (!machine.address.empty()) written.addressable.push_back(machine.name);
    block.rewrite = OwnershipBlock::Rewrite::none;
    block.writing = true;
  }
  if (rewrite.blocks.empty()) return;
  schedule.next = state_.now() + schedule.interval;
  state_.commit_fenced(
      shard, std::move(transaction),
      [this, rewrite = std::move(rewrite)](const StoreResponse& response) {
        on_blocks_rewritten(rewrite, response);
      },
      schedule.priority);
}

void MachineOwnership::on_blocks_rewritten(const BlockRewrite& rewrite, const StoreResponse& response) {
  Shard* shard = state_.shard_in_term(rewrite.shard, rewrite.leadership_term);
  if (shard == nullptr) return;
  const bool outcome_unknown = !response.ok() && response.outcome != Outcome::refused;
  for (const BlockRewrite::Block& written : rewrite.blocks) {
    if (response.ok()) {
      on_block_rewritten(*shard, written, response.revision);
      continue;
    }
    OwnershipBlock& block = shard->ownership_blocks[written.number];
    block.writing = false;
    block.outcome_unknown = outcome_unknown;
    block.request_rewrite(OwnershipBlock::Rewrite::soon);
  }
  shard->request_scheduling_pass();
  if (outcome_unknown) invalidate();
}

void MachineOwnership::on_block_rewritten(Shard& shard, const BlockRewrite::Block& written,
                                          Revision revision) {
  OwnershipBlock& block = shard.ownership_blocks[written.number];
  block.writing = false;
  block.revision = revision;
  for (const std::string& name : written.addressable)
    if (const auto machine = shard.machines.find(name); machine != shard.machines.end())
      machine->second.in_use = true;
  if (written.removed && block.rewrite == OwnershipBlock::Rewrite::none)
    shard.ownership_blocks.erase(written.number);
}

}  // namespace bendtide
