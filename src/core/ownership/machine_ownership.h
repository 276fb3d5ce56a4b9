// Records which shard owns each machine. An ownership record is written before the machine is used, and no
// machine is ever owned by two shards.
//
// Ownership is recorded in blocks: one record lists several machines. The record of a machine's home shard
// (see home_shard()) prevents two shards from owning the same machine. Every write that adds a machine to a
// block also rewrites the record of its home shard, on condition that this record has not changed since the
// ownership records were last read. Machines with the same home shard are therefore added by consecutive
// writes, each of which is based on all previous ones.
//
// A block contains a machine's address once the machine is up and about to be used. No task is started on a
// machine before the address is written. The next leader of the shard therefore knows that no task can be on
// machines without an address (those still booting), and can contact the machines in use immediately.
//
// All times are on the steady clock.
#pragma once

#include <deque>

#include "core/state/controller_state.h"

namespace bendtide {

class MachineOwnership {
 public:
  struct Hooks {
    /// Called for each machine that the shard owns. `reconciled` means that no unknown task can be on it.
    std::function<void(Shard&, const Machine&, bool reconciled)> on_owned;
    std::function<void()> on_reloaded;        ///< called when more owners are known
    std::function<void()> invalidate_leases;  ///< requests that the lease records be read again
  };
  MachineOwnership(ControllerState& state, Hooks hooks) : state_(state), hooks_(std::move(hooks)) {}

  /// Starts the reads and writes that are due.
  void tick();
  /// Requests ownership of a machine that no shard is known to own. A later write adds it to the shard.
  void request(Shard& shard, Machine machine);
  /// Schedules the write of the address of a machine that is up to its block.
  void on_machine_up(Shard& shard, const Machine& machine);
  /// Removes a deleted machine, and schedules the rewrite of its block.
  void remove(Shard& shard, const Machine& machine);
  /// Schedules a read of all ownership records.
  void invalidate() { invalidated_ = true; }
  /// Applies all ownership records, as read for a shard that is being loaded, and adds the machines of the
  /// shard.
  void load(Shard& shard, const std::vector<KeyValue>& entries);
  /// Drops the ownership requests of a shard that this controller no longer leads.
  void on_shard_lost(const std::string& shard);

  /// Returns the shard that is known to own the machine; null if none is.
  const std::string* shard_of(const std::string& machine) const {
    const auto found = shard_of_.find(machine);
    return found == shard_of_.end() ? nullptr : &found->second;
  }
  /// Returns the shard that should own a machine which no shard owns yet. It is a shard whose controller is
  /// in the zone of the machine, if there is one.
  std::string home_shard(const std::string& machine, const std::string& zone) const;

 private:
  /// A new block whose write is in flight.
  struct NewBlock {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::uint32_t number = 0;
    std::vector<Machine> machines;
    std::set<std::string> homes;  ///< the home shards whose records the same write updates
  };
  /// Blocks that are rewritten in one transaction.
  struct BlockRewrite {
    struct Block {
      std::uint32_t number = 0;
      bool removed = false;                  ///< the block has no machine left, and its record is removed
      std::vector<std::string> addressable;  ///< machines whose address the block contains
    };
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::vector<Block> blocks;
  };
  /// When blocks of at least a given urgency are rewritten, and with which priority.
  struct RewriteSchedule {
    OwnershipBlock::Rewrite least_urgency;
    Micros interval;
    RequestPriority priority;
    Micros next{0};
  };

  void apply_records(const std::vector<KeyValue>& entries);
  void add_block(Shard& shard, std::uint32_t number, const KeyValue& entry, bool reconciled) const;
  void reload();
  void on_reloaded(const StoreResponse& response);
  void resolve_unknown_writes(Shard& shard, const std::vector<KeyValue>& entries) const;
  void drop_satisfied_requests();

  void write_new_block(Shard& shard);
  NewBlock take_requested(const Shard& shard, std::deque<Machine>& requested) const;
  void on_new_block_written(const NewBlock& block, const StoreResponse& response);
  void on_new_block_failed(const NewBlock& block, const StoreResponse& response);

  void rewrite_blocks(Shard& shard, RewriteSchedule& schedule);
  void on_blocks_rewritten(const BlockRewrite& rewrite, const StoreResponse& response);
  static void on_block_rewritten(Shard& shard, const BlockRewrite::Block& written, Revision revision);
  static std::vector<records::OwnedMachine> machines_of(const Shard& shard, std::uint32_t block);

  static constexpr Micros kReloadInterval = seconds(1);
  static constexpr Micros kRewriteInterval = seconds(2);
  /// Lets several machines that become ready share one write.
  static constexpr Micros kUrgentRewriteInterval = millis(400);

  ControllerState& state_;
  Hooks hooks_;
  std::map<std::string, std::string> shard_of_;           ///< machine -> shard
  std::map<std::string, Revision> home_shard_revisions_;  ///< read together with shard_of_
  std::map<std::string, std::deque<Machine>> requested_;  ///< by shard
  std::set<std::string> requested_names_;
  bool writing_new_block_ = false;
  bool reloading_ = false;
  bool invalidated_ = false;
  Micros next_reload_{0};
  RewriteSchedule urgent_rewrites_{OwnershipBlock::Rewrite::soon, kUrgentRewriteInterval,
                                   RequestPriority::normal};
  RewriteSchedule all_rewrites_{OwnershipBlock::Rewrite::eventually, kRewriteInterval, RequestPriority::low};
};

}  // namespace bendtide
