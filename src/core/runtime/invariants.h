// Invariants that are checked at run time.
#pragma once

#include <array>
#include <cstdint>
#include <numeric>

namespace bendtide {

/// Conditions that must hold whatever other processes send. A violation is logged as an error and counted,
/// and the caller then skips any step that could be unsafe. The process keeps running.
enum class Invariant : std::uint8_t {
  final_state_stays,       ///< the final state of a job never changes
  finished_job_stays_off,  ///< no task of an ended job is started
  answers_agree,  ///< users get no conflicting final states, and no reply that an ended job is unknown
  tokens_grow,    ///< a shard's fencing token never decreases
  count
};

constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::count);
/// The names of the invariants in log lines and metrics, by Invariant.
constexpr std::array<const char*, kInvariants> kInvariantNames{"final_state_stays", "finished_job_stays_off",
                                                               "answers_agree", "tokens_grow"};

/// The number of violations of each invariant.
struct InvariantCounts {
  std::array<std::uint64_t, kInvariants> violations{};  ///< by Invariant
  std::uint64_t total() const {
    return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
  }
};

}  // namespace bendtide
