// Which machines have failed: silent, unreachable for what is sent to them, or behind a cut.
#include "core/workers/fleet.h"

namespace bendtide {

namespace {

/// A zone may be cut off for that many of its workers' leases before its machines are given up.
constexpr int kCutLeases = 8;
constexpr int kLostPushLimit = 2;  ///< that many in a row, with a heartbeat after each, are a sign

}  // namespace

/// Whether a heartbeat that came just now can have been sent after what we sent at `ours` could have reached
/// the worker. While it waits for an answer it sends no other heartbeat: one that comes sooner was held back
/// on its way, or what we answered was. Such a heartbeat says nothing of what reaches the machine.
bool Fleet::was_sent_after(Micros ours) const { return state_.now() - ours >= Settings::kWorkerPatience; }

/// A cut may swallow one order and hold the heartbeats that it is followed by. But the machine is sent
/// another as soon as a heartbeat arrives: if that is lost too, and the machine reports again, nothing
/// reaches it.
void Fleet::note_lost_pushes(Shard& shard, Machine& m) {
  if (!std::exchange(m.push_lost, false)) return;
  shard.request_push(m);
  if (++m.lost_pushes >= kLostPushLimit) add_missed_acknowledgement(shard, m, kStrongEvidence);
}

void Fleet::clear_missed_acknowledgements(Machine& m) {
  m.missed_acknowledgements = m.lost_pushes = 0;
  m.push_lost = false;
}

/// A machine with signs against it is asked directly: if it answers, they are void.
void Fleet::add_missed_acknowledgement(Shard& shard, Machine& m, int weight) {
  m.missed_acknowledgements += weight;
  shard.request_push(m);
}

bool Fleet::usable(const Machine& m) const {
  const Micros now = state_.now();
  return m.status_received && m.reconciled && m.in_use && !m.lease_expired && !m.decommissioned &&
         !m.quarantined && !m.preemption_notice_until &&
         m.missed_acknowledgements < kMissedAcknowledgementLimit - 1 && now >= m.cordoned_until &&
         // Orders may reach one that can't report, but do not renew its lease.
         now - m.last_contact() <= state_.context.settings.heartbeat_interval * 2 + millis(500);
}

void Fleet::watch(Shard& shard) {
  const Micros now = state_.now();
  const Settings& s = state_.context.settings;
  const Micros lease = surely_over(s.worker_lease);
  const Micros silence =
      seconds(state_.context.policy.silence_reports * in_seconds(s.heartbeat_interval) * 1.25) + seconds(1);
  for (auto& [name, m] : shard.machines) {
    if ((m.status_received || !m.tasks.empty()) && !m.lease_expired && now > m.last_reply_at + lease) {
      // Nobody renewed its lease: the worker has killed and forgotten everything.
      m.lease_expired = true;
      shard.set_reconciled(m, true);
      // Its next incarnation has begun. A held heartbeat of the old one would bring back tasks that are gone.
      ++m.incarnation;
      m.sequence_number = m.heartbeat_sequence_number = m.last_reply_sequence_number = 0;
      if (!m.tasks.empty()) state_.context.info("machine " + name + " is silent for its whole lease");
      release_all(shard, m);
    }
    if (!m.status_received && !m.reconciled && now > m.last_reply_at + lease) shard.set_reconciled(m, true);
    if (m.quarantined && m.idle() && now - m.idle_since > seconds(3)) m.decommissioned = true;
    trim_images(m);
  }
  // A cut is to be noticed before the first machine has been silent for long enough to be deleted.
  watch_zones(shard, s.longest_heartbeat_pause());
  for (auto& [name, m] : shard.machines) {
    // Deaf: its heartbeats arrive, but neither answers nor commands reach it.
    const bool deaf = m.missed_acknowledgements >= kMissedAcknowledgementLimit;
    const bool silent = (m.status_received || !m.tasks.empty()) && now - m.last_contact() > silence &&
                        !shard.cut_zones.contains(m.zone);
    if (m.decommissioned || !(deaf || silent)) continue;
    m.decommissioned = true;
    state_.context.info("machine " + name + (deaf ? " reports but takes up nothing" : " is silent") +
                        ": it is to be deleted");
  }
}

/// If most machines of a zone are silent, then the way there is cut, or it is us who can't hear: they are not
/// deleted for it, as they will be back at once. Only when that lasts, they are given up.
void Fleet::watch_zones(Shard& shard, Micros late) {
  const Micros now = state_.now();
  struct Tally {
    std::size_t up = 0, silent = 0;
  };
  std::map<std::string, Tally> zones;
  for (const auto& [name, m] : shard.machines) {
    if (m.decommissioned || (!m.status_received && booting(m))) continue;
    Tally& tally = zones[m.zone];
    ++tally.up;
    if (now - m.last_heartbeat_at > late) ++tally.silent;
  }
  // With no machine left there, nothing would ever show that the zone can be reached again.
  std::erase_if(shard.cut_zones, [&](const auto& cut) { return !zones.contains(cut.first); });
  for (const auto& [zone, tally] : zones) {
    auto cut = shard.cut_zones.find(zone);
    if (tally.silent > 1 && tally.silent * 2 > tally.up) {
      if (cut == shard.cut_zones.end()) {
        state_.context.info("part " + shard.name + " can't reach its machines in zone " + zone);
        shard.cut_zones[zone] = now;
      } else if (now - cut->second > state_.context.settings.worker_lease * kCutLeases) {
        shard.cut_zones.erase(cut);
      }
    } else if (cut != shard.cut_zones.end()) {
      state_.context.info("part " + shard.name + " reaches its machines in zone " + zone + " again");
      shard.cut_zones.erase(cut);
      shard.cut_over = now;
      shard.changed();
    }
  }
}

/// Whether it may still be on its way up.
bool Fleet::booting(const Machine& m) const {
  const MachineType* type = state_.machine_type(m.type);
  return type == nullptr || state_.context.wall - m.rented_at <= type->boot * 5 / 2 + seconds(5);
}

}  // namespace bendtide
