// What must hold at run time whatever the other side sends. A violation is an error in the log and a counter;
// the caller then does nothing that could be unsafe. It never ends the process.
#pragma once

#include <array>
#include <cstdint>

namespace bendtide {

enum class Invariant : std::uint8_t {
  final_state_stays,       ///< a job has one final state
  finished_job_stays_off,  ///< nothing of a job that is over is started
  answers_agree,           ///< no user is told two final states of a job, or that it is unknown after its end
  tokens_grow,             ///< a shard's fencing token never goes back
  count
};

constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::count);
/// As they are called in the log and in the metrics.
constexpr std::array<const char*, kInvariants> kInvariantNames{"final_state_stays", "finished_job_stays_off",
                                                               "answers_agree", "tokens_grow"};

struct InvariantCounts {
  std::array<std::uint64_t, kInvariants> violations{};
  std::uint64_t total() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t n : violations) sum += n;
    return sum;
  }
};

}  // namespace bendtide
