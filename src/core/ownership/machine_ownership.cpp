#include "core/ownership/machine_ownership.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kReloadInterval = seconds(1);
constexpr Micros kRewriteInterval = seconds(2);
constexpr Micros kUrgentRewriteInterval = millis(400);  ///< machines that came up meanwhile share a write
constexpr std::size_t kBlocksPerWrite = 4;

/// The number at the end of a name, which spreads machines evenly.
std::uint64_t trailing_number(const std::string& name) {
  std::size_t begin = name.size();
  while (begin > 0 && name.size() - begin < 18 && name[begin - 1] >= '0' && name[begin - 1] <= '9') --begin;
  return begin == name.size() ? name.size() : std::stoull(name.substr(begin));
}

records::OwnedMachine record_of(const Machine& m) {
  return {m.name, m.type, m.zone, m.spot, m.address, m.rented_at};
}

/// The block that a key names, if it is one of the shard.
std::optional<std::uint32_t> block_of(const std::string& key, const std::string& shard) {
  const auto pieces = records::split_key(key);
  if (pieces.size() != 3 || pieces[1] != shard) return std::nullopt;
  return static_cast<std::uint32_t>(std::strtoul(pieces[2].c_str(), nullptr, 10));
}

}  // namespace

std::string MachineOwnership::home_shard(const std::string& machine, const std::string& zone) const {
  const Settings& s = state_.context.settings;
  std::vector<std::string> near, all{s.host};
  if (s.zone == zone) near.push_back(s.host);
  for (const Peer& peer : s.peers) {
    all.push_back(peer.host);
    if (peer.zone == zone) near.push_back(peer.host);
  }
  std::vector<std::string>& choice = near.empty() ? all : near;
  std::sort(choice.begin(), choice.end());
  return choice[trailing_number(machine) % choice.size()];
}

void MachineOwnership::request(Shard& shard, Machine machine) {
  if (shard_of_.contains(machine.name) || !requested_names_.insert(machine.name).second) return;
  requested_[shard.name].push_back(std::move(machine));
}

void MachineOwnership::on_machine_up(Shard& shard, const Machine& machine) {
  if (auto it = shard.ownership_blocks.find(machine.ownership_block); it != shard.ownership_blocks.end())
    it->second.urgent = true;
}

void MachineOwnership::remove(Shard& shard, const Machine& machine) {
  shard_of_.erase(machine.name);
  if (auto it = shard.ownership_blocks.find(machine.ownership_block); it != shard.ownership_blocks.end())
    it->second.dirty = true;
}

void MachineOwnership::on_shard_lost(const std::string& shard) {
  for (const Machine& m : requested_[shard]) requested_names_.erase(m.name);
  requested_.erase(shard);
}

void MachineOwnership::tick() {
  if (invalidated_ && !reloading_ && state_.now() >= next_reload_) reload();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    if (!writing_ && !invalidated_ && !reloading_) write_new(shard);
    if (state_.now() >= next_urgent_) rewrite(shard, true);
    if (!writing_ && state_.now() >= next_rewrite_) rewrite(shard, false);
  }
}

// ---- reading ---------------------------------------------------------------------------------------

/// The homes' records come first in key order: they are at most older than the blocks read with them, and
/// then the next write fails.
void MachineOwnership::apply_records(const std::vector<KeyValue>& entries) {
  home_shard_revisions_.clear();
  shard_of_.clear();
  for (const KeyValue& entry : entries) {
    const auto key = records::split_key(entry.key);
    if (key.size() != 3) continue;
    if (key[1] == records::kHomeShards) {
      home_shard_revisions_[key[2]] = entry.revision;
      continue;
    }
    if (auto owned_machines = records::owned_machines(entry.value))
      for (const records::OwnedMachine& c : *owned_machines) shard_of_[c.name] = key[1];
  }
  // What was claimed or is gone since, or is not written yet.
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    const std::string& held = name;
    std::erase_if(shard_of_, [&](const auto& owned_machine) { return owned_machine.second == held; });
    for (const auto& [machine, m] : shard.machines) shard_of_[machine] = name;
  }
}

