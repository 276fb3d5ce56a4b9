#include "core/state/shard.h"

namespace bendtide {

bool Shard::sums_hold() const {
  QuotaUsage usage;
  std::map<std::string, std::uint32_t> present;
  for (const auto& [name, m] : machines) {
    Resources used, being_released;
    int services = 0;
    if (!m.reconciled) usage.unreconciled += quota_of(m.size);
    for (const auto& [id, p] : m.tasks) {
      if (!p.takes_room()) continue;
      used += p.each;
      if (!p.wanted) being_released += p.each;
      if (p.of_service) ++services;
      auto job = jobs.find(id.task.job);
      if (p.of_known_job) ++present[id.task.job];
      if (m.reconciled)
        (p.of_known_job && job != jobs.end() ? usage.by_team[job->second.spec.team]
                                             : usage.by_unknown_jobs) += quota_of(p.each);
    }
    if (used != m.used || being_released != m.being_released || services != m.services) return false;
  }
  for (const auto& [id, job] : jobs)
    if (job.present != present[id]) return false;
  for (const auto& [team, sum] : quota.usage.by_team)
    if (sum != usage.by_team[team]) return false;
  return usage.by_unknown_jobs == quota.usage.by_unknown_jobs &&
         usage.unreconciled == quota.usage.unreconciled;
}

}  // namespace bendtide
