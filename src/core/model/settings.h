// The settings that the platform hands to each controller in its configuration file. They don't change while
// the process runs; every bound and pause of the core is derived from them, the catalogue and observations.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace bendtide {

/// Another controller.
struct Peer {
  std::string host;
  std::string zone;
  std::string endpoint;  ///< HOST:PORT of its internal address
};

/// What the operators promise their users: it decides on the order in which jobs are served. No single job is
/// refused or stopped because its objective can't be met.
struct Objective {
  enum class Kind : std::uint8_t {
    wait,      ///< the first tasks of a job of the class start `within` of its acceptance
    finished,  ///< a job of the class is done `within` of its acceptance
    deadline,  ///< a job of the class is done within `times` its own deadline
    guarantee  ///< work inside a team's guarantee starts `within` of its acceptance; of no class
  };
  Kind kind = Kind::wait;
  std::string job_class;
  Micros within{0};  ///< of all kinds but `deadline`
  double times = 1;  ///< of `deadline`: the factor on the deadline of the job
};

struct Settings {
  /// How long a worker waits for the response to a heartbeat before it gives up on it (PROTOCOL).
  static constexpr Micros kWorkerPatience = seconds(4);
  /// How long it waits then before it sends one to the next controller (PROTOCOL).
  static constexpr Micros kWorkerRetry = seconds(1);
  /// How long a peer takes to acquire a shard whose lease is free.
  static constexpr Micros kFailover = seconds(2);
  /// Within this time of a job's acceptance its first task has to start, whatever its priority.
  static constexpr Micros kFirstTaskWithin = seconds(240);
  /// A job whose first task waits longer is served before its equals, and may cost an on-demand machine.
  static constexpr Micros kLongestWaitForFirstTask = kFirstTaskWithin / 2;

  std::string host;              ///< of this controller; also the name of its own shard
  std::string zone;              ///< of this controller
  std::string api_address;       ///< HOST:PORT for users
  std::string internal_address;  ///< HOST:PORT for peers, workers and operators
  std::vector<Peer> peers;       ///< the other controllers
  std::string cloud_address;     ///< HOST:PORT
  std::string store_address;     ///< HOST:PORT of the key-value store
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  std::set<std::string> ignored_objectives;  ///< kinds in the settings that have no effect

  Micros heartbeat_interval{0};  ///< between two heartbeats of a worker
  Micros worker_lease{0};        ///< a worker stops its tasks this long after the last response that it got
  Micros cancel_within{0};       ///< tasks of a cancelled job have to be gone within this

  /// Limits that all controllers together have to keep.
  double store_requests_per_s = 0;
  double store_writes_per_s = 0;
  double cloud_calls_per_s = 0;

  std::size_t store_value_bytes = 0;         ///< the largest value of the key-value store
  std::size_t store_transaction_writes = 0;  ///< the most writes in one transaction
  Micros cloud_list_lag{0};                  ///< how old the cloud's list of machines may be
  std::size_t sockets = 0;                   ///< that one controller may have open

  /// All of them, with this one.
  std::size_t controllers() const { return peers.size() + 1; }
  /// Null for a team that is not in the settings.
  const Team* team(const std::string& name) const {
    for (const Team& candidate : teams)
      if (candidate.name == name) return &candidate;
    return nullptr;
  }
  /// Whether a job is best-effort work: of the lowest priority, without a deadline, an objective of its class
  /// or a guarantee of its team. Nothing about it justifies the price of an on-demand machine.
  bool best_effort(const JobSpec& spec) const {
    if (spec.priority != Priority::low || spec.deadline) return false;
    const Team* its_team = team(spec.team);
    if (its_team != nullptr && its_team->guarantee != Quota{}) return false;
    return std::none_of(objectives.begin(), objectives.end(),
                        [&](const Objective& objective) { return objective.job_class == spec.job_class; });
  }
  /// Longer than any pause between two heartbeats of a healthy worker that can reach us.
  Micros longest_heartbeat_pause() const { return heartbeat_interval * 8 / 5 + seconds(1); }
  /// The term of a shard's lease. A leader may go on acting for a term after it lost the key-value store, and
  /// its workers for their lease after that; both together have to stay below the time in which a
  /// cancelled job must be gone, with a third of the slack left as margin. Where the workers' lease allows,
  /// it is short enough for them to send a heartbeat to the next leader before their lease is over, after
  /// waiting for one that hangs. It is not shorter than half of either, as outages of the key-value store
  /// have to be survived.
  Micros lease_term() const {
    const Micros longest{(cancel_within - worker_lease).count() * 2 / 3};
    const Micros failover_time = kWorkerPatience + kWorkerRetry + kFailover;
    const Micros before_workers_lease = worker_lease - heartbeat_interval * 5 / 4 - failover_time;
    return std::clamp(before_workers_lease, std::min(longest, worker_lease) / 2, longest);
  }
  /// The longest time from the response that a job is cancelled until its last task is gone (docs/DESIGN.md):
  /// a leader that can't read of it acts on what it read before for the term of its lease, and a worker that
  /// nothing reaches runs on for its own lease after the last response that it got.
  Micros cancelled_gone_within() const { return surely_over(lease_term()) + surely_over(worker_lease); }
};

}  // namespace bendtide
