// A job in a shard and the states of its tasks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/records.h"

namespace bendtide {

struct Machine;

/// The state of one task of a job, as known to the leader of the shard.
struct Task {
  enum class State : std::uint8_t {
    waiting,   ///< not started yet
    placed,    ///< on `machine`, as far as the leader knows
    done,      ///< finished; its completion is recorded or will be
    elsewhere  ///< awarded to another shard, or not among the tasks awarded to this one
  };
  State state = State::waiting;
  Machine* machine = nullptr;
  std::uint64_t attempt = 0;  ///< number of the current attempt; all others are to be stopped
};

/// An award of tasks of a job, as last read from or written to its record.
struct JobAward {
  std::string winner;  ///< the shard that the tasks are awarded to
  std::vector<records::TaskRange> ranges;
  Revision revision = 0;  ///< of the record
  /// Steady clock. A read of the record that was requested before this time may show an older state.
  Micros known_since{0};
};

/// A job that belongs to this shard, or the part of another shard's job whose tasks were awarded to this one.
struct Job {
  JobSpec spec;
  Micros accepted_at{0};  ///< wall clock
  std::string owner;      ///< the shard that the job belongs to; empty if that is this shard
  /// The job was loaded by a new leader, and its tasks may be on machines that are not reconciled yet.
  bool may_be_on_unreconciled_machines = false;
  bool finalizing = false;  ///< the write of its final state is in flight, or its outcome is unknown
  bool ended = false;       ///< none of its tasks may start, and all attempts are to be stopped
  std::vector<Task> tasks;
  std::vector<std::uint32_t> waiting;  ///< indexes of exactly the tasks in state `waiting`
  std::uint32_t done = 0;              ///< number of tasks in state `done`
  std::vector<bool> recorded;          ///< by task index: its completion is recorded in the key-value store
  std::vector<std::uint32_t> unrecorded;  ///< indexes of done tasks not yet recorded in the key-value store
  std::uint32_t placement_count = 0;      ///< number of its placements that take resources
  /// By name of a machine on which a task of the job failed: until when the job avoids the machine (steady
  /// clock). The failure may be due to a fault of the machine that passes.
  std::map<std::string, Micros> failed_on;
  bool succeeded = false;  ///< at least one task is done
  Micros retry_at{0};      ///< steady clock; no task is started, and the job not ended as done, before this
  int failures = 0;        ///< total task failures; the backoff before a retry grows with it

  // ---- contract net: negotiation with other shards

  /// By the key of the award record. At the owner: all awards of the job's tasks. At any other shard: the
  /// awards to that shard.
  std::map<std::string, JobAward> awards;
  std::uint32_t tasks_in_award = 0;  ///< at the owner: number of tasks in award writes in flight
  /// At the winner: number of tasks that are being returned to the owner. They are in state `elsewhere`.
  std::uint32_t tasks_in_return = 0;
  Micros last_return_at{0};              ///< at the winner; steady clock; when the last return ended
  bool has_changed_awards = false;       ///< at the winner: the task states do not yet reflect the awards
  Micros next_call_for_proposals_at{0};  ///< steady clock; the earliest time of the next call for proposals
  /// The last call for proposals found no capacity in other shards, or no call can be made, so that machines
  /// have to be created.
  bool needs_machines = false;

  // ---- results of the last scheduling pass and the last scale-out

  std::uint32_t tasks_without_capacity = 0;  ///< number of tasks for which this shard has no capacity
  /// Steady clock; since when every scheduling pass has left tasks without capacity; 0 if the last did not.
  Micros without_capacity_since{0};
  bool quota_share_exhausted = false;  ///< the shard's share of the team's quota allows no more tasks
  /// Tasks may be placed only on machines that cache the image: once lower-priority tasks there have stopped,
  /// the job starts sooner than it would anywhere else after a fetch.
  bool only_where_cached = false;
  bool no_offering = false;  ///< the cloud currently offers no machine that suits the job

  /// Returns whether the job belongs to this shard and has tasks awarded to others.
  bool has_outgoing_awards() const { return owner.empty() && !awards.empty(); }
  /// Returns whether any task has been placed or is done.
  bool has_begun() const { return done > 0 || placement_count > 0 || waiting.size() < tasks.size(); }
  bool can_start(Micros now) const { return !ended && !finalizing && !waiting.empty() && now >= retry_at; }
  /// Returns whether the job itself is presumed faulty, because it failed on two or more machines and no task
  /// of it succeeded. Such a job is limited to one attempt at a time.
  bool is_suspect() const { return !succeeded && failed_on.size() >= 2; }
  /// Returns whether no task of the job may be placed on the machine, because one failed there not long ago.
  bool avoids(const std::string& machine, Micros now) const {
    const auto failed = failed_on.find(machine);
    return failed != failed_on.end() && now < failed->second;
  }
  /// Wall clock; Micros::max() if the job has no deadline.
  Micros deadline_at() const { return spec.deadline ? accepted_at + *spec.deadline : Micros::max(); }

  void set_waiting(std::uint32_t index) {
    tasks[index] = {};
    waiting.push_back(index);
  }
  /// Moves a task from state `waiting` to the state of `next`.
  void leave_waiting(std::uint32_t index, Task next) {
    if (!waiting.empty() && waiting.back() == index)
      waiting.pop_back();
    else
      std::erase(waiting, index);
    tasks[index] = next;
  }
  void mark_done(std::uint32_t index, bool is_recorded) {
    if (tasks[index].state == Task::State::done) return;
    if (tasks[index].state == Task::State::waiting) leave_waiting(index, {});
    tasks[index] = {Task::State::done, nullptr, tasks[index].attempt};
    ++done;
    succeeded = true;
    if (is_recorded)
      recorded[index] = true;
    else
      unrecorded.push_back(index);
  }
  /// Number of tasks that are neither done nor waiting: placed in this shard, or awarded to another.
  std::uint32_t tasks_in_progress() const {
    return static_cast<std::uint32_t>(tasks.size() - waiting.size()) - done;
  }
};

}  // namespace bendtide
