// A job of a shard, and what has become of its tasks.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace bendtide {

struct Machine;

struct Task {
  enum class State : std::uint8_t {
    waiting,   ///< to be started
    placed,    ///< on `machine`, as far as its leader knows
    done,      ///< finished, and recorded or about to be
    elsewhere  ///< awarded to another shard, or not among those awarded to this one
  };
  State state = State::waiting;
  Machine* machine = nullptr;
  std::uint64_t attempt = 0;  ///< number of its present attempt; others are to be stopped
};

/// A job with all of its tasks; or, of another shard's job, those tasks that were awarded to this shard.
struct Job {
  JobSpec spec;
  Micros accepted{0};  ///< wall clock
  std::string owner;   ///< the shard whose job it is, if tasks were awarded here; empty: this shard
  bool unreconciled =
      false;                ///< loaded by a new leader: its tasks may be on machines that are not reconciled
  bool finalizing = false;  ///< the write of its final state is in flight
  bool ended = false;       ///< no task of it may start, and all attempts are to be stopped
  std::vector<Task> tasks;
  std::vector<std::uint32_t> waiting;  ///< exactly the tasks in state waiting
  std::uint32_t done = 0;
  std::vector<bool> recorded;             ///< tasks whose end the key-value store holds
  std::vector<std::uint32_t> unrecorded;  ///< done, but not in the key-value store yet
  std::uint32_t present = 0;              ///< placements of it, of any attempt, that take resources
  std::set<std::string> failed_on;        ///< machines on which a task of it failed
  bool succeeded = false;                 ///< whether any task of it is done
  Micros retry_at{0};                     ///< steady clock; nothing of it is started before
  int failures = 0;                       ///< of its tasks, in all; the pause before a retry grows with them

  // ---- contract net

  /// Keys of its award records, and the winning shards. At the owner: all awards of its tasks; elsewhere: the
  /// awards to that shard.
  std::map<std::string, std::string> awards;
  std::uint32_t tasks_in_award = 0;  ///< tasks in an award whose write is under way, at the owner
  Micros next_call{0};               ///< steady clock: not to call for proposals before
  /// The last call for proposals found no capacity in other shards, or can't be made: machines are to be
  /// created.
  bool refused = false;

  // found out by the last scheduling pass and the last scale out
  std::uint32_t overflow = 0;          ///< tasks that found no capacity in this shard
  bool quota_share_exhausted = false;  ///< the shard's share of the team's quota does not allow more tasks
  bool only_where_cached = false;      ///< capacity is being released on a machine that caches its image
  bool no_offering = false;            ///< the cloud offers no machine for it at present

  /// Whether any task of it has been placed or is done.
  bool begun() const { return done > 0 || present > 0 || waiting.size() < tasks.size(); }
  bool can_start(Micros now) const { return !ended && !finalizing && !waiting.empty() && now >= retry_at; }
  /// A job that failed on several machines and never succeeded is taken to be faulty itself: it gets one
  /// attempt at a time.
  bool suspect() const { return !succeeded && failed_on.size() >= 2; }
  Micros due() const { return spec.deadline ? accepted + *spec.deadline : Micros::max(); }

  void set_waiting(std::uint32_t index) {
    tasks[index] = {};
    waiting.push_back(index);
  }
  /// Moves a task from `waiting` to any other state.
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
  /// Tasks that are neither done nor waiting: placed here, or awarded elsewhere.
  std::uint32_t tasks_in_progress() const {
    return static_cast<std::uint32_t>(tasks.size() - waiting.size()) - done;
  }
};

}  // namespace bendtide
