// What this controller has learned of the ends of jobs. A job that is over never begins again, whatever an
// answer that was asked for earlier says of it: Cluster::validity() decides by this memory.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/model/job.h"

namespace bendtide {

/// The final state of a job, as the key-value store holds it.
struct FinalState {
  JobPhase phase = JobPhase::done;
  std::uint64_t done = 0;  ///< tasks
};

class FinalStates {
 public:
  /// The final state was written by this controller, or read from the key-value store. The first one learned
  /// stays; false if this one differs from it.
  bool record_final(const std::string& job, const FinalState& state, Micros now);
  /// A peer has said that the job is over, though not how.
  void record_ended(const std::string& job, Micros now);

  bool has_ended(const std::string& job) const { return jobs_.contains(job); }
  /// None for an unfinished or forgotten job, and for one of which only has_ended() is known.
  std::optional<FinalState> final_state(const std::string& job) const;
  /// Whether every end that was learned of since then is still remembered.
  bool remembers_since(Micros moment) const { return moment > forgotten_until_; }
  std::size_t size() const { return jobs_.size(); }

  static constexpr std::size_t kRemembered = 4096;  ///< ends; the oldest are forgotten first

 private:
  struct End {
    std::string job;
    Micros learned_at{0};
  };
  std::optional<FinalState>& entry(const std::string& job, Micros now);

  std::map<std::string, std::optional<FinalState>> jobs_;
  std::deque<End> order_;
  Micros forgotten_until_{-1};  ///< when the youngest of the forgotten ends was learned
};

}  // namespace bendtide
