// What the platform hands over. Everything the core bounds or waits for is derived from this, the
// catalogue, and what it observes.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace bendtide {

struct Peer {
  std::string host;
  std::string zone;
  std::string endpoint;
};

struct Objective {
  std::string kind;
  std::string job_class;
  Micros within{0};
  double times = 1;  ///< of the deadline
};

struct Settings {
  /// How long a worker waits for the answer to a heartbeat before it gives up on it (PROTOCOL).
  static constexpr Micros kWorkerPatience = seconds(4);
  /// How long it waits then before it reports to the next controller (PROTOCOL).
  static constexpr Micros kWorkerRetry = seconds(1);
  /// How long a peer takes to acquire a part that is free.
  static constexpr Micros kFailover = seconds(2);

  std::string host;
  std::string zone;
  std::string api_address;
  std::string internal_address;
  std::vector<Peer> peers;
  std::string cloud_address;
  std::string store_address;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  std::set<std::string> ignored_objectives;  ///< kinds that have no effect
  Micros heartbeat_interval{0};
  Micros worker_lease{0};
  Micros cancel_within{0};
  double store_requests_per_s = 0;
  double store_writes_per_s = 0;
  std::size_t store_value_bytes = 0;
  std::size_t store_transaction_writes = 0;
  double cloud_calls_per_s = 0;
  Micros cloud_list_lag{0};
  std::size_t sockets = 0;

  std::size_t controllers() const { return peers.size() + 1; }
  const Team* team(const std::string& name) const {
    for (const Team& t : teams)
      if (t.name == name) return &t;
    return nullptr;
  }
  /// Whether the job is only to use what is left over: of the lowest priority, without a deadline, an
  /// objective of its class or a guarantee of its team. No aim of its own justifies the price of an ordinary
  /// machine.
  bool best_effort(const JobSpec& spec) const {
    if (spec.priority != Priority::low || spec.deadline) return false;
    const Team* of = team(spec.team);
    if (of != nullptr && of->guarantee != Quota{}) return false;
    return std::none_of(objectives.begin(), objectives.end(),
                        [&](const Objective& o) { return o.job_class == spec.job_class; });
  }
  /// Longer than any pause between two heartbeats of a worker that is well.
  Micros longest_heartbeat_pause() const { return heartbeat_interval * 8 / 5 + seconds(1); }
  /// The term of a shard's lease. A leader may go on acting for a term after it lost the key-value store, and
  /// its workers for their lease after that; both together have to stay below the time in which a
  /// cancelled job must be gone, with a third of the slack left as margin. Where the workers' lease allows,
  /// it is short enough for them to report to the next leader before their lease is over, after waiting for
  /// the one that stands still. It is not shorter than half of either, as outages of the key-value store have
  /// to be borne.
  Micros lease_term() const {
    const Micros longest{(cancel_within - worker_lease).count() * 2 / 3};
    const Micros failover_time = kWorkerPatience + kWorkerRetry + kFailover;
    const Micros before_workers_lease = worker_lease - heartbeat_interval * 5 / 4 - failover_time;
    return std::clamp(before_workers_lease, std::min(longest, worker_lease) / 2, longest);
  }
  /// The longest time from the moment at which a user is told that a job is cancelled until its last task is
  /// gone (docs/DESIGN.md): a controller that can't know acts on what it read before for a term, and a worker
  /// that nothing reaches runs on for its lease after the last answer that it got.
  Micros cancelled_gone_within() const { return surely_over(lease_term()) + surely_over(worker_lease); }
};

}  // namespace bendtide
