#include "sim/evidence.h"

#include <ostream>

namespace bendtide::sim {

const char* to_text(Evidence evidence) {
  switch (evidence) {
    case Evidence::scheduled_fault_injected:
      return "scheduled fault injected";
    case Evidence::message_held:
      return "message held by a link cut";
    case Evidence::shard_acquired:
      return "shard acquired";
    case Evidence::worker_lease_expired:
      return "worker lease expired";
    case Evidence::machine_found_unreachable:
      return "machine found unreachable";
    case Evidence::heartbeat_duplicated:
      return "heartbeat duplicated";
    case Evidence::heartbeat_lost:
      return "heartbeat lost";
    case Evidence::team_at_limit:
      return "team at its limit";
    case Evidence::cancelled_during_partition:
      return "cancelled during a link cut";
    case Evidence::cancelled_during_store_refusal:
      return "cancelled while the store refused requests";
    case Evidence::cancelled_together:
      return "jobs cancelled together";
    case Evidence::machine_hung_at_cancellation:
      return "machine hung during a cancellation";
    case Evidence::zone_bound_task_lost:
      return "zone-bound task lost";
    case Evidence::transaction_executed_late:
      return "transaction executed late";
    case Evidence::store_response_delayed:
      return "store response delayed";
    case Evidence::job_end_raced:
      return "requests raced the end of a job";
    case Evidence::job_polled_at_acceptance:
      return "job polled on acceptance";
    case Evidence::job_cancelled_at_acceptance:
      return "job cancelled on acceptance";
    case Evidence::error_logged:
      return "error logged";
    case Evidence::count:
      break;
  }
  return "unknown evidence";
}

std::ostream& operator<<(std::ostream& out, Evidence evidence) { return out << to_text(evidence); }

void EvidenceCounters::add_from_log(const LogLine& line) {
  if (line.level == LogLevel::error) add(Evidence::error_logged);
  if (line.text.ends_with(" shard acquired")) add(Evidence::shard_acquired);
  if (line.text.find("worker lease expired") != std::string::npos) add(Evidence::worker_lease_expired);
  if (line.text.find("acknowledges nothing") != std::string::npos) add(Evidence::machine_found_unreachable);
}

}  // namespace bendtide::sim
