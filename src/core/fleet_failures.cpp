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
bool Fleet::was_sent_after(Micros ours) const { return cluster_.now() - ours >= Settings::kWorkerPatience; }

/// A cut may swallow one order and hold the reports that it is followed by. But the machine is sent another
/// as soon as a report arrives: if that is lost too, and the machine reports again, nothing reaches it.
void Fleet::note_lost_orders(Part& part, Machine& m) {
  if (!std::exchange(m.order_lost, false)) return;
  part.push_to(m);
  if (++m.lost_orders >= kLostOrders) add_unreachable_sign(part, m, kStrongSign);
}

void Fleet::clear_unreachable_signs(Machine& m) {
  m.unreachable_signs = m.lost_orders = 0;
  m.order_lost = false;
}

/// A machine with signs against it is asked directly: if it answers, they are void.
void Fleet::add_unreachable_sign(Part& part, Machine& m, int weight) {
  m.unreachable_signs += weight;
  part.push_to(m);
}

bool Fleet::usable(const Machine& m) const {
  const Micros now = cluster_.now();
  return m.heard && m.settled && m.in_use && !m.lost && !m.condemned && !m.quarantined && !m.notice_until &&
         m.unreachable_signs < kUnreachableSigns - 1 && now >= m.avoid_until &&
         // Orders may reach one that can't report, but do not renew its lease.
         now - m.last_contact() <= cluster_.context.settings.report_every * 2 + millis(500);
}

void Fleet::watch(Part& part) {
  const Micros now = cluster_.now();
  const Settings& s = cluster_.context.settings;
  const Micros lease = surely_over(s.worker_lease);
  const Micros silence =
      seconds(cluster_.context.policy.silence_reports * in_seconds(s.report_every) * 1.25) + seconds(1);
  for (auto& [name, m] : part.machines) {
    if ((m.heard || !m.tasks.empty()) && !m.lost && now > m.last_answered + lease) {
      // Nobody renewed its lease: the worker has killed and forgotten everything.
      m.lost = true;
      part.settle(m, true);
      // Its next session has begun. A held report of the old one would bring back tasks that are gone.
      ++m.session;
      m.sequence = m.reported_sequence = m.answered_in = 0;
      if (!m.tasks.empty()) cluster_.context.info("machine " + name + " is silent for its whole lease");
      release_all(part, m);
    }
    if (!m.heard && !m.settled && now > m.last_answered + lease) part.settle(m, true);
    if (m.quarantined && m.idle() && now - m.idle_since > seconds(3)) m.condemned = true;
    trim_images(m);
  }
  // A cut is to be noticed before the first machine has been silent for long enough to be deleted.
  watch_zones(part, s.report_pause());
  for (auto& [name, m] : part.machines) {
    // Deaf: its reports arrive, but neither answers nor commands reach it.
    const bool deaf = m.unreachable_signs >= kUnreachableSigns;
    const bool silent =
        (m.heard || !m.tasks.empty()) && now - m.last_contact() > silence && !part.cut_zones.contains(m.zone);
    if (m.condemned || !(deaf || silent)) continue;
    m.condemned = true;
    cluster_.context.info("machine " + name + (deaf ? " reports but takes up nothing" : " is silent") +
                          ": it is to be deleted");
  }
}

/// If most machines of a zone are silent, then the way there is cut, or it is us who can't hear: they are not
/// deleted for it, as they will be back at once. Only when that lasts, they are given up.
void Fleet::watch_zones(Part& part, Micros late) {
  const Micros now = cluster_.now();
  struct Tally {
    std::size_t up = 0, silent = 0;
  };
  std::map<std::string, Tally> zones;
  for (const auto& [name, m] : part.machines) {
    if (m.condemned || (!m.heard && booting(m))) continue;
    Tally& tally = zones[m.zone];
    ++tally.up;
    if (now - m.last_reported > late) ++tally.silent;
  }
  // With no machine left there, nothing would ever show that the zone can be reached again.
  std::erase_if(part.cut_zones, [&](const auto& cut) { return !zones.contains(cut.first); });
  for (const auto& [zone, tally] : zones) {
    auto cut = part.cut_zones.find(zone);
    if (tally.silent > 1 && tally.silent * 2 > tally.up) {
      if (cut == part.cut_zones.end()) {
        cluster_.context.info("part " + part.name + " can't reach its machines in zone " + zone);
        part.cut_zones[zone] = now;
      } else if (now - cut->second > cluster_.context.settings.worker_lease * kCutLeases) {
        part.cut_zones.erase(cut);
      }
    } else if (cut != part.cut_zones.end()) {
      cluster_.context.info("part " + part.name + " reaches its machines in zone " + zone + " again");
      part.cut_zones.erase(cut);
      part.cut_over = now;
      part.changed();
    }
  }
}

/// Whether it may still be on its way up.
bool Fleet::booting(const Machine& m) const {
  const MachineType* type = cluster_.type(m.type);
  return type == nullptr || cluster_.context.wall - m.rented <= type->boot * 5 / 2 + seconds(5);
}

}  // namespace bendtide
