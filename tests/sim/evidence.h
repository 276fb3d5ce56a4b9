// Counters of what happened in a simulated cluster, by which a test shows that its scenario took place.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>

#include "core/model/actions.h"

namespace bendtide::sim {

enum class Evidence : std::uint8_t {
  scheduled_fault_injected,
  message_held,               ///< by a cut, which delivers it at its end
  shard_acquired,             ///< by a controller
  worker_lease_expired,       ///< of a machine with tasks, as a controller found
  machine_found_unreachable,  ///< by a controller: its heartbeats arrive, but it executes no commands
  heartbeat_duplicated,
  heartbeat_lost,  ///< sent by a machine that reaches no controller
  team_at_limit,
  cancelled_during_cut,            ///< while some link was cut
  cancelled_during_store_refusal,  ///< while the key-value store refused a controller
  cancelled_together,              ///< several jobs within a fraction of a second
  machine_hung_at_cancellation,
  zone_bound_task_lost,  ///< with its machine
  transaction_executed_late,
  store_response_delayed,
  job_end_raced,  ///< users acted while the last task of a job ended
  job_polled_at_acceptance,
  job_cancelled_at_acceptance,
  error_logged,
  count
};

const char* to_text(Evidence evidence);
/// For messages of failed tests.
std::ostream& operator<<(std::ostream& out, Evidence evidence);

class EvidenceCounters {
 public:
  void add(Evidence evidence) { ++counters_.at(static_cast<std::size_t>(evidence)); }
  /// Counts the events that only the log of a controller shows.
  void add_from_log(const LogLine& line);
  std::size_t count(Evidence evidence) const { return counters_.at(static_cast<std::size_t>(evidence)); }

 private:
  std::array<std::size_t, static_cast<std::size_t>(Evidence::count)> counters_{};
};

}  // namespace bendtide::sim
