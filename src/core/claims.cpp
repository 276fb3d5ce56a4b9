#include "core/claims.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kReadEvery = seconds(1);
constexpr Micros kRewriteEvery = seconds(2);
constexpr Micros kUrgentEvery = millis(400);  ///< machines that came up meanwhile share a write
constexpr std::size_t kBlocksPerWrite = 4;

/// The number at the end of a name, which spreads machines evenly.
std::uint64_t trailing_number(const std::string& name) {
  std::size_t begin = name.size();
  while (begin > 0 && name.size() - begin < 18 && name[begin - 1] >= '0' && name[begin - 1] <= '9') --begin;
  return begin == name.size() ? name.size() : std::stoull(name.substr(begin));
}

records::ClaimedMachine record_of(const Machine& m) {
  return {m.name, m.type, m.zone, m.spot, m.address, m.rented};
}

/// The block that a key names, if it is one of the part.
std::optional<std::uint32_t> block_of(const std::string& key, const std::string& shard) {
  const auto pieces = records::split_key(key);
  if (pieces.size() != 3 || pieces[1] != shard) return std::nullopt;
  return static_cast<std::uint32_t>(std::strtoul(pieces[2].c_str(), nullptr, 10));
}

}  // namespace

std::string Claims::home_shard(const std::string& machine, const std::string& zone) const {
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

void Claims::want(Shard& shard, Machine machine) {
  if (shard_of_.contains(machine.name) || !wanted_names_.insert(machine.name).second) return;
  wanted_[shard.name].push_back(std::move(machine));
}

void Claims::came_up(Shard& shard, const Machine& machine) {
  if (auto it = shard.claim_blocks.find(machine.claim_block); it != shard.claim_blocks.end())
    it->second.urgent = true;
}

void Claims::forget(Shard& shard, const Machine& machine) {
  shard_of_.erase(machine.name);
  if (auto it = shard.claim_blocks.find(machine.claim_block); it != shard.claim_blocks.end())
    it->second.dirty = true;
}

void Claims::on_shard_lost(const std::string& shard) {
  for (const Machine& m : wanted_[shard]) wanted_names_.erase(m.name);
  wanted_.erase(shard);
}

void Claims::tick() {
  if (doubted_ && !reading_ && state_.now() >= next_reading_) relearn();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    if (!writing_ && !doubted_ && !reading_) write_new(shard);
    if (state_.now() >= next_urgent_) rewrite(shard, true);
    if (!writing_ && state_.now() >= next_rewrite_) rewrite(shard, false);
  }
}

// ---- reading ---------------------------------------------------------------------------------------

/// The homes' records come first in key order: they are at most older than the blocks read with them, and
/// then the next write fails.
void Claims::learn(const std::vector<KeyValue>& entries) {
  home_revisions_.clear();
  shard_of_.clear();
  for (const KeyValue& entry : entries) {
    const auto key = records::split_key(entry.key);
    if (key.size() != 3) continue;
    if (key[1] == records::kHomes) {
      home_revisions_[key[2]] = entry.revision;
      continue;
    }
    if (auto claims = records::claims(entry.value))
      for (const records::ClaimedMachine& c : *claims) shard_of_[c.name] = key[1];
  }
  // What was claimed or is gone since, or is not written yet.
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    const std::string& held = name;
    std::erase_if(shard_of_, [&](const auto& claim) { return claim.second == held; });
    for (const auto& [machine, m] : shard.machines) shard_of_[machine] = name;
  }
}

void Claims::add_block(Shard& shard, std::uint32_t number, const KeyValue& entry, bool settled) const {
  shard.claim_blocks[number].revision = entry.revision;
  auto claims = records::claims(entry.value);
  if (!claims) return;
  for (const records::ClaimedMachine& c : *claims) {
    Machine m = machine_of(c);
    m.claim_block = number;
    hooks_.claimed(shard, m, settled || !m.in_use);
  }
}

void Claims::load(Shard& shard, const std::vector<KeyValue>& entries) {
  learn(entries);
  for (const KeyValue& entry : entries)
    if (auto number = block_of(entry.key, shard.name)) add_block(shard, *number, entry, false);
}

void Claims::relearn() {
  reading_ = true;
  doubted_ = false;
  next_reading_ = state_.now() + kReadEvery;
  state_.store.list(records::kClaimPrefix, [this](const StoreResponse& a) {
    reading_ = false;
    if (!a.ok()) {
      doubted_ = true;
      return;
    }
    // Blocks of ours that we don't know: a write of ours without answer was made after all.
    for (auto& [name, shard] : state_.shards) {
      if (!shard.ready()) continue;
      for (const KeyValue& entry : a.entries) {
        const auto number = block_of(entry.key, name);
        if (!number) continue;
        auto block = shard.claim_blocks.find(*number);
        if (block == shard.claim_blocks.end())
          add_block(shard, *number, entry, true);
        else if (std::exchange(block->second.outcome_unknown, false))
          block->second.revision = entry.revision;
      }
      // A block in doubt that is not there is no more: its removal was made.
      std::erase_if(shard.claim_blocks, [](const auto& b) { return b.second.outcome_unknown; });
    }
    learn(a.entries);
    for (auto& [shard, machines] : wanted_)
      std::erase_if(machines, [&](const Machine& m) {
        return shard_of_.contains(m.name) && wanted_names_.erase(m.name) > 0;
      });
    hooks_.learned();
  });
}

// ---- writing ---------------------------------------------------------------------------------------

