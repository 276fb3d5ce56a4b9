#include "core/state/shard.h"

namespace bendtide {

bool Shard::sums_hold() const {
  std::map<std::string, Quota> usage;
  Quota unknown, unreconciled;
  std::map<std::string, std::uint32_t> present;
  for (const auto& [name, m] : machines) {
    Resources used, being_released;
    int services = 0;
    if (!m.reconciled) unreconciled += quota_of(m.size);
    for (const auto& [id, p] : m.tasks) {
      if (!p.takes_resources()) continue;
      used += p.each;
      if (!p.wanted) being_released += p.each;
      if (p.of_service) ++services;
      auto job = jobs.find(id.task.job);
      if (p.of_known_job) ++present[id.task.job];
      if (m.reconciled)
        (p.of_known_job && job != jobs.end() ? usage[job->second.spec.team] : unknown) += quota_of(p.each);
    }
    if (used != m.used || being_released != m.being_released || services != m.services) return false;
  }
  for (const auto& [id, job] : jobs)
    if (job.present != present[id]) return false;
  for (const auto& [team, sum] : usage_)
    if (sum != usage[team]) return false;
  return unknown == usage_of_unknown_ && unreconciled == usage_unreconciled_;
}

}  // namespace bendtide
