// The jobs that this controller knows to have ended, with their final states.
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
  std::uint64_t done = 0;  ///< number of finished tasks
};

/// Remembers which jobs have ended and in which state, up to kMaxRemembered jobs. An ended job must never be
/// resumed, even if the late response to an earlier request shows it as unfinished;
/// ControllerState::validity() uses this class to detect such responses. Times are on the steady clock.
class FinalStates {
 public:
  /// Records the final state of a job, as written by this controller or read from the key-value store. The
  /// first state recorded is kept; returns false if the phase of `state` differs from it.
  bool record_final(const std::string& job, const FinalState& state, Micros now);
  /// Records that a job has ended in a final state that is not known: a peer's notice does not contain it.
  void record_ended(const std::string& job, Micros now);

  bool has_ended(const std::string& job) const { return jobs_.contains(job); }
  /// Returns the final state of a job; none if the job is unfinished or forgotten, or was recorded as ended
  /// without its final state.
  std::optional<FinalState> final_state(const std::string& job) const;
  /// Returns whether every job end recorded since `moment` is still remembered.
  bool remembers_since(Micros moment) const { return moment > forgotten_until_; }
  std::size_t size() const { return jobs_.size(); }

  static constexpr std::size_t kMaxRemembered = 4096;  ///< jobs; the oldest ends are forgotten first

 private:
  struct End {
    std::string job;
    Micros recorded_at{0};
  };
  /// Returns the entry of a job and creates it if necessary, which may discard the oldest entries.
  std::optional<FinalState>& entry(const std::string& job, Micros now);

  std::map<std::string, std::optional<FinalState>> jobs_;  ///< by job id; none if the state is not known
  std::deque<End> order_;                                  ///< the remembered ends, oldest first
  Micros forgotten_until_{-1};  ///< when the newest of the forgotten ends was recorded; -1 if there are none
};

}  // namespace bendtide
