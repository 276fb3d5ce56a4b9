// A machine of a shard, and what is on it.
//
// The safety of "a task runs on one machine at a time" rests on Placement: one exists for as long as the
// task may be on that machine, and a task is placed again only once its placement is gone.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/model/records.h"
#include "core/model/worker_messages.h"

namespace bendtide {

/// A worker may hold several attempts of one task: an old one that ended beside the one that runs.
struct AttemptId {
  TaskId task;
  std::uint64_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
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
  Micros stop_requested_at{0};            ///< when it was first unwanted
  std::uint64_t start_sent_in = 0;        ///< the last heartbeat whose answer carried its start
  int pushed_starts_in_flight = 0;        ///< direct starts not answered yet
  FencingToken pushed_fencing_token = 0;  ///< the last fencing token under which it was started directly
  /// A direct start under this fencing token may still be executed (late or once more), until the worker has
  /// shown a higher one. 0: none.
  FencingToken late_start_token = 0;

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
  /// When it was sent a fencing token of this holding that it has not shown since. Not set by what was surely
  /// lost.
  std::optional<Micros> token_sent_at;
  Micros last_reply_at{0};              ///< when we last received a heartbeat that we answered with 200
  bool lease_expired = false;           ///< its lease is surely over
  FencingToken acknowledged_token = 0;  ///< in its newest status
  std::uint64_t last_reply_sequence_number = 0;  ///< the last heartbeat that we answered with commands
  FencingToken last_reply_token = 0;             ///< the fencing token in that answer
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

}  // namespace bendtide
