// The settings that each controller reads from its configuration file. They don't change while the process
// runs. The core derives its time limits and intervals from them, from the catalogue and from what it
// observes.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace bendtide {

/// Another controller of the cluster.
struct Peer {
  std::string host;
  std::string zone;
  std::string endpoint;  ///< HOST:PORT of its internal address
};

/// A service level objective that the operators promise their users. Objectives determine the order in which
/// jobs are served. A job is never refused or stopped because its objective can't be met.
struct Objective {
  enum class Kind : std::uint8_t {
    wait,      ///< the first tasks of a job of the class start at most `within` after its acceptance
    finished,  ///< a job of the class is done at most `within` after its acceptance
    deadline,  ///< a job of the class is done within `times` its deadline
    guarantee  ///< tasks within the guarantee of their team start at most `within` after acceptance
  };
  Kind kind = Kind::wait;
  std::string job_class;  ///< empty for `guarantee`
  Micros within{0};       ///< for all kinds except `deadline`
  double times = 1;       ///< for `deadline`: the factor that applies to the deadline of the job
};

struct Settings {
  /// The timeout of a worker for the response to a heartbeat (PROTOCOL).
  static constexpr Micros kHeartbeatTimeout = seconds(4);
  /// The delay between that timeout and the worker's heartbeat to the next controller (PROTOCOL).
  static constexpr Micros kHeartbeatRetryDelay = seconds(1);
  /// The time that a peer takes to acquire a shard that no longer has a leader.
  static constexpr Micros kShardAcquisitionTime = seconds(2);
  /// The first task of every job must start within this time after acceptance, whatever the job's priority.
  static constexpr Micros kFirstTaskStartLimit = seconds(240);
  /// A job whose first task waits longer is served before other jobs of equal rank, and an on-demand machine
  /// may be created for it.
  static constexpr Micros kFirstTaskOverdueAfter = kFirstTaskStartLimit / 2;

  std::string host;              ///< host name of this controller; also the name of its home shard
  std::string zone;              ///< zone of this controller
  std::string api_address;       ///< HOST:PORT for users
  std::string internal_address;  ///< HOST:PORT for peers, workers and operators
  std::vector<Peer> peers;       ///< the other controllers
  std::string cloud_address;     ///< HOST:PORT
  std::string store_address;     ///< HOST:PORT of the key-value store
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  std::set<std::string> ignored_objectives;  ///< configured kinds that are not supported and have no effect

  Micros heartbeat_interval{0};  ///< interval between two heartbeats of a worker
  Micros worker_lease{0};        ///< a worker stops its tasks this long after the last response it received
  Micros cancel_within{0};       ///< all tasks of a cancelled job must be gone within this time

  /// Rate limits that apply to all controllers together.
  double store_requests_per_s = 0;
  double store_writes_per_s = 0;
  double cloud_calls_per_s = 0;

  std::size_t store_value_bytes = 0;         ///< maximum size of a value in the key-value store
  std::size_t store_transaction_writes = 0;  ///< maximum number of writes in one transaction
  Micros cloud_list_lag{0};                  ///< maximum age of the cloud's list of machines
  std::size_t sockets = 0;                   ///< maximum number of sockets that one controller may have open

  /// The number of controllers in the cluster, including this one.
  std::size_t controllers() const { return peers.size() + 1; }
  /// Returns null if the settings have no such team.
  const Team* team(const std::string& name) const {
    for (const Team& candidate : teams)
      if (candidate.name == name) return &candidate;
    return nullptr;
  }
  /// Whether a job is best-effort work: it has the lowest priority and no deadline, its class has no
  /// objective, and its team has no guarantee. Such a job does not justify the price of an on-demand machine.
  bool is_best_effort(const JobSpec& spec) const {
    if (spec.priority != Priority::low || spec.deadline) return false;
    const Team* job_team = team(spec.team);
    if (job_team != nullptr && job_team->guarantee != Quota{}) return false;
    return std::none_of(objectives.begin(), objectives.end(),
                        [&](const Objective& objective) { return objective.job_class == spec.job_class; });
  }
  /// A duration longer than any pause between two heartbeats of a healthy worker that can reach this
  /// controller.
  Micros longest_heartbeat_pause() const { return heartbeat_interval * 8 / 5 + seconds(1); }
  /// The term of a shard's lease.
  ///
  /// Upper bound: a leader that loses the key-value store may keep acting for one term, and its workers for
  /// their own lease after that. Both together must end before all tasks of a cancelled job must be gone, and
  /// a third of the remaining time is kept as a margin. Where the worker lease allows it, the term is also
  /// short enough that a worker whose heartbeat times out can send one to the next leader before the worker
  /// lease expires.
  ///
  /// Lower bound: half of the longest possible term or half of the worker lease, whichever is shorter,
  /// because leaders must survive outages of the key-value store.
  Micros lease_term() const {
    const Micros longest{(cancel_within - worker_lease).count() * 2 / 3};
    const Micros failover_time = kHeartbeatTimeout + kHeartbeatRetryDelay + kShardAcquisitionTime;
    const Micros before_workers_lease = worker_lease - heartbeat_interval * 5 / 4 - failover_time;
    return std::clamp(before_workers_lease, std::min(longest, worker_lease) / 2, longest);
  }
  /// The longest time from the response that confirms a cancellation until the last task of the job is gone
  /// (docs/DESIGN.md). A leader that can't read the cancellation acts on older data for at most the term of
  /// its lease. A worker that can't be reached keeps running tasks for its own lease after the last response
  /// it received.
  Micros max_cancellation_time() const {
    return upper_bound_on_local_clock(lease_term()) + upper_bound_on_local_clock(worker_lease);
  }
};

}  // namespace bendtide
