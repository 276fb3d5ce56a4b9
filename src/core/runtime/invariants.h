// Invariants that are checked at run time.
#pragma once

#include <array>
#include <cstdint>
#include <numeric>

namespace bendtide {

/// What must hold whatever the other side sends. A violation is an error in the log and a counter; the caller
/// then does nothing that could be unsafe. It never ends the process.
enum class Invariant : std::uint8_t {
  final_state_stays,       ///< a job has one final state
  finished_job_stays_off,  ///< no task of a job that has ended is started
  answers_agree,           ///< no user is sent two final states of a job, or that an ended job is unknown
  tokens_grow,             ///< a shard's fencing token never decreases
  count
};

constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::count);
/// Their names in the log and in the metrics.
constexpr std::array<const char*, kInvariants> kInvariantNames{"final_state_stays", "finished_job_stays_off",
                                                               "answers_agree", "tokens_grow"};

/// How often each invariant was violated.
struct InvariantCounts {
  std::array<std::uint64_t, kInvariants> violations{};  ///< by Invariant
  std::uint64_t total() const {
    return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
  }
};

}  // namespace bendtide
