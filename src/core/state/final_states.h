// The final states of jobs, as far as this controller remembers them. A job that has ended never begins
// again, whatever an earlier response shows of it: ControllerState::validity() decides by this memory.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/model/job.h"

namespace bendtide {

/// The final state of a job, as stored in the key-value store.
struct FinalState {
  JobPhase phase = JobPhase::done;
  std::uint64_t done = 0;  ///< finished tasks
};

/// Remembers which jobs have ended, and how. An ended job never begins again, whatever a response to an
/// earlier request says of it: ControllerState::validity() decides by this memory. Times are on the steady
/// clock.
class FinalStates {
 public:
  /// Records the final state of a job, as written by this controller or read from the key-value store. The
  /// first one recorded stays; false if this one differs from it.
  bool record_final(const std::string& job, const FinalState& state, Micros now);
  /// Records that a job has ended, without its final state, which the notice of a peer does not carry.
  void record_ended(const std::string& job, Micros now);

  bool has_ended(const std::string& job) const { return jobs_.contains(job); }
  /// None for an unfinished or forgotten job, and for one that was only recorded as ended.
  std::optional<FinalState> final_state(const std::string& job) const;
  /// Whether every end that was recorded since then is still remembered.
  bool remembers_since(Micros moment) const { return moment > forgotten_until_; }
  std::size_t size() const { return jobs_.size(); }

  static constexpr std::size_t kMaxRemembered = 4096;  ///< ends; the oldest are forgotten first

 private:
  struct End {
    std::string job;
    Micros recorded_at{0};
  };
  /// The entry of a job, made if it is not there. May forget the oldest one.
  std::optional<FinalState>& entry(const std::string& job, Micros now);

  std::map<std::string, std::optional<FinalState>> jobs_;  ///< the final state, if it is known
  std::deque<End> order_;                                  ///< the oldest first
  Micros forgotten_until_{-1};  ///< when the latest of the forgotten ends was recorded
};

}  // namespace bendtide
