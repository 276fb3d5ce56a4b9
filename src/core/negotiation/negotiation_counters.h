// What the contract net of one controller has done since its start, as shown to operators.
#pragma once

#include <cstdint>

namespace bendtide {

struct NegotiationCounters {
  std::uint64_t calls = 0;            ///< calls for proposals, each counted once whatever its rounds
  std::uint64_t rounds = 0;           ///< rounds of all calls
  std::uint64_t awards = 0;           ///< awards written to the key-value store
  std::uint64_t conflicts = 0;        ///< quota moves that met a newer allocation of either shard
  std::uint64_t infeasible = 0;       ///< calls that ended without a proposal that could be accepted
  std::uint64_t quota_transfers = 0;  ///< moves of quota share without an award
};

}  // namespace bendtide
