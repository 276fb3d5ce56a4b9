// A machine of a shard, and the tasks on it.
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
#include "core/state/acknowledgements.h"
#include "core/state/image_cache.h"
#include "core/state/liveness.h"
#include "core/state/machine_lifecycle.h"
#include "core/state/start_delivery.h"

namespace bendtide {

/// A worker may hold several attempts of one task: an old one that ended beside the one that runs.
struct AttemptId {
  TaskId task;
  std::uint64_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// A task that is, or may be, on a machine. `wanted`, `seen` and `each` are changed through Shard::change
/// only, which keeps the sums. Times are of the steady clock.
struct Placement {
  enum class Seen : std::uint8_t { no, fetching, running, saving, ended };
  bool wanted = true;
  Seen seen = Seen::no;  ///< as its worker last reported
  ExitCause cause = ExitCause::none;
  Resources each;
  Quota* usage = nullptr;  ///< the sum it counts in: of its team, or of tasks whose job is not known
  bool of_known_job = false;
  bool of_service = false;
  Micros ends_at{Micros::max()};     ///< expected, once it runs and if it ends by itself
  std::uint64_t last_listed_in = 0;  ///< sequence number of the last status of the worker that lists it
  std::string image;
  double image_gb = 0;
  Micros placed_at{0};
  Micros running_since{0};
  Micros stop_requested_at{0};  ///< when a stop was first sent; 0: not yet
  StartDelivery start;

  /// Whether it takes resources of its machine.
  bool takes_resources() const { return seen != Seen::ended; }
};

/// Times are of the steady clock unless noted otherwise.
struct Machine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  Resources used;            ///< by tasks that take resources
  Resources being_released;  ///< by those of them that are no longer wanted
  int services = 0;          ///< number of the tasks that run until they are cancelled
  Micros rented_at{0};       ///< wall clock
  std::uint32_t ownership_block = 0;
  bool in_use = false;  ///< its ownership record names its address: only then may anything be started on it

  Liveness liveness;
  Acknowledgements acknowledgements;
  MachineLifecycle lifecycle;
  bool reconciled = false;  ///< its tasks are all known: a status has come, or its lease ran out
  Micros idle_since{0};
  Micros needed_at{0};                ///< when it last had anything that is not best-effort
  std::set<std::string> failed_jobs;  ///< whose tasks failed on it since its last success
  bool push_in_flight = false;        ///< a command request to it is under way
  bool push_pending = false;          ///< it is in the shard's list of machines to push commands to
  std::map<AttemptId, Placement> tasks;
  ImageCache images;

  Resources free() const { return size - used; }
  bool idle() const { return tasks.empty(); }
  /// Its worker has begun, or will begin, this incarnation; what it sent in an earlier one counts no more.
  void begin_incarnation(std::uint64_t number) {
    liveness.begin_incarnation(number);
    acknowledgements.forget_reply();
  }
  /// Resources of tasks that are no longer wanted, or are expected to end by `when`.
  Resources released_by(Micros when) const {
    Resources released;
    for (const auto& [id, placement] : tasks)
      if (placement.takes_resources() && (!placement.wanted || placement.ends_at <= when))
        released += placement.each;
    return released;
  }
};

/// `record`: of the machine in its ownership record.
inline Machine machine_from(const records::OwnedMachine& record) {
  Machine machine;
  machine.name = record.name;
  machine.type = record.type;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.address = record.address;
  machine.rented_at = record.rented_at;
  machine.in_use = !record.address.empty();
  return machine;
}

}  // namespace bendtide
