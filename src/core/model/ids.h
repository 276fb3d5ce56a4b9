// Strongly typed identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bendtide {

/// A numeric identifier whose type depends on what it identifies. It converts implicitly from a plain number,
/// as literals and decoded messages need, but not to a plain number or to an identifier of another kind.
/// 0 means "none".
template <class Kind>
class StrongId {
 public:
  constexpr StrongId() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): see the class comment
  constexpr StrongId(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  friend constexpr auto operator<=>(StrongId, StrongId) = default;

 private:
  std::uint64_t value_ = 0;
};

template <class Kind>
std::string to_string(StrongId<Kind> id) {
  return std::to_string(id.value());
}

/// The revision of a key in the key-value store: the number of the transaction that last wrote it. 0 means
/// that the key does not exist.
using Revision = StrongId<struct RevisionKind>;

/// Lets workers reject commands of a former leader: the revision of the lease record under which a leader
/// acts. It increases with every change of leader, and whenever the leader rewrites its lease record.
using FencingToken = StrongId<struct FencingTokenKind>;

/// Identifies a period in which one controller process leads a shard without interruption. The fencing token
/// may increase several times within a term. Each process numbers its terms from 1, across all shards.
using LeadershipTerm = StrongId<struct LeadershipTermKind>;

/// Identifies a lease granted by the key-value store. 0 means that there is no lease.
using StoreLeaseId = StrongId<struct StoreLeaseKind>;

/// Returns the fencing token of the leader whose lease record has this revision.
constexpr FencingToken fencing_token_of(Revision lease_record) { return lease_record.value(); }

/// Returns the revision of the lease record of the leader with this fencing token.
constexpr Revision lease_record_revision(FencingToken token) { return token.value(); }

}  // namespace bendtide
