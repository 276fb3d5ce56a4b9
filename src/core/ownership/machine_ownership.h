// Which shard each machine belongs to. A claim is written before the machine is put to any use, and a machine
// is never claimed twice.
//
// Claims are kept in blocks, several machines in one record. What keeps two shards from claiming one machine
// is the record of its home shard (home_shard): every claim of a machine rewrites it, on condition that
// nobody did since the claims were last read. So the claims of the machines of one home are made one after
// the other, each in the knowledge of all before it.
//
// A claim names the machine's address once the machine is up and about to be used. Nothing is started on a
// machine before that is written; so who takes a part over knows that nothing can be on the others (those
// still booting), and where the ones that were used can be reached at once.
#pragma once

#include <deque>

#include "core/state/controller_state.h"

namespace bendtide {

class MachineOwnership {
 public:
  struct Hooks {
    /// A machine is claimed. Settled: nobody can have used it before.
    std::function<void(Shard&, const Machine&, bool reconciled)> on_owned;
    std::function<void()> on_reloaded;  ///< the claims have been read
    std::function<void()> invalidate_leases;
  };
  MachineOwnership(ControllerState& state, Hooks hooks) : state_(state), hooks_(std::move(hooks)) {}

  /// Writes what is to be written.
  void tick();
  /// A machine that nobody is known to have claimed: it is claimed for `part` with one of the next writes.
  void request(Shard& shard, Machine machine);
  /// A machine of a shard is up: its claim is to name its address.
  void on_machine_up(Shard& shard, const Machine& machine);
  /// A machine of a shard is gone.
  void remove(Shard& shard, const Machine& machine);
  /// Reads all claims once more, before long.
  void invalidate() { invalidated_ = true; }
  /// All claims, as read for a shard that is being loaded: its machines are added, not reconciled.
  void load(Shard& shard, const std::vector<KeyValue>& entries);
  void on_shard_lost(const std::string& shard);

  const std::string* shard_of(const std::string& machine) const {
    auto it = shard_of_.find(machine);
    return it == shard_of_.end() ? nullptr : &it->second;
  }
  /// The shard that takes a machine which nobody claimed: its zone's controllers come first.
  std::string home_shard(const std::string& machine, const std::string& zone) const;

 private:
  void apply_records(const std::vector<KeyValue>& entries);
  void add_block(Shard& shard, std::uint32_t number, const KeyValue& entry, bool reconciled) const;
  void reload();
  void write_new(Shard& shard);
  void on_written(const std::string& shard, std::uint64_t leadership_term, std::uint32_t block,
                  std::vector<Machine> batch, const std::set<std::string>& homes, const StoreResponse& a);
  void rewrite(Shard& shard, bool urgent_only);
  std::vector<records::OwnedMachine> machines_of(const Shard& shard, std::uint32_t block) const;

  ControllerState& state_;
  Hooks hooks_;
  std::map<std::string, std::string> shard_of_;           ///< machine -> part
  std::map<std::string, Revision> home_shard_revisions_;  ///< as of the reading that shard_of_ is from
  std::map<std::string, std::deque<Machine>> requested_;  ///< by part
  std::set<std::string> requested_names_;
  bool writing_ = false;
  bool reloading_ = false;
  bool invalidated_ = false;
  Micros next_reload_{0};
  Micros next_rewrite_{0};
  Micros next_urgent_{0};
};

}  // namespace bendtide
