// Identifiers that must not be taken for one another.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bendtide {

/// A number that identifies something of one kind. It is made from a plain number without a cast, as literals
/// and decoded messages are, but neither turns into a plain number nor into an identifier of another kind by
/// itself. 0 stands for none.
template <class Kind>
class StrongId {
 public:
  constexpr StrongId() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): see above
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

/// The version of a key in the key-value store: the number of the transaction that last wrote it. 0: the key
/// does not exist.
using Revision = StrongId<struct RevisionKind>;

/// Tells workers whose commands are the newest: the revision of the lease record under which a leader acts.
/// Grows with every change of leader, and whenever the leader writes its lease record anew.
using FencingToken = StrongId<struct FencingTokenKind>;

/// The span during which a controller process leads a shard without interruption, however often its fencing
/// token grows. Numbered from 1 in each process, over all shards.
using LeadershipTerm = StrongId<struct LeadershipTermKind>;

/// A lease granted by the key-value store. 0: none.
using StoreLeaseId = StrongId<struct StoreLeaseKind>;

/// The fencing token of the leader whose lease record has this revision.
constexpr FencingToken fencing_token_of(Revision lease_record) { return lease_record.value(); }

/// The revision of the lease record of the leader with this fencing token.
constexpr Revision lease_record_revision(FencingToken token) { return token.value(); }

}  // namespace bendtide
