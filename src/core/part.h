// One shard of the cluster as its leader sees it: jobs, machines, and the share of each team's limit.
//
// The safety of "a task runs on one machine at a time" rests on Placement: one exists for as long as the
// task may be on that machine, and a task is placed again only once its placement is gone.
#pragma once

#include <string>
#include <utility>

#include "core/records.h"

namespace bendtide {

struct Machine;

struct Task {
  enum class State : std::uint8_t {
    waiting,   ///< to be started
    placed,    ///< on `machine`, or possibly
    done,      ///< finished, and recorded or about to be
    elsewhere  ///< awarded to another shard, or never ours
  };
  State state = State::waiting;
  Machine* machine = nullptr;
  std::uint64_t attempt = 0;  ///< the one that counts
};

/// A worker may hold several attempts of one task: an old one that ended beside the one that runs.
struct AttemptId {
  TaskId task;
  std::uint64_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

struct Job {
  JobSpec spec;
  Micros accepted{0};         ///< wall clock
  std::string owner;          ///< the shard whose job it is, here by awards; empty: ours
  bool unreconciled = false;  ///< loaded at a take-over: its tasks may be on machines not yet seen
  bool finalizing = false;    ///< its last write is under way
  bool ended = false;         ///< over: nothing of it may start, and all of it has to go
  std::vector<Task> tasks;
  std::vector<std::uint32_t> waiting;  ///< exactly the tasks in state waiting
  std::uint32_t done = 0;
  std::vector<bool> recorded;             ///< tasks whose end the key-value store holds
  std::vector<std::uint32_t> unrecorded;  ///< done, but not in the key-value store yet
  std::uint32_t present = 0;              ///< placements of it that take room, of any attempt
  std::set<std::string> failed_on;        ///< machines on which a task of it failed
  bool succeeded = false;
  Micros retry_at{0};
  int failures = 0;

  // contract net, at the owner
  std::map<std::string, std::string> awards;  ///< award key -> winning part
  std::uint32_t tasks_in_award = 0;           ///< tasks in an award whose write is under way
  Micros next_call{0};
  bool refused = false;        ///< the last call found no room elsewhere: machines are to be rented
  bool unrentable = false;     ///< the cloud has nothing for it
  std::uint32_t overflow = 0;  ///< tasks that found no room in the last pass
  bool quota_share_exhausted = false;
  bool only_where_cached = false;  ///< room is being made on a machine that caches its image

  /// Whether any task of it has been placed or is done.
  bool begun() const { return done > 0 || present > 0 || waiting.size() < tasks.size(); }
  bool can_start(Micros now) const { return !ended && !finalizing && !waiting.empty() && now >= retry_at; }
  /// A job that fails on several machines and never succeeds is taken to be faulty itself.
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
  std::uint32_t under_way() const { return static_cast<std::uint32_t>(tasks.size() - waiting.size()) - done; }
};

/// `wanted`, `seen` and `each` are changed through Part::change only, which keeps the sums.
struct Placement {
  enum class Seen : std::uint8_t { no, fetching, running, saving, ended };
  bool wanted = true;
  Seen seen = Seen::no;
  ExitCause cause = ExitCause::none;
  Resources each;
  Quota* usage = nullptr;  ///< the sum it counts in: of its team, or of tasks whose job is not known
  bool of_known_job = false;
  bool of_service = false;
  Micros ends_at{Micros::max()};     ///< expected, once it runs and if it ends by itself
  std::uint64_t last_listed_in = 0;  ///< the last status of the worker that lists it
  std::string image;
  double image_gb = 0;
  Micros placed_at{0};
  Micros running_since{0};
  Micros stop_requested_at{0};             ///< when it was first unwanted
  std::uint64_t start_sent_in = 0;         ///< the last heartbeat whose answer carried its start
  int pushed_starts_in_flight = 0;         ///< direct starts not answered yet
  std::uint64_t pushed_fencing_token = 0;  ///< the last fencing token under which it was started directly
  /// A direct start under this fencing token may still be executed (late or once more), until the worker has shown
  /// a higher one. 0: none.
  std::uint64_t late_start_token = 0;

  bool takes_room() const { return seen != Seen::ended; }
};

struct Machine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  Resources used;            ///< by tasks that take room
  Resources being_released;  ///< the part of it whose tasks are already told to stop
  int services = 0;          ///< tasks among them that run until they are cancelled
  Micros rented_at{0};       ///< wall clock
  std::uint32_t ownership_block = 0;
  bool in_use = false;  ///< its claim names its address: only then may anything be started on it

  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;  ///< of the newest status
  std::uint64_t heartbeat_sequence_number =
      0;                         ///< of the newest heartbeat in this incarnation: a repeat of it is a copy
  bool status_received = false;  ///< a status under a fencing token of this holding has come
  bool reconciled = false;       ///< its tasks are all known: it was heard, or its lease ran out
  Micros last_status_at{0};      ///< steady clock
  Micros last_heartbeat_at{0};   ///< when any heartbeat of it came, believed or not
  /// When it was sent a fencing token of this holding that it has not shown since. Not set by what was surely lost.
  std::optional<Micros> token_sent_at;
  Micros last_reply_at{0};                       ///< when we last received a heartbeat that we answered with 200
  bool lease_expired = false;                    ///< its lease is surely over
  std::uint64_t acknowledged_token = 0;          ///< in its newest status
  std::uint64_t last_reply_sequence_number = 0;  ///< the last heartbeat that we answered with commands
  std::uint64_t last_reply_token = 0;            ///< the fencing token in that answer
  Micros commands_sent_at{0};                    ///< when that answer was sent
  bool push_lost = false;                        ///< a pushed commands got no answer since the last heartbeat
  int lost_pushes = 0;                           ///< in a row, each followed by a heartbeat
  int missed_acknowledgements = 0;  ///< signs, in a row, that answers and commands don't reach it
  std::optional<Micros> preemption_notice_until;
  bool decommissioned = false;  ///< to be deleted; nothing is placed on it any more
  bool deleting = false;
  Micros idle_since{0};
  Micros needed_at{0};                ///< when it last held anything that is not best-effort
  std::set<std::string> failed_jobs;  ///< whose tasks failed on it since its last success
  bool quarantined = false;
  Micros cordoned_until{0};
  bool push_in_flight = false;  ///< pushed commands are under way
  bool push_pending = false;    ///< in the shard's list of machines to be told something at once
  std::map<AttemptId, Placement> tasks;
  struct Image {
    Micros used{0};
    double gb = 0;
  };
  std::map<std::string, Image> images;  ///< cached, as far as we know

