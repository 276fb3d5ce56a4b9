// A machine of a shard and the tasks placed on it.
//
// Placement ensures that a task runs on at most one machine at a time: a placement exists for as long as the
// task may be on that machine, and a task is placed again only after its placement has been removed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/model/records.h"
#include "core/model/worker_messages.h"
#include "core/state/acknowledgements.h"
#include "core/state/image_cache.h"
#include "core/state/liveness.h"
#include "core/state/machine_lifecycle.h"
#include "core/state/start_delivery.h"

namespace bendtide {

/// Identifies one attempt to run a task. A worker may hold several attempts of the same task: ended ones in
/// addition to the running one.
struct AttemptId {
  TaskId task;
  std::uint64_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// An attempt that is, or may be, on a machine. `wanted`, `reported_state` and `resources` must be changed
/// only through Shard::change_placement, which updates the sums. Times are on the steady clock.
struct Placement {
  enum class ReportedState : std::uint8_t { no, fetching, running, saving, ended };
  bool wanted = true;                                ///< false once the attempt is to be stopped
  ReportedState reported_state = ReportedState::no;  ///< the state that the worker last reported
  ExitCause cause = ExitCause::none;
  Resources resources;     ///< resources that the task takes
  Quota* usage = nullptr;  ///< the sum that includes it: that of its team, or that of unknown jobs
  bool of_known_job = false;
  bool of_service = false;
  Micros ends_at{Micros::max()};     ///< expected end, if the task is running and ends by itself
  std::uint64_t last_listed_in = 0;  ///< sequence number of the worker's last status that lists the attempt
  std::string image;
  double image_gb = 0;
  Micros placed_at{0};
  Micros running_since{0};
  Micros stop_requested_at{0};  ///< when a stop was first sent; 0 if none was
  StartDelivery start;

  /// Returns whether the attempt takes resources of its machine.
  bool takes_resources() const { return reported_state != ReportedState::ended; }
};

/// A machine owned by a shard, as known to the leader. Times are on the steady clock unless noted otherwise.
struct Machine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  Resources used;                     ///< by attempts that take resources
  Resources being_released;           ///< the part of `used` taken by attempts that are no longer wanted
  int services = 0;                   ///< number of service tasks, which run until they are cancelled
  Micros created_at{0};               ///< wall clock
  std::uint32_t ownership_block = 0;  ///< number of the ownership record that names the machine
  bool in_use = false;  ///< the ownership record contains the address; no task may be started before that

  Liveness liveness;
  Acknowledgements acknowledgements;
  MachineLifecycle lifecycle;
  bool reconciled = false;  ///< all its tasks are known: a status was received, or its lease expired
  Micros idle_since{0};
  Micros last_needed_at{0};           ///< when it last had a task that is not best-effort
  std::set<std::string> failed_jobs;  ///< ids of jobs whose tasks failed on it since its last success
  bool push_in_flight = false;        ///< a pushed command request to it is in flight
  bool push_pending = false;          ///< it is in Shard::machines_to_push_to
  std::map<AttemptId, Placement> tasks;
  ImageCache images;

  Resources free() const { return size - used; }
  bool idle() const { return tasks.empty(); }
  /// Records that the worker has begun, or will begin, this incarnation. Messages that it sent in an earlier
  /// incarnation are ignored from now on.
  void begin_incarnation(std::uint64_t number) {
    liveness.begin_incarnation(number);
    acknowledgements.clear_reply();
  }
  /// Returns the resources of attempts that are no longer wanted or are expected to end by `when`.
  Resources released_by(Micros when) const {
    Resources released;
    for (const auto& [id, placement] : tasks)
      if (placement.takes_resources() && (!placement.wanted || placement.ends_at <= when))
        released += placement.resources;
    return released;
  }
};

/// Creates a machine from its entry in an ownership record.
inline Machine machine_from(const records::OwnedMachine& record) {
  Machine machine;
  machine.name = record.name;
  machine.type = record.type;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.address = record.address;
  machine.created_at = record.created_at;
  machine.in_use = !record.address.empty();
  return machine;
}

}  // namespace bendtide
