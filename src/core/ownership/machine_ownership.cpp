#include "core/ownership/machine_ownership.h"

namespace bendtide {

namespace {

constexpr std::size_t kMaxTrailingDigits = 18;  ///< any 18 digits fit in 64 bits

/// Returns the number at the end of a machine name, or the length of the name if there is none. Consecutive
/// numbers spread the machines evenly over the shards.
std::uint64_t trailing_number(const std::string& name) {
  std::size_t begin = name.size();
  while (begin > 0 && name.size() - begin < kMaxTrailingDigits && name[begin - 1] >= '0' &&
         name[begin - 1] <= '9')
    --begin;
  return begin == name.size() ? name.size() : std::stoull(name.substr(begin));
}

/// Returns the number of the block that a key identifies; none if it is not a block of the shard.
std::optional<std::uint32_t> block_of(const std::string& key, const std::string& shard) {
  const auto pieces = records::split_key(key);
  if (pieces.size() != 3 || pieces[1] != shard) return std::nullopt;
  return static_cast<std::uint32_t>(std::strtoul(pieces[2].c_str(), nullptr, 10));
}

}  // namespace

std::string MachineOwnership::home_shard(const std::string& machine, const std::string& zone) const {
  const Settings& settings = state_.context.settings;
  std::vector<std::string> in_zone;
  std::vector<std::string> all{settings.host};
  if (settings.zone == zone) in_zone.push_back(settings.host);
  for (const Peer& peer : settings.peers) {
    all.push_back(peer.host);
    if (peer.zone == zone) in_zone.push_back(peer.host);
  }
  std::vector<std::string>& candidates = in_zone.empty() ? all : in_zone;
  std::sort(candidates.begin(), candidates.end());
  return candidates[trailing_number(machine) % candidates.size()];
}

void MachineOwnership::request(Shard& shard, Machine machine) {
  if (shard_of_.contains(machine.name) || !requested_names_.insert(machine.name).second) return;
  requested_[shard.name].push_back(std::move(machine));
}

void MachineOwnership::on_machine_up(Shard& shard, const Machine& machine) {
  const auto block = shard.ownership_blocks.find(machine.ownership_block);
  if (block != shard.ownership_blocks.end()) block->second.request_rewrite(OwnershipBlock::Rewrite::soon);
}

void MachineOwnership::remove(Shard& shard, const Machine& machine) {
  shard_of_.erase(machine.name);
  const auto block = shard.ownership_blocks.find(machine.ownership_block);
  if (block != shard.ownership_blocks.end())
    block->second.request_rewrite(OwnershipBlock::Rewrite::eventually);
}

void MachineOwnership::on_shard_lost(const std::string& shard) {
  for (const Machine& machine : requested_[shard]) requested_names_.erase(machine.name);
  requested_.erase(shard);
}

void MachineOwnership::tick() {
  if (invalidated_ && !reloading_ && state_.now() >= next_reload_) reload();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    if (!writing_new_block_ && !invalidated_ && !reloading_) write_new_block(shard);
    if (state_.now() >= urgent_rewrites_.next) rewrite_blocks(shard, urgent_rewrites_);
    if (!writing_new_block_ && state_.now() >= all_rewrites_.next) rewrite_blocks(shard, all_rewrites_);
  }
}

// ---- reading ---------------------------------------------------------------------------------------

/// Replaces the known owners and home shard revisions. The records of home shards come first in key order.
/// They may therefore be older than the blocks listed with them, but never newer. If they are older, the next
/// write fails its compare.
void MachineOwnership::apply_records(const std::vector<KeyValue>& entries) {
  home_shard_revisions_.clear();
  shard_of_.clear();
  for (const KeyValue& entry : entries) {
    const auto key = records::split_key(entry.key);
    if (key.size() != 3) continue;
    if (key[1] == records::kHomeShardSegment) {
      home_shard_revisions_[key[2]] = entry.revision;
      continue;
    }
    if (auto owned_machines = records::read_owned_machines(entry.value))
      for (const records::OwnedMachine& owned : *owned_machines) shard_of_[owned.name] = key[1];
  }
  // The state of the shards led here is newer than their records: machines may have been added or removed
  // since the read, or may not be written yet.
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    const std::string& led_here = name;
    std::erase_if(shard_of_, [&](const auto& entry) { return entry.second == led_here; });
    for (const auto& [machine_name, machine] : shard.machines) shard_of_[machine_name] = name;
  }
}

void MachineOwnership::add_block(Shard& shard, std::uint32_t number, const KeyValue& entry,
                                 bool reconciled) const {
  shard.ownership_blocks[number].revision = entry.revision;
  auto owned_machines = records::read_owned_machines(entry.value);
  if (!owned_machines) return;
  for (const records::OwnedMachine& owned : *owned_machines) {
    Machine machine = machine_from(owned);
    machine.ownership_block = number;
    hooks_.on_owned(shard, machine, reconciled || !machine.in_use);
  }
}

void MachineOwnership::load(Shard& shard, const std::vector<KeyValue>& entries) {
  apply_records(entries);
  for (const KeyValue& entry : entries)
    if (auto number = block_of(entry.key, shard.name)) add_block(shard, *number, entry, false);
}

void MachineOwnership::reload() {
  reloading_ = true;
  invalidated_ = false;
  next_reload_ = state_.now() + kReloadInterval;
  state_.store.list(records::kOwnershipPrefix,
                    [this](const StoreResponse& response) { on_reloaded(response); });
}

void MachineOwnership::on_reloaded(const StoreResponse& response) {
  reloading_ = false;
  if (!response.ok()) {
    invalidated_ = true;
    return;
  }
  for (auto& [name, shard] : state_.shards)
    if (shard.ready()) resolve_unknown_writes(shard, response.entries);
  apply_records(response.entries);
  drop_satisfied_requests();
  hooks_.on_reloaded();
}

/// Resolves the writes of this process whose outcome is unknown. The blocks in the store show whether they
/// were applied.
void MachineOwnership::resolve_unknown_writes(Shard& shard, const std::vector<KeyValue>& entries) const {
  for (const KeyValue& entry : entries) {
    const auto number = block_of(entry.key, shard.name);
    if (!number) continue;
    const auto block = shard.ownership_blocks.find(*number);
    if (block == shard.ownership_blocks.end())
      add_block(shard, *number, entry, true);
    else if (std::exchange(block->second.outcome_unknown, false))
      block->second.revision = entry.revision;
  }
  // A block whose outcome is still unknown is not in the store: its removal was applied.
  std::erase_if(shard.ownership_blocks, [](const auto& block) { return block.second.outcome_unknown; });
}

/// Drops the requests for machines that are now known to be owned.
void MachineOwnership::drop_satisfied_requests() {
  for (auto& [shard, machines] : requested_)
    std::erase_if(machines, [&](const Machine& machine) {
      return shard_of_.contains(machine.name) && requested_names_.erase(machine.name) > 0;
    });
}

}  // namespace bendtide