void Claims::write_new(Shard& shard) {
  auto wanted = wanted_.find(shard.name);
  if (wanted == wanted_.end() || wanted->second.empty()) return;
  const Settings& s = state_.context.settings;
  std::vector<Machine> batch;
  std::vector<records::ClaimedMachine> value;
  std::set<std::string> homes;
  std::size_t bytes = 0;
  while (!wanted->second.empty()) {
    Machine& m = wanted->second.front();
    bytes += records::claim_bytes(record_of(m));
    homes.insert(home_shard(m.name, m.zone));
    if (!batch.empty() && bytes > s.store_value_bytes * 9 / 10) break;
    value.push_back(record_of(m));
    batch.push_back(std::move(m));
    wanted->second.pop_front();
  }
  const std::uint32_t block = shard.claim_blocks.empty() ? 0 : shard.claim_blocks.rbegin()->first + 1;
  Transaction transaction;
  transaction.compares = {state_.fenced_by(shard), {records::claim_key(shard.name, block), 0}};
  transaction.writes = {{records::claim_key(shard.name, block), records::to_json(value), 0}};
  for (const std::string& home : homes) {
    transaction.compares.push_back({records::home_key(home), home_revisions_[home]});
    transaction.writes.push_back({records::home_key(home), Value(shard.name), 0});
  }
  writing_ = true;
  state_.store.commit(std::move(transaction),
                      [this, name = shard.name, leadership_term = shard.leadership_term, block, homes,
                       batch = std::move(batch)](const StoreResponse& a) mutable {
                        writing_ = false;
                        on_written(name, leadership_term, block, std::move(batch), homes, a);
                      });
}

void Claims::on_written(const std::string& name, std::uint64_t leadership_term, std::uint32_t block,
                        std::vector<Machine> batch, const std::set<std::string>& homes,
                        const StoreResponse& a) {
  Shard* shard = state_.shard_in_term(name, leadership_term);
  if (a.ok()) {
    for (const std::string& home : homes) home_revisions_[home] = a.revision;
    for (Machine& m : batch) {
      wanted_names_.erase(m.name);
      shard_of_[m.name] = name;
      m.claim_block = block;
      // Nobody used these machines before they were claimed: nothing unknown can be on them.
      if (shard != nullptr) hooks_.claimed(*shard, m, true);
    }
    if (shard != nullptr) shard->claim_blocks[block].revision = a.revision;
    hooks_.learned();
    return;
  }
  if (a.outcome == Outcome::conflict) hooks_.invalidate_leases();
  // Somebody claimed meanwhile, or our own write was made without an answer: read, then try again.
  if (a.outcome != Outcome::refused) doubt();
  for (Machine& m : batch) {
    if (shard != nullptr)
      wanted_[name].push_back(std::move(m));
    else
      wanted_names_.erase(m.name);
  }
}

std::vector<records::ClaimedMachine> Claims::machines_of(const Shard& shard, std::uint32_t block) const {
  std::vector<records::ClaimedMachine> out;
  for (const auto& [name, m] : shard.machines)
    if (m.claim_block == block) out.push_back(record_of(m));
  return out;
}

/// Blocks whose machines came up, or are gone in part, are written anew, or removed.
void Claims::rewrite(Shard& shard, bool urgent_only) {
  struct Written {
    std::uint32_t block;
    bool removed;
    std::vector<std::string> up;  ///< machines whose address it names
  };
  Transaction transaction;
  transaction.compares = {state_.fenced_by(shard)};
  std::vector<Written> written;
  for (auto& [number, block] : shard.claim_blocks) {
    if (!(block.urgent || (block.dirty && !urgent_only)) || block.writing || block.outcome_unknown) continue;
    if (written.size() >= kBlocksPerWrite) break;
    const std::vector<records::ClaimedMachine> left = machines_of(shard, number);
    const std::string key = records::claim_key(shard.name, number);
    transaction.compares.push_back({key, block.revision});
    transaction.writes.push_back(
        {key, left.empty() ? std::nullopt : std::optional(records::to_json(left)), 0});
    Written& w = written.emplace_back(Written{number, left.empty(), {}});
    for (const records::ClaimedMachine& m : left)
      if (!m.address.empty()) w.up.push_back(m.name);
    block.dirty = block.urgent = false;
    block.writing = true;
  }
  if (written.empty()) return;
  (urgent_only ? next_urgent_ : next_rewrite_) = state_.now() + (urgent_only ? kUrgentEvery : kRewriteEvery);
  state_.store.commit(
      std::move(transaction),
      [this, name = shard.name, leadership_term = shard.leadership_term, written](const StoreResponse& a) {
        Shard* p = state_.shard_in_term(name, leadership_term);
        if (p == nullptr) return;
        for (const Written& w : written) {
          ClaimBlock& block = p->claim_blocks[w.block];
          block.writing = false;
          if (!a.ok()) {
            block.dirty = block.urgent = true;
            block.outcome_unknown = a.outcome != Outcome::refused;
            continue;
          }
          block.revision = a.revision;
          for (const std::string& machine : w.up)
            if (auto m = p->machines.find(machine); m != p->machines.end()) m->second.in_use = true;
          if (w.removed && !block.dirty && !block.urgent) p->claim_blocks.erase(w.block);
        }
        p->changed();
        if (!a.ok() && a.outcome != Outcome::refused) doubt();
      },
      urgent_only ? KeyValueClient::RequestPriority::normal : KeyValueClient::RequestPriority::low);
}

}  // namespace bendtide
