// The state of one shard of the cluster, as held by its leader: jobs, machines and quota shares.
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

/// A job that has tasks to start, with the values that determine its position in the queue of its shard
/// (see placement/queue_order.h).
struct QueueEntry {
  Job* job = nullptr;
  /// Number of objectives that the job can no longer meet; -1 if its first task is overdue.
  int missed_objectives = 0;
  Micros start_by{0};       ///< wall clock; the latest start that meets the next objective still achievable
  bool guaranteed = false;  ///< its team's guarantee covers one more task of the job
};

/// The state of a shard during one leadership term. Times are on the steady clock.
struct Shard {
  enum class Stage : std::uint8_t { loading, ready };
  std::string name;
  FencingToken fencing_token = 0;
  /// The first fencing token of this leadership term. A status that shows a lower token was sent before the
  /// term began.
  FencingToken first_fencing_token = 0;
  /// A fencing token that the lease record no longer has, as a transaction found; 0 if there is none.
  FencingToken superseded_token = 0;
  LeadershipTerm leadership_term = 0;
  Micros acquired_at{0};
  Stage stage = Stage::loading;
  TokenAdvance token_advance;

  QuotaLedger quota;
  AwardFreshness award_freshness;        ///< how long the awards to this shard may be acted on
  PeriodicRequest award_read;            ///< reads the awards to this shard
  PeriodicRequest outgoing_award_read;   ///< reads the awards that this shard has made
  Micros outgoing_awards_read_at{0};     ///< when the last such read was requested
  PeriodicRequest award_return;          ///< returns awarded tasks that this shard cannot start
  PeriodicRequest progress_read;         ///< reads which tasks of this shard's jobs other shards finished
  PeriodicRequest unfinished_jobs_read;  ///< finds jobs whose acceptance write got no response
  PeriodicRequest finished_tasks_write;  ///< records the tasks that finished in this shard

  std::map<std::string, Job> jobs;          ///< by job id
  std::map<std::string, Machine> machines;  ///< by name
  std::uint64_t attempt_count = 0;          ///< number of attempts made in this leadership term

  std::vector<QueueEntry> queue;  ///< as of the last scheduling pass
  /// Time of the next scheduling pass; 0 if a change requires one at once.
  Micros next_scheduling_pass_at{0};
  Micros next_failure_check_at{0};  ///< time of the next check for failed machines
  /// Unreachable zones, with the time at which each became so.
  std::map<std::string, Micros> unreachable_zones;
  Micros last_zone_recovery_at{0};  ///< when an unreachable zone last became reachable again
  /// Jobs were loaded from the key-value store, and some machines are not reconciled yet.
  bool has_unreconciled_jobs = false;
  std::vector<std::string> machines_to_push_to;  ///< names of the machines with `push_pending`
  std::vector<std::string> ended_jobs;  ///< ids of ended jobs that may still have attempts to be stopped
  std::map<std::uint32_t, FinishedTaskSlot> finished_task_slots;  ///< by slot number
  std::map<std::uint32_t, OwnershipBlock> ownership_blocks;       ///< by block number
  /// The unreachable machines reported by the previous leader at a lease transfer; empty once the shard is
  /// loaded.
  std::vector<UnreachableMachine> unreachable_at_handover;

