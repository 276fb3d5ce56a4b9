#include "core/workers/failure_detector.h"

namespace bendtide {

namespace {

/// The number of worker leases for which a zone may stay unreachable before its machines are treated as
/// failed.
constexpr int kUnreachableZoneLeases = 8;
/// The idle time after which a quarantined machine is decommissioned.
constexpr Micros kQuarantinedIdleTime = seconds(3);
constexpr Micros kHeartbeatSlack = millis(500);
constexpr Micros kBootSlack = seconds(5);

/// Counts the machines of a zone that are expected to send heartbeats, and those of them that are silent.
struct ZoneCount {
  std::size_t expected = 0;
  std::size_t silent = 0;
  bool mostly_silent() const { return silent > 1 && silent * 2 > expected; }
};

/// Returns whether the worker may hold a lease: it has sent a status, or tasks may run on it.
bool may_hold_lease(const Machine& machine) {
  return machine.liveness.status_received || !machine.tasks.empty();
}

}  // namespace

bool FailureDetector::sent_after_delivery_of(Micros sent_at) const {
  return state_.now() - sent_at >= Settings::kHeartbeatTimeout;
}

/// A single lost push is weak evidence, because a network partition may drop it and delay the heartbeats that
/// follow. The machine is sent another push as soon as a heartbeat arrives. If that push is lost too and the
/// next heartbeat arrives, the machine probably receives nothing.
void FailureDetector::count_lost_push(Shard& shard, Machine& machine) {
  if (!machine.acknowledgements.consume_push_lost()) return;
  shard.request_push(machine);
  if (machine.acknowledgements.count_lost_push())
    add_missed_acknowledgement(shard, machine, Acknowledgements::kStrongEvidence);
}

void FailureDetector::add_missed_acknowledgement(Shard& shard, Machine& machine, int weight) {
  machine.acknowledgements.add_evidence(weight);
  shard.request_push(machine);
}

bool FailureDetector::is_usable(const Machine& machine) const {
  const Micros now = state_.now();
  const Liveness& liveness = machine.liveness;
  return liveness.status_received && machine.reconciled && machine.in_use && !liveness.lease_expired &&
         machine.lifecycle.accepts_tasks(now) && !machine.acknowledgements.suspected_unreachable() &&
         // A machine whose heartbeats do not arrive may still receive commands, but these do not renew its
         // lease.
         now - liveness.last_contact() <= state_.context.settings.heartbeat_interval * 2 + kHeartbeatSlack;
}

bool FailureDetector::may_be_booting(const Machine& machine) const {
  const MachineType* type = state_.machine_type(machine.type);
  return type == nullptr || state_.context.wall - machine.created_at <= type->boot * 5 / 2 + kBootSlack;
}

void FailureDetector::check(Shard& shard) {
  const Micros lease = upper_bound_on_local_clock(state_.context.settings.worker_lease);
  for (auto& [name, machine] : shard.machines) {
    check_lease(shard, machine, lease);
    if (machine.lifecycle.quarantined && machine.idle() &&
        state_.now() - machine.idle_since > kQuarantinedIdleTime)
      machine.lifecycle.decommissioned = true;
    trim_images(machine);
  }
  // An unreachable zone must be detected before its first machine has been silent long enough to be
  // decommissioned.
  check_zones(shard);
  decommission_failed(shard);
}

void FailureDetector::check_lease(Shard& shard, Machine& machine, Micros lease) {
  if (state_.now() <= machine.liveness.last_reply_at + lease) return;
  if (may_hold_lease(machine) && !machine.liveness.lease_expired) expire_lease(shard, machine);
  if (!machine.liveness.status_received) shard.set_reconciled(machine, true);
}

/// No reply renewed the lease, so the worker has killed and forgotten all its tasks. Its next incarnation
/// begins here: a delayed heartbeat of the old incarnation would otherwise restore tasks that no longer run.
void FailureDetector::expire_lease(Shard& shard, Machine& machine) {
  machine.liveness.lease_expired = true;
  shard.set_reconciled(machine, true);
  machine.begin_incarnation(machine.liveness.incarnation + 1);
  if (!machine.tasks.empty())
    state_.context.info(LogMessage("worker lease expired")
                            .shard(shard.name)
                            .machine(machine.name)
                            .reason("no heartbeat was replied to for the whole lease"));
  tasks_.release_all(shard, machine);
}

void FailureDetector::trim_images(Machine& machine) const {
  const MachineType* type = state_.machine_type(machine.type);
  if (type != nullptr) machine.images.trim(type->cache_gb);
}

/// If most machines of a zone are silent, the zone or this controller is probably partitioned from the
/// network. The machines are not decommissioned then, because they become reachable as soon as the partition
/// heals. They are treated as failed only if the partition lasts (kUnreachableZoneLeases).
void FailureDetector::check_zones(Shard& shard) {
  const Micros longest_pause = state_.context.settings.longest_heartbeat_pause();
  std::map<std::string, ZoneCount> zones;
  for (const auto& [name, machine] : shard.machines) {
    if (machine.lifecycle.decommissioned || (!machine.liveness.status_received && may_be_booting(machine)))
      continue;
    ZoneCount& count = zones[machine.zone];
    ++count.expected;
    if (state_.now() - machine.liveness.last_heartbeat_at > longest_pause) ++count.silent;
  }
  // A zone without machines sends no heartbeat that could show that it is reachable again.
  std::erase_if(shard.unreachable_zones,
                [&](const auto& unreachable_zone) { return !zones.contains(unreachable_zone.first); });
  for (const auto& [zone, count] : zones) {
    if (count.mostly_silent())
      on_zone_unreachable(shard, zone);
    else
      on_zone_reachable(shard, zone);
  }
}

void FailureDetector::on_zone_unreachable(Shard& shard, const std::string& zone) const {
  const auto unreachable_zone = shard.unreachable_zones.find(zone);
  if (unreachable_zone == shard.unreachable_zones.end()) {
    state_.context.info(LogMessage("zone unreachable").shard(shard.name).zone(zone));
    shard.unreachable_zones[zone] = state_.now();
  } else if (state_.now() - unreachable_zone->second >
             state_.context.settings.worker_lease * kUnreachableZoneLeases) {
    shard.unreachable_zones.erase(unreachable_zone);
  }
}

void FailureDetector::on_zone_reachable(Shard& shard, const std::string& zone) const {
  if (shard.unreachable_zones.erase(zone) == 0) return;
  state_.context.info(LogMessage("zone reachable again").shard(shard.name).zone(zone));
  shard.last_zone_recovery_at = state_.now();
  shard.request_scheduling_pass();
}

void FailureDetector::decommission_failed(Shard& shard) {
  const Micros heartbeat_interval = state_.context.settings.heartbeat_interval;
  const Micros longest_silence =
      seconds(state_.context.policy.silence_reports * in_seconds(heartbeat_interval) * 1.25) + seconds(1);
  for (auto& [name, machine] : shard.machines) {
    const bool unreachable = machine.acknowledgements.unreachable();
    const bool silent = may_hold_lease(machine) &&
                        state_.now() - machine.liveness.last_contact() > longest_silence &&
                        !shard.unreachable_zones.contains(machine.zone);
    if (machine.lifecycle.decommissioned || !(unreachable || silent)) continue;
    machine.lifecycle.decommissioned = true;
    state_.context.info(LogMessage("machine decommissioned")
                            .shard(shard.name)
                            .machine(name)
                            .reason(unreachable ? "it sends heartbeats but acknowledges nothing"
                                                : "its heartbeats or statuses no longer arrive"));
  }
}

}  // namespace bendtide
