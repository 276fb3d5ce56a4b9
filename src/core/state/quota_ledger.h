// A shard's share of each team's quota, and its usage.
//
// The quota limit of each team is divided into one share per shard; the shares add up to the limit. The
// shares of a shard are stored in its allocation record in the key-value store and change only by transfers
// between shards.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "core/model/ids.h"
#include "core/model/resources.h"

namespace bendtide {

/// The quota that is or may be in use in a shard. Shard updates it as placements change.
struct QuotaUsage {
  std::map<std::string, Quota> by_team;  ///< used on reconciled machines
  Quota by_unknown_jobs;  ///< used on reconciled machines by tasks of unknown jobs, whose team is not known
  Quota unreconciled;     ///< the total size of the machines that are not reconciled

  /// Returns the upper bound of a team's usage: any team may be using all of an unreconciled machine, and
  /// tasks of unknown jobs may belong to any team.
  Quota of(const std::string& team) const {
    const auto known = by_team.find(team);
    return unreconciled + by_unknown_jobs + (known == by_team.end() ? Quota{} : known->second);
  }
};

/// The quota shares and the quota usage of one shard.
///
/// Invariants: a team's free quota is its share minus the amounts in transfer minus its usage. At most one
/// read or transfer is in flight. An amount in transfer counts as given away from the moment its write is
/// handed to the key-value store client until the write is known to have failed.
class QuotaLedger {
 public:
  using Shares = std::map<std::string, Quota>;  ///< by team

  QuotaUsage usage;

  // ---- quota available to a team ---------------------------------------------------------------------

  /// Returns the share of a team minus the amounts in transfer; zero for an unknown team.
  Quota share(const std::string& team) const {
    return amount_of(shares_, team) - amount_of(in_transfer_, team);
  }
  /// Returns the unused part of share(). Negative if a team uses more than its share, which is possible after
  /// a change of leader.
  Quota free(const std::string& team) const { return share(team) - usage.of(team); }
  /// Returns the quota that can be given away or offered to other shards; never negative.
  Quota spare(const std::string& team) const { return at_least_zero(free(team)); }
  bool has_share_of(const std::string& team) const { return shares_.contains(team); }

  // ---- the allocation record -------------------------------------------------------------------------

  /// Returns the shares as stored in the record, including the amounts in transfer.
  const Shares& shares() const { return shares_; }
  /// Returns the revision of the record that shares() was loaded from; 0 if it is not loaded yet.
  Revision revision() const { return revision_; }
  /// Returns whether a transfer may start and proposals may be made: the current content of the record is
  /// known, and no request in flight may change it.
  bool is_current() const { return !busy_ && !stale_ && revision_ != 0; }
  /// Sets the shares to those read from the record at this revision.
  void load(Shares shares, Revision revision) {
    shares_ = std::move(shares);
    revision_ = revision;
    stale_ = false;
  }
  /// Sets the revision after this leader has written the record.
  void set_revision(Revision revision) { revision_ = revision; }
  /// Records that another leader has, or may have, written the record.
  void mark_stale() { stale_ = true; }
  /// Returns whether the record has to be read again and can be read now.
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
  /// Adds the amount of a transfer that was not made back to the share of this shard.
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
  bool busy_ = false;   ///< a read or a write of the record is in flight
  bool stale_ = false;  ///< another leader has, or may have, written the record since it was read
};

}  // namespace bendtide
