// Counters of the contract net of one controller since the start of its process, shown to operators.
#pragma once

#include <cstdint>

namespace bendtide {

struct NegotiationCounters {
  std::uint64_t calls = 0;                      ///< calls for proposals, each counted once
  std::uint64_t rounds = 0;                     ///< rounds of all calls
  std::uint64_t awards = 0;                     ///< awards written to the key-value store
  std::uint64_t tasks_returned = 0;             ///< awarded to this controller's shards and given back
  std::uint64_t tasks_taken_back = 0;           ///< awarded by this controller's shards and returned to them
  std::uint64_t conflicts = 0;                  ///< quota transfers abandoned because of a conflicting write
  std::uint64_t without_feasible_proposal = 0;  ///< calls that ended without a feasible proposal
  std::uint64_t quota_transfers = 0;            ///< transfers of quota share without an award
};

}  // namespace bendtide
