// Which machines have failed: silent, unreachable for what is sent to them, or behind a cut.
#include "core/fleet.h"

namespace bendtide {

namespace {

/// A zone may be cut off for that many of its workers' leases before its machines are given up.
constexpr int kCutLeases = 8;
constexpr int kLostOrders = 2;  ///< that many in a row, with a report after each, are a sign

}  // namespace

/// Whether a report that came just now can have been sent after what we sent at `ours` could have reached the
/// worker. While it waits for an answer it sends no other report: one that comes sooner was held back on its
/// way, or what we answered was. Such a report says nothing of what reaches the machine.
bool Fleet::was_sent_after(Micros ours) const { return state_.now() - ours >= Settings::kWorkerPatience; }

/// A cut may swallow one order and hold the reports that it is followed by. But the machine is sent another
/// as soon as a report arrives: if that is lost too, and the machine reports again, nothing reaches it.
void Fleet::note_lost_orders(Shard& shard, Machine& m) {
  if (!std::exchange(m.order_lost, false)) return;
  shard.push_to(m);
  if (++m.lost_orders >= kLostOrders) add_unreachable_sign(shard, m, kStrongSign);
}

void Fleet::clear_unreachable_signs(Machine& m) {
  m.unreachable_signs = m.lost_orders = 0;
  m.order_lost = false;
}

/// A machine with signs against it is asked directly: if it answers, they are void.
void Fleet::add_unreachable_sign(Shard& shard, Machine& m, int weight) {
  m.unreachable_signs += weight;
  shard.push_to(m);
}

bool Fleet::usable(const Machine& m) const {
  const Micros now = state_.now();
  return m.heard && m.settled && m.in_use && !m.lost && !m.condemned && !m.quarantined && !m.notice_until &&
         m.unreachable_signs < kUnreachableSigns - 1 && now >= m.avoid_until &&
         // Orders may reach one that can't report, but do not renew its lease.
         now - m.last_contact() <= state_.context.settings.report_every * 2 + millis(500);
}

void Fleet::watch(Shard& shard) {
  const Micros now = state_.now();
  const Settings& s = state_.context.settings;
  const Micros lease = surely_over(s.worker_lease);
  const Micros silence =
      seconds(state_.context.policy.silence_reports * in_seconds(s.report_every) * 1.25) + seconds(1);
  for (auto& [name, m] : shard.machines) {
    if ((m.heard || !m.tasks.empty()) && !m.lost && now > m.last_answered + lease) {
      // Nobody renewed its lease: the worker has killed and forgotten everything.
      m.lost = true;
      shard.settle(m, true);
      // Its next session has begun. A held report of the old one would bring back tasks that are gone.
      ++m.session;
      m.sequence = m.reported_sequence = m.answered_in = 0;
      if (!m.tasks.empty()) state_.context.info("machine " + name + " is silent for its whole lease");
      release_all(shard, m);
    }
    if (!m.heard && !m.settled && now > m.last_answered + lease) shard.settle(m, true);
    if (m.quarantined && m.idle() && now - m.idle_since > seconds(3)) m.condemned = true;
    trim_images(m);
  }
  // A cut is to be noticed before the first machine has been silent for long enough to be deleted.
  watch_zones(shard, s.report_pause());
  for (auto& [name, m] : shard.machines) {
    // Deaf: its reports arrive, but neither answers nor commands reach it.
    const bool deaf = m.unreachable_signs >= kUnreachableSigns;
    const bool silent = (m.heard || !m.tasks.empty()) && now - m.last_contact() > silence &&
                        !shard.cut_zones.contains(m.zone);
    if (m.condemned || !(deaf || silent)) continue;
    m.condemned = true;
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
    if (m.condemned || (!m.heard && booting(m))) continue;
    Tally& tally = zones[m.zone];
    ++tally.up;
    if (now - m.last_reported > late) ++tally.silent;
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
  return type == nullptr || state_.context.wall - m.rented <= type->boot * 5 / 2 + seconds(5);
}

}  // namespace bendtide
