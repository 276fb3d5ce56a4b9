// One shard of the cluster as its leader sees it: jobs, machines, and the share of each team's quota.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/peer_messages.h"
#include "core/state/award_freshness.h"
#include "core/state/job.h"
#include "core/state/machine.h"
#include "core/state/periodic_read.h"
#include "core/state/quota_ledger.h"

namespace bendtide {

/// A job that has tasks to start, in the order in which its shard serves them.
struct QueueEntry {
  Job* job = nullptr;
  int missed_objectives = 0;  ///< objectives that it misses anyway
  Micros start_by{0};         ///< for the next that it can keep
  bool guaranteed = false;
};

/// One record of finished tasks. It holds those of many jobs, so that one write serves all that ended since
/// the last.
struct DoneSlot {
  Revision revision = 0;
  std::set<std::pair<std::string, std::uint32_t>> chunks;  ///< job and chunk of its tasks
  std::size_t bytes = 0;                                   ///< at most, with every task done
  bool dirty = false;
  bool outcome_unknown = false;  ///< a write without answer: its stamp has to be read
};

/// One record of machines that belong to the shard.
struct OwnershipBlock {
  Revision revision = 0;
  bool dirty = false;            ///< machines of it are gone
  bool urgent = false;           ///< machines of it came up, and are to be used
  bool writing = false;          ///< a write is under way
  bool outcome_unknown = false;  ///< a write without answer
};

struct Shard {
  enum class Stage : std::uint8_t { loading, ready };
  std::string name;
  FencingToken fencing_token = 0;
  FencingToken first_fencing_token = 0;  ///< of this holding: a status that shows less is from before it
  std::uint64_t leadership_term = 0;     ///< of this holding in this process
  Micros acquired_at{0};
  Stage stage = Stage::loading;
  bool advancing_fencing_token = false;
  Micros next_token_advance{0};
  bool advance_token_soon = false;  ///< a higher fencing token is needed to settle a pinned start
  bool advance_token_eventually =
      false;  ///< and some day, for workers to forget ended attempts that were started directly

  QuotaLedger quota;
  AwardFreshness award_freshness;  ///< of the awards to this shard
  PeriodicRead award_read;         ///< of the awards to this shard
  PeriodicRead progress_read;      ///< of what other shards did of jobs of this one
  bool rereading = false;
  Micros next_reread{0};
  bool recording = false;  ///< a batch of finished tasks is under way
  Micros next_recording{0};

  std::map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::uint64_t starts = 0;  ///< numbers the attempts under this holding

  std::vector<QueueEntry> queue;  ///< as of the last pass
  Micros next_pass{0};            ///< a pass over everything; at once if something has changed
  Micros next_watch{0};
  std::map<std::string, Micros> cut_zones;  ///< whose machines can't be reached, and since when
  Micros cut_over{0};                       ///< when one of them was last reached again
  bool has_unreconciled_jobs = false;       ///< some were loaded, and not all machines are reconciled yet
  std::vector<std::string> push;            ///< machines to be told something at once
  std::vector<std::string> over;            ///< jobs that are ended, until nothing of them is left
  std::map<std::uint32_t, DoneSlot> done_slots;
  std::map<std::uint32_t, OwnershipBlock> ownership_blocks;
  std::vector<UnreachableMachine> handover;  ///< by the last leader, for the loading

  bool ready() const { return stage == Stage::ready; }
  void changed() { next_pass = Micros{0}; }
  void request_push(Machine& m) {
    if (std::exchange(m.push_pending, true)) return;
    push.push_back(m.name);
  }
  /// Ended: nothing of it may start, and all of it has to go.
  void end(Job& job) {
    if (std::exchange(job.ended, true)) return;
    over.push_back(job.spec.id);
  }
  bool all_reconciled() const {
    return std::all_of(machines.begin(), machines.end(), [](const auto& m) { return m.second.reconciled; });
  }
  /// An award may have been taken back, and its job cancelled, since the awards were last read.
  bool award_is_stale(const Job& job, Micros now) const {
    return !job.owner.empty() && !award_freshness.is_valid(now);
  }
  /// Whether tasks of the job may be started. Asked right before a placement: a term may have ended, and
  /// begun again without a word from the key-value store, since the queue was made.
  bool may_start(const Job& job, Micros now) const {
    return job.can_start(now) && !job.unreconciled && !award_is_stale(job, now);
  }
  /// Unique among all attempts that were ever made: fencing tokens are, and they grow.
  std::uint64_t next_attempt() { return (fencing_token.value() << 16) + ++starts; }

  // ---- sums, kept as things change ---------------------------------------------------------------

  /// Changes a placement by `f`, and all sums with it.
  template <class F>
  void change(Machine& m, const AttemptId& id, Placement& p, F&& f) {
    count(m, id, p, -1);
    f(p);
    count(m, id, p, 1);
  }
  /// A new placement of a task; it counts for its team, or for every team if the job is not known.
  Placement& place(Machine& m, const AttemptId& id, Job* job) {
    Placement& p = m.tasks[id];
    identify(p, m, job);
    count(m, id, p, 1);
    return p;
  }
  void identify(Placement& p, const Machine& m, const Job* job) {
    p.of_known_job = job != nullptr;
    p.of_service = job != nullptr && job->spec.shape == Shape::service;
    p.each = job != nullptr ? job->spec.each : m.size;
    if (job != nullptr) p.image = job->spec.image, p.image_gb = job->spec.image_gb;
    p.usage = job != nullptr ? &quota.usage.by_team[job->spec.team] : &quota.usage.by_unknown_jobs;
  }
  void remove(Machine& m, const AttemptId& id) {
    auto it = m.tasks.find(id);
    if (it == m.tasks.end()) return;
    count(m, id, it->second, -1);
    m.tasks.erase(it);
  }
  void set_reconciled(Machine& m, bool reconciled) {
    if (m.reconciled == reconciled) return;
    count_usage(m, -1);
    m.reconciled = reconciled;
    count_usage(m, 1);
  }
  /// Adds or takes away a machine, or what is on it, in the sums of the shard.
  void count_usage(const Machine& m, int sign) {
    if (!m.reconciled) {
      quota.usage.unreconciled += quota_of(m.size) * sign;
      return;
    }
    for (const auto& [id, p] : m.tasks)
      if (p.takes_room()) *p.usage += quota_of(p.each) * sign;
  }

  Quota used(const std::string& team) const { return quota.usage.of(team); }
  Quota quota_share(const std::string& team) const { return quota.share(team); }
  Quota free_quota_share(const std::string& team) const { return quota.free(team); }
  /// Whether all sums, of machines, jobs and quota, equal those counted afresh.
  bool sums_hold() const;

 private:
  void count(Machine& m, const AttemptId& id, Placement& p, int sign) {
    if (!p.takes_room()) return;
    m.used += p.each * sign;
    if (!p.wanted) m.being_released += p.each * sign;
    if (p.of_service) m.services += sign;
    if (m.reconciled) *p.usage += quota_of(p.each) * sign;
    if (p.of_known_job)
      if (auto job = jobs.find(id.task.job); job != jobs.end())
        job->second.present += static_cast<std::uint32_t>(sign);
  }
};

}  // namespace bendtide
