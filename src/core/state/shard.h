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
#include "core/state/done_slot.h"
#include "core/state/job.h"
#include "core/state/machine.h"
#include "core/state/ownership_block.h"
#include "core/state/periodic_request.h"
#include "core/state/quota_ledger.h"
#include "core/state/token_advance.h"

namespace bendtide {

/// A job that has tasks to start, with what decides on its position in the queue of its shard
/// (placement/queue_order.h).
struct QueueEntry {
  Job* job = nullptr;
  int missed_objectives = 0;  ///< that it can't meet any more; -1 if its first task is overdue
  Micros start_by{0};         ///< wall clock; the latest start for the next objective that it can meet
  bool guaranteed = false;    ///< one more task of it is within the guarantee of its team
};

struct Shard {
  enum class Stage : std::uint8_t { loading, ready };
  std::string name;
  FencingToken fencing_token = 0;
  FencingToken first_fencing_token = 0;  ///< of this term: a status that shows a lower one is from before it
  LeadershipTerm leadership_term = 0;
  Micros acquired_at{0};  ///< steady clock
  Stage stage = Stage::loading;
  TokenAdvance token_advance;

  QuotaLedger quota;
  AwardFreshness award_freshness;        ///< of the awards to this shard
  PeriodicRequest award_read;            ///< of the awards to this shard
  PeriodicRequest progress_read;         ///< of what other shards did of jobs of this one
  PeriodicRequest unfinished_jobs_read;  ///< finds jobs whose acceptance got no answer
  PeriodicRequest finished_tasks_write;

  std::map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::uint64_t starts = 0;  ///< numbers the attempts of this leadership term

  std::vector<QueueEntry> queue;  ///< as of the last pass
  Micros next_pass{0};            ///< steady clock; the next scheduling pass, zero if something has changed
  Micros next_watch{0};           ///< when to look for failed machines again
  std::map<std::string, Micros> cut_zones;  ///< zones that can't be reached, and since when
  Micros cut_over{0};                       ///< when one of them was last reached again
  bool has_unreconciled_jobs = false;       ///< jobs were loaded, and not all machines are reconciled yet
  std::vector<std::string> push;            ///< machines to push commands to
  std::vector<std::string> ended_jobs;      ///< until no attempt of them is left
  std::map<std::uint32_t, DoneSlot> done_slots;
  std::map<std::uint32_t, OwnershipBlock> ownership_blocks;
  std::vector<UnreachableMachine> handover;  ///< from the last leader, until the shard is loaded

  bool ready() const { return stage == Stage::ready; }
  void changed() { next_pass = Micros{0}; }
  /// Commands are to be pushed to the machine with the next push_commands.
  void request_push(Machine& machine) {
    if (std::exchange(machine.push_pending, true)) return;
    push.push_back(machine.name);
  }
  /// The job of a task; null if the shard has no such job, or the job no such task.
  Job* job_of(const TaskId& task) {
    const auto found = jobs.find(task.job);
    return found == jobs.end() || task.index >= found->second.tasks.size() ? nullptr : &found->second;
  }
  /// Ended: nothing of it may start, and all of it has to go.
  void end(Job& job) {
    if (std::exchange(job.ended, true)) return;
    ended_jobs.push_back(job.spec.id);
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

  /// Changes a placement by `modify`, and all sums with it.
  template <class Modify>
  void change(Machine& machine, const AttemptId& id, Placement& placement, Modify&& modify) {
    count(machine, id, placement, -1);
    modify(placement);
    count(machine, id, placement, 1);
  }
  /// A new placement of a task; it counts for its team, or for every team if the job is not known.
  Placement& place(Machine& machine, const AttemptId& id, Job* job) {
    Placement& placement = machine.tasks[id];
    identify(placement, machine, job);
    count(machine, id, placement, 1);
    return placement;
  }
  /// Makes it a placement of the job, or of an unknown one if `job` is null: that takes the whole machine.
  void identify(Placement& placement, const Machine& machine, const Job* job) {
    placement.of_known_job = job != nullptr;
    if (job == nullptr) {
      placement.of_service = false;
      placement.each = machine.size;
      placement.usage = &quota.usage.by_unknown_jobs;
      return;
    }
    placement.of_service = job->spec.shape == Shape::service;
    placement.each = job->spec.each;
    placement.image = job->spec.image;
    placement.image_gb = job->spec.image_gb;
    placement.usage = &quota.usage.by_team[job->spec.team];
  }
  void remove(Machine& machine, const AttemptId& id) {
    const auto found = machine.tasks.find(id);
    if (found == machine.tasks.end()) return;
    count(machine, id, found->second, -1);
    machine.tasks.erase(found);
  }
  void set_reconciled(Machine& machine, bool reconciled) {
    if (machine.reconciled == reconciled) return;
    count_usage(machine, -1);
    machine.reconciled = reconciled;
    count_usage(machine, 1);
  }
  /// Adds (sign 1) or takes away (-1) a machine and the tasks on it in the sums of the shard.
  void count_usage(const Machine& machine, int sign) {
    if (!machine.reconciled) {
      quota.usage.unreconciled += quota_of(machine.size) * sign;
      return;
    }
    for (const auto& [id, placement] : machine.tasks)
      if (placement.takes_resources()) *placement.usage += quota_of(placement.each) * sign;
  }

  Quota used(const std::string& team) const { return quota.usage.of(team); }
  Quota quota_share(const std::string& team) const { return quota.share(team); }
  Quota free_quota_share(const std::string& team) const { return quota.free(team); }
  /// Whether all sums, of machines, jobs and quota, equal those counted afresh.
  bool sums_are_consistent() const;

 private:
  void count(Machine& machine, const AttemptId& id, const Placement& placement, int sign) {
    if (!placement.takes_resources()) return;
    machine.used += placement.each * sign;
    if (!placement.wanted) machine.being_released += placement.each * sign;
    if (placement.of_service) machine.services += sign;
    if (machine.reconciled) *placement.usage += quota_of(placement.each) * sign;
    if (!placement.of_known_job) return;
    if (const auto job = jobs.find(id.task.job); job != jobs.end())
      job->second.present += static_cast<std::uint32_t>(sign);
  }
};

}  // namespace bendtide