  bool ready() const { return stage == Stage::ready; }
  /// Returns whether every transaction under the current fencing token would conflict. The leader must then
  /// read its lease record, and either learns its new token or has lost the shard.
  bool is_fence_superseded() const { return superseded_token != 0 && superseded_token == fencing_token; }
  /// Requests a scheduling pass as soon as possible.
  void request_scheduling_pass() { next_scheduling_pass_at = Micros{0}; }
  /// Adds the machine to those that the next push_commands pushes commands to.
  void request_push(Machine& machine) {
    if (std::exchange(machine.push_pending, true)) return;
    machines_to_push_to.push_back(machine.name);
  }
  /// Returns the job of a task; null if the shard has no such job or the job has no such task.
  Job* job_of(const TaskId& task) {
    const auto found = jobs.find(task.job);
    return found == jobs.end() || task.index >= found->second.tasks.size() ? nullptr : &found->second;
  }
  /// Marks the job as ended: none of its tasks may start, and all of its attempts are to be stopped.
  void mark_ended(Job& job) {
    if (std::exchange(job.ended, true)) return;
    ended_jobs.push_back(job.spec.id);
  }
  bool all_reconciled() const {
    return std::all_of(machines.begin(), machines.end(), [](const auto& m) { return m.second.reconciled; });
  }
  /// Returns whether the job was awarded by another shard and the awards are no longer valid: the owner may
  /// have withdrawn the award, or cancelled the job, since the awards were last read.
  bool award_is_stale(const Job& job, Micros now) const {
    return !job.owner.empty() && !award_freshness.is_valid(now);
  }
  /// Returns whether tasks of the job may be started. Must be checked immediately before each placement:
  /// since the queue was built, a leadership term may have ended and another begun without any response from
  /// the key-value store.
  bool may_start(const Job& job, Micros now) const {
    return job.can_start(now) && !job.may_be_on_unreconciled_machines && !award_is_stale(job, now);
  }
  /// Returns a number that is unique among all attempts ever made, since fencing tokens are unique and grow.
  std::uint64_t next_attempt() { return (fencing_token.value() << 16) + ++attempt_count; }

  // ---- sums, updated with each change ------------------------------------------------------------

  /// Applies `modify` to a placement and updates all sums.
  template <class Modify>
  void change_placement(Machine& machine, const AttemptId& id, Placement& placement, Modify&& modify) {
    count(machine, id, placement, -1);
    modify(placement);
    count(machine, id, placement, 1);
  }
  /// Adds a placement of a task. It counts against the quota of the job's team, or of every team if `job` is
  /// null (unknown).
  Placement& add_placement(Machine& machine, const AttemptId& id, Job* job) {
    Placement& placement = machine.tasks[id];
    assign_to_job(placement, machine, job);
    count(machine, id, placement, 1);
    return placement;
  }
  /// Assigns the placement to a job. A null `job` stands for an unknown job, whose placement counts as using
  /// the whole machine.
  void assign_to_job(Placement& placement, const Machine& machine, const Job* job) {
    placement.of_known_job = job != nullptr;
    if (job == nullptr) {
      placement.of_service = false;
      placement.resources = machine.size;
      placement.usage = &quota.usage.by_unknown_jobs;
      return;
    }
    placement.of_service = job->spec.shape == Shape::service;
    placement.resources = job->spec.task_resources;
    placement.image = job->spec.image;
    placement.image_gb = job->spec.image_gb;
    placement.usage = &quota.usage.by_team[job->spec.team];
  }
  void remove_placement(Machine& machine, const AttemptId& id) {
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
  /// Adds the machine and its tasks to the quota usage of the shard (sign 1) or subtracts them (sign -1).
  void count_usage(const Machine& machine, int sign) {
    if (!machine.reconciled) {
      quota.usage.unreconciled += quota_of(machine.size) * sign;
      return;
    }
    for (const auto& [id, placement] : machine.tasks)
      if (placement.takes_resources()) *placement.usage += quota_of(placement.resources) * sign;
  }

  Quota used(const std::string& team) const { return quota.usage.of(team); }
  Quota quota_share(const std::string& team) const { return quota.share(team); }
  Quota free_quota_share(const std::string& team) const { return quota.free(team); }
  /// Returns whether all sums of machines, jobs and quota equal the values recomputed from the placements.
  bool sums_are_consistent() const;

 private:
  void count(Machine& machine, const AttemptId& id, const Placement& placement, int sign) {
    if (!placement.takes_resources()) return;
    machine.used += placement.resources * sign;
    if (!placement.wanted) machine.being_released += placement.resources * sign;
    if (placement.of_service) machine.services += sign;
    if (machine.reconciled) *placement.usage += quota_of(placement.resources) * sign;
    if (!placement.of_known_job) return;
    if (const auto job = jobs.find(id.task.job); job != jobs.end())
      job->second.placement_count += static_cast<std::uint32_t>(sign);
  }
};

}  // namespace bendtide
