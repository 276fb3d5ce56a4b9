// Which shard each machine belongs to. An ownership record is written before the machine is put to any use,
// and no machine is ever owned by two shards.
//
// Ownership is recorded in blocks, several machines in one record. What keeps two shards from owning one
// machine is the record of its home shard (home_shard): every write that adds the machine to a block rewrites
// it, on condition that nobody did since the ownership records were last read. So machines of one home are
// added one write after the other, each in the knowledge of all before it.
//
// A block names a machine's address once the machine is up and about to be used. Nothing is started on a
// machine before that is written; so the next leader of a shard knows that nothing can be on the others
// (those still booting), and where the ones that were used can be reached at once.
//
// All times are of the steady clock.
#pragma once

#include <deque>

#include "core/state/controller_state.h"

namespace bendtide {

class MachineOwnership {
 public:
  struct Hooks {
    /// A machine is owned by the shard. `reconciled`: nobody can have used it before.
    std::function<void(Shard&, const Machine&, bool reconciled)> on_owned;
    std::function<void()> on_reloaded;        ///< owners have become known
    std::function<void()> invalidate_leases;  ///< read the lease records again
  };
  MachineOwnership(ControllerState& state, Hooks hooks) : state_(state), hooks_(std::move(hooks)) {}

  /// Starts the reads and writes that are due.
  void tick();
  /// Asks for a machine that no shard is known to own: one of the next writes adds it to the shard.
  void request(Shard& shard, Machine machine);
  /// A machine of the shard is up: its block has to name its address.
  void on_machine_up(Shard& shard, const Machine& machine);
  /// A machine of the shard is gone.
  void remove(Shard& shard, const Machine& machine);
  /// Has all ownership records read again soon.
  void invalidate() { invalidated_ = true; }
  /// Takes all ownership records, as read for a shard that is being loaded, and adds its machines.
  void load(Shard& shard, const std::vector<KeyValue>& entries);
  void on_shard_lost(const std::string& shard);

  /// The shard that owns a machine, as far as known; null if none does.
  const std::string* shard_of(const std::string& machine) const {
    const auto found = shard_of_.find(machine);
    return found == shard_of_.end() ? nullptr : &found->second;
  }
  /// The shard that is to own a machine which no shard owns yet: one whose controller is in its zone, if any.
  std::string home_shard(const std::string& machine, const std::string& zone) const;

 private:
  /// A new block whose write is under way.
  struct NewBlock {
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::uint32_t number = 0;
    std::vector<Machine> machines;
    std::set<std::string> homes;  ///< the home shards whose records are rewritten with it
  };
  /// Blocks that are being written anew, in one transaction.
  struct BlockRewrite {
    struct Block {
      std::uint32_t number = 0;
      bool removed = false;                  ///< no machine of it was left
      std::vector<std::string> addressable;  ///< machines whose address it names
    };
    std::string shard;
    LeadershipTerm leadership_term = 0;
    std::vector<Block> blocks;
  };
  /// When and how blocks of some urgency are written anew.
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
  void settle_unknown_writes(Shard& shard, const std::vector<KeyValue>& entries) const;
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
  static constexpr Micros kUrgentRewriteInterval = millis(400);  ///< machines that come up share a write

  ControllerState& state_;
  Hooks hooks_;
  std::map<std::string, std::string> shard_of_;           ///< machine -> shard
  std::map<std::string, Revision> home_shard_revisions_;  ///< as read together with shard_of_
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