void MachineOwnership::add_block(Shard& shard, std::uint32_t number, const KeyValue& entry,
                                 bool reconciled) const {
  shard.ownership_blocks[number].revision = entry.revision;
  auto owned_machines = records::owned_machines(entry.value);
  if (!owned_machines) return;
  for (const records::OwnedMachine& c : *owned_machines) {
    Machine m = machine_from(c);
    m.ownership_block = number;
    hooks_.on_owned(shard, m, reconciled || !m.in_use);
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
  state_.store.list(records::kOwnershipPrefix, [this](const StoreResponse& a) {
    reloading_ = false;
    if (!a.ok()) {
      invalidated_ = true;
      return;
    }
    // Blocks of ours that we don't know: a write of ours without answer was made after all.
    for (auto& [name, shard] : state_.shards) {
      if (!shard.ready()) continue;
      for (const KeyValue& entry : a.entries) {
        const auto number = block_of(entry.key, name);
        if (!number) continue;
        auto block = shard.ownership_blocks.find(*number);
        if (block == shard.ownership_blocks.end())
          add_block(shard, *number, entry, true);
        else if (std::exchange(block->second.outcome_unknown, false))
          block->second.revision = entry.revision;
      }
      // A block in doubt that is not there is no more: its removal was made.
      std::erase_if(shard.ownership_blocks, [](const auto& b) { return b.second.outcome_unknown; });
    }
    apply_records(a.entries);
    for (auto& [shard, machines] : requested_)
      std::erase_if(machines, [&](const Machine& m) {
        return shard_of_.contains(m.name) && requested_names_.erase(m.name) > 0;
      });
    hooks_.on_reloaded();
  });
}

// ---- writing ---------------------------------------------------------------------------------------

void MachineOwnership::write_new(Shard& shard) {
  auto requested = requested_.find(shard.name);
  if (requested == requested_.end() || requested->second.empty()) return;
  const Settings& s = state_.context.settings;
  std::vector<Machine> batch;
  std::vector<records::OwnedMachine> value;
  std::set<std::string> homes;
  std::size_t bytes = 0;
  while (!requested->second.empty()) {
    Machine& m = requested->second.front();
    bytes += records::owned_machine_bytes(record_of(m));
    homes.insert(home_shard(m.name, m.zone));
    if (!batch.empty() && bytes > s.store_value_bytes * 9 / 10) break;
    value.push_back(record_of(m));
    batch.push_back(std::move(m));
    requested->second.pop_front();
  }
  const std::uint32_t block = shard.ownership_blocks.empty() ? 0 : shard.ownership_blocks.rbegin()->first + 1;
  Transaction transaction;
  transaction.compares = {state_.fenced_by(shard), {records::ownership_key(shard.name, block), 0}};
  transaction.writes = {{records::ownership_key(shard.name, block), records::to_json(value), 0}};
  for (const std::string& home : homes) {
    transaction.compares.push_back({records::home_shard_key(home), home_shard_revisions_[home]});
    transaction.writes.push_back({records::home_shard_key(home), Value(shard.name), 0});
  }
  writing_ = true;
  state_.store.commit(std::move(transaction),
                      [this, name = shard.name, leadership_term = shard.leadership_term, block, homes,
                       batch = std::move(batch)](const StoreResponse& a) mutable {
                        writing_ = false;
                        on_written(name, leadership_term, block, std::move(batch), homes, a);
                      });
}

void MachineOwnership::on_written(const std::string& name, std::uint64_t leadership_term, std::uint32_t block,
                                  std::vector<Machine> batch, const std::set<std::string>& homes,
                                  const StoreResponse& a) {
  Shard* shard = state_.shard_in_term(name, leadership_term);
  if (a.ok()) {
    for (const std::string& home : homes) home_shard_revisions_[home] = a.revision;
    for (Machine& m : batch) {
      requested_names_.erase(m.name);
      shard_of_[m.name] = name;
      m.ownership_block = block;
      // Nobody used these machines before they were claimed: nothing unknown can be on them.
      if (shard != nullptr) hooks_.on_owned(*shard, m, true);
    }
    if (shard != nullptr) shard->ownership_blocks[block].revision = a.revision;
    hooks_.on_reloaded();
    return;
  }
  if (a.outcome == Outcome::conflict) hooks_.invalidate_leases();
  // Somebody claimed meanwhile, or our own write was made without an answer: read, then try again.
  if (a.outcome != Outcome::refused) invalidate();
  for (Machine& m : batch) {
    if (shard != nullptr)
      requested_[name].push_back(std::move(m));
    else
      requested_names_.erase(m.name);
  }
}

std::vector<records::OwnedMachine> MachineOwnership::machines_of(const Shard& shard,
                                                                 std::uint32_t block) const {
  std::vector<records::OwnedMachine> out;
  for (const auto& [name, m] : shard.machines)
    if (m.ownership_block == block) out.push_back(record_of(m));
  return out;
}

/// Blocks whose machines came up, or are gone in part, are written anew, or removed.
void MachineOwnership::rewrite(Shard& shard, bool urgent_only) {
  struct Written {
    std::uint32_t block;
    bool removed;
    std::vector<std::string> up;  ///< machines whose address it names
  };
  Transaction transaction;
  transaction.compares = {state_.fenced_by(shard)};
  std::vector<Written> written;
  for (auto& [number, block] : shard.ownership_blocks) {
    if (!(block.urgent || (block.dirty && !urgent_only)) || block.writing || block.outcome_unknown) continue;
    if (written.size() >= kBlocksPerWrite) break;
    const std::vector<records::OwnedMachine> left = machines_of(shard, number);
    const std::string key = records::ownership_key(shard.name, number);
    transaction.compares.push_back({key, block.revision});
    transaction.writes.push_back(
        {key, left.empty() ? std::nullopt : std::optional(records::to_json(left)), 0});
    Written& w = written.emplace_back(Written{number, left.empty(), {}});
    for (const records::OwnedMachine& m : left)
      if (!m.address.empty()) w.up.push_back(m.name);
    block.dirty = block.urgent = false;
    block.writing = true;
  }
  if (written.empty()) return;
  (urgent_only ? next_urgent_ : next_rewrite_) =
      state_.now() + (urgent_only ? kUrgentRewriteInterval : kRewriteInterval);
  state_.store.commit(
      std::move(transaction),
      [this, name = shard.name, leadership_term = shard.leadership_term, written](const StoreResponse& a) {
        Shard* p = state_.shard_in_term(name, leadership_term);
        if (p == nullptr) return;
        for (const Written& w : written) {
          OwnershipBlock& block = p->ownership_blocks[w.block];
          block.writing = false;
          if (!a.ok()) {
            block.dirty = block.urgent = true;
            block.outcome_unknown = a.outcome != Outcome::refused;
            continue;
          }
          block.revision = a.revision;
          for (const std::string& machine : w.up)
            if (auto m = p->machines.find(machine); m != p->machines.end()) m->second.in_use = true;
          if (w.removed && !block.dirty && !block.urgent) p->ownership_blocks.erase(w.block);
        }
        p->changed();
        if (!a.ok() && a.outcome != Outcome::refused) invalidate();
      },
      urgent_only ? RequestPriority::normal : RequestPriority::low);
}

}  // namespace bendtide
