// Counters of events in a simulated cluster. Tests use them to check that their scenario really took place.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>

#include "core/model/actions.h"

namespace bendtide::sim {

enum class Evidence : std::uint8_t {
  scheduled_fault_injected,
  message_held,               ///< sent over a cut link, and delivered when the cut ends
  shard_acquired,             ///< by a controller
  worker_lease_expired,       ///< of a machine with tasks, as logged by a controller
  machine_found_unreachable,  ///< by a controller: its heartbeats arrive, but it acknowledges no commands
  heartbeat_duplicated,
  heartbeat_lost,  ///< sent by a machine that cannot reach any controller
  team_at_limit,
  cancelled_during_partition,      ///< while at least one link was cut
  cancelled_during_store_refusal,  ///< while the key-value store refused the requests of a controller
  cancelled_together,              ///< one of several jobs cancelled within a fraction of a second
  machine_hung_at_cancellation,
  zone_bound_task_lost,  ///< its machine failed
  transaction_executed_late,
  store_response_delayed,
  job_end_raced,  ///< a user sent requests while the last task of a job ended
  job_polled_at_acceptance,
  job_cancelled_at_acceptance,
  error_logged,
  count
};

const char* to_text(Evidence evidence);
/// Lets GoogleTest print the name.
std::ostream& operator<<(std::ostream& out, Evidence evidence);

class EvidenceCounters {
 public:
  void add(Evidence evidence) { ++counters_.at(static_cast<std::size_t>(evidence)); }
  /// Counts events that can be observed only in the log of a controller.
  void add_from_log(const LogLine& line);
  std::size_t count(Evidence evidence) const { return counters_.at(static_cast<std::size_t>(evidence)); }

 private:
  std::array<std::size_t, static_cast<std::size_t>(Evidence::count)> counters_{};
};

}  // namespace bendtide::sim
