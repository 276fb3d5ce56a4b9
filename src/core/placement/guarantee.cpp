#include "core/placement/guarantee.h"

namespace bendtide {

namespace {

std::int64_t prorated(std::int64_t guarantee, std::int64_t share, std::int64_t limit) {
  if (limit == 0) return 0;
  return static_cast<std::int64_t>(static_cast<double>(guarantee) * static_cast<double>(share) /
                                   static_cast<double>(limit));
}

}  // namespace

Quota guarantee_of(const Settings& settings, const Shard& shard, const std::string& team_name) {
  const Team* team = settings.team(team_name);
  if (team == nullptr) return {};
  const Quota share = shard.quota_share(team_name);
  return {prorated(team->guarantee.cpu, share.cpu, team->limit.cpu),
          prorated(team->guarantee.gpu, share.gpu, team->limit.gpu)};
}

Micros shortest_guarantee_objective(const Settings& settings) {
  Micros shortest{0};
  for (const Objective& objective : settings.objectives) {
    if (objective.kind != Objective::Kind::guarantee) continue;
    if (shortest == Micros{0} || objective.within < shortest) shortest = objective.within;
  }
  return shortest;
}

}  // namespace bendtide
