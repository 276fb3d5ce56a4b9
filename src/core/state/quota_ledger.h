// What a shard may use of each team's quota, and what it uses.
//
// The limit of each team is divided into shares, one for each shard, which sum to the limit. The shares of
// one shard stand in its allocation record in the key-value store; they change by transfers between shards
// only.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "core/model/ids.h"
#include "core/model/resources.h"

namespace bendtide {

/// What is used of quota in a shard, or may be. Kept up to date by Shard as placements change.
struct QuotaUsage {
  std::map<std::string, Quota> by_team;  ///< on reconciled machines
  Quota by_unknown_jobs;                 ///< on reconciled machines, by tasks whose team is not known
  Quota unreconciled;                    ///< the size of all machines that are not reconciled

  /// The most that a team may be using: any team may use all of an unreconciled machine, and tasks of unknown
  /// jobs may belong to any team.
  Quota of(const std::string& team) const {
    const auto known = by_team.find(team);
    return unreconciled + by_unknown_jobs + (known == by_team.end() ? Quota{} : known->second);
  }
};

/// Invariants: what is free to a team is its share, without what is in transfer, without what is used. At
/// most one read or transfer is under way. A share in transfer counts as given from the moment its write is
/// handed over until the write is known to have failed.
class QuotaLedger {
 public:
  using Shares = std::map<std::string, Quota>;  ///< by team

  QuotaUsage usage;

  // ---- what a team may use ---------------------------------------------------------------------------

  /// The share of a team without what is in transfer; nothing for an unknown team.
  Quota share(const std::string& team) const {
    return amount_of(shares_, team) - amount_of(in_transfer_, team);
  }
  /// Below zero if a team uses more than its share, as it may after a take-over.
  Quota free(const std::string& team) const { return share(team) - usage.of(team); }
  /// What can be given away or offered: never below zero.
  Quota spare(const std::string& team) const { return at_least_zero(free(team)); }
  bool has_share_of(const std::string& team) const { return shares_.contains(team); }

  // ---- the allocation record -------------------------------------------------------------------------

  /// The shares as they stand in the record, that in transfer included.
  const Shares& shares() const { return shares_; }
  /// The revision of the record that `shares` is from; 0: not loaded yet.
  Revision revision() const { return revision_; }
  /// Whether a transfer may start and proposals may be made: the record is known as it stands, and nothing is
  /// under way that may change it.
  bool is_current() const { return !busy_ && !stale_ && revision_ != 0; }
  /// The shares as read from the record at this revision.
  void load(Shares shares, Revision revision) {
    shares_ = std::move(shares);
    revision_ = revision;
    stale_ = false;
  }
  /// The record was written by this leader, and has this revision now.
  void set_revision(Revision revision) { revision_ = revision; }
  /// Another leader has written the record, or may have.
  void mark_stale() { stale_ = true; }
  /// Whether the record should be read again now.
  bool needs_read() const { return stale_ && !busy_; }
  void begin_read() { busy_ = true; }
  void finish_read() { busy_ = false; }

  // ---- transfers to another shard --------------------------------------------------------------------

  void begin_transfer(const std::string& team, const Quota& amount) {
    busy_ = true;
    in_transfer_[team] += amount;
  }
  void complete_transfer(const std::string& team, const Quota& amount) {
    cancel_transfer(team, amount);
    shares_[team] -= amount;
  }
  /// The transfer was not made: its amount is ours again.
  void cancel_transfer(const std::string& team, const Quota& amount) {
    busy_ = false;
    in_transfer_[team] -= amount;
  }

 private:
  static Quota amount_of(const Shares& amounts, const std::string& team) {
    const auto found = amounts.find(team);
    return found == amounts.end() ? Quota{} : found->second;
  }

  Shares shares_;
  Shares in_transfer_;
  Revision revision_ = 0;
  bool busy_ = false;  ///< a read or a write of the record is under way
  bool stale_ = false;
};

}  // namespace bendtide