  Resources free() const { return size - used; }
  /// The older of its last status that was believed (it may answer a command) and its last heartbeat.
  Micros last_contact() const { return std::min(last_status_at, last_heartbeat_at); }
  bool idle() const { return tasks.empty(); }
  /// Room of tasks that are going, or are expected to end by `when`.
  Resources released_by(Micros when) const {
    Resources out;
    for (const auto& [id, p] : tasks)
      if (p.takes_room() && (!p.wanted || p.ends_at <= when)) out += p.each;
    return out;
  }
};

inline Machine machine_from(const records::OwnedMachine& c) {
  Machine m;
  m.name = c.name;
  m.type = c.type;
  m.zone = c.zone;
  m.spot = c.spot;
  m.address = c.address;
  m.rented_at = c.rented_at;
  m.in_use = !c.address.empty();
  return m;
}

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
  std::uint64_t revision = 0;
  std::set<std::pair<std::string, std::uint32_t>> chunks;  ///< job and chunk of its tasks
  std::size_t bytes = 0;                                   ///< at most, with every task done
  bool dirty = false;
  bool outcome_unknown = false;  ///< a write without answer: its stamp has to be read
};

/// One record of machines that belong to the shard.
struct OwnershipBlock {
  std::uint64_t revision = 0;
  bool dirty = false;            ///< machines of it are gone
  bool urgent = false;           ///< machines of it came up, and are to be used
  bool writing = false;          ///< a write is under way
  bool outcome_unknown = false;  ///< a write without answer
};

struct Shard {
  enum class Stage : std::uint8_t { loading, ready };
  std::string name;
  std::uint64_t fencing_token = 0;
  std::uint64_t first_fencing_token = 0;  ///< of this holding: a status that shows less is from before it
  std::uint64_t leadership_term = 0;      ///< of this holding in this process
  Micros acquired_at{0};
  Stage stage = Stage::loading;
  bool advancing_fencing_token = false;
  Micros next_token_advance{0};
  bool advance_token_soon = false;  ///< a higher fencing token is needed to settle a pinned start
  bool advance_token_eventually =
      false;  ///< and some day, for workers to forget ended attempts that were started directly

  std::map<std::string, Quota> quota_shares;
  std::map<std::string, Quota> quota_in_transfer;  ///< share in a write under way: neither ours nor given yet
  std::uint64_t quota_revision = 0;
  bool quota_write_in_flight = false;  ///< a write or read of our room record is under way
  bool quota_stale = false;            ///< somebody else wrote our room record
  bool reading_awards = false;
  Micros awards_read_at{0};      ///< the awards to us are known as of then
  Micros awards_valid_until{0};  ///< and are acted on until then: they may be taken back unseen
  Micros next_awards{0};
  bool reading_progress = false;
  Micros next_progress{0};  ///< when to read what others did of our jobs
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
  void awards_read(Micros as_of, Micros term) {
    awards_read_at = as_of;
    awards_valid_until = as_of + term;
  }
  /// An award may have been taken back, and its job cancelled, since the awards were last read.
  bool award_is_stale(const Job& job, Micros now) const {
    return !job.owner.empty() && now >= awards_valid_until;
  }
  /// Whether tasks of the job may be started. Asked right before a placement: a term may have ended, and
  /// begun again without a word from the key-value store, since the queue was made.
  bool may_start(const Job& job, Micros now) const {
    return job.can_start(now) && !job.unreconciled && !award_is_stale(job, now);
  }
  /// Unique among all attempts that were ever made: fencing tokens are, and they grow.
  std::uint64_t next_attempt() { return (fencing_token << 16) + ++starts; }

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
    p.usage = job != nullptr ? &usage_[job->spec.team] : &usage_of_unknown_;
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
      usage_unreconciled_ += quota_of(m.size) * sign;
      return;
    }
    for (const auto& [id, p] : m.tasks)
      if (p.takes_room()) *p.usage += quota_of(p.each) * sign;
  }

  /// What a team uses, or might: on a machine not reconciled any team may use all of it, and a task of a job we
  /// don't know counts for every team.
  Quota used(const std::string& team) const {
    auto it = usage_.find(team);
    return usage_unreconciled_ + usage_of_unknown_ + (it == usage_.end() ? Quota{} : it->second);
  }
  Quota quota_share(const std::string& team) const {
    Quota q;
    if (auto it = quota_shares.find(team); it != quota_shares.end()) q = it->second;
    if (auto it = quota_in_transfer.find(team); it != quota_in_transfer.end()) q -= it->second;
    return q;
  }
  Quota free_quota_share(const std::string& team) const { return quota_share(team) - used(team); }
  /// The same, counted afresh: what the sums are checked against.
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

  std::map<std::string, Quota> usage_;  ///< on reconciled machines, by team
  Quota usage_of_unknown_;
  Quota usage_unreconciled_;
};

}  // namespace bendtide
