#include "core/placement/queue_order.h"

#include <tuple>

#include "core/placement/guarantee.h"

namespace bendtide {

namespace {

/// Stands in place of the number of missed objectives if the first task is overdue. Less than any such
/// number, so that the job precedes all other jobs of its priority.
constexpr int kFirstTaskOverdue = -1;

/// Returns the latest start (wall clock) at which the job still meets the objective, or none if the objective
/// does not apply to the job.
std::optional<Micros> latest_start(const Job& job, const Objective& objective) {
  switch (objective.kind) {
    case Objective::Kind::wait:
      return job.accepted_at + objective.within;
    case Objective::Kind::finished:
      return job.accepted_at + objective.within - job.spec.estimated_task_duration;
    case Objective::Kind::deadline: {
      if (!job.spec.deadline) return std::nullopt;
      const Micros within = seconds(objective.times * in_seconds(*job.spec.deadline));
      return job.accepted_at + within - job.spec.estimated_task_duration;
    }
    case Objective::Kind::guarantee:
      break;  // applies to teams, not to single jobs
  }
  return std::nullopt;
}

bool first_task_is_overdue(const Job& job, const Context& context) {
  return job.done == 0 && job.placement_count == 0 &&
         context.wall - job.accepted_at > Settings::kFirstTaskOverdueAfter;
}

auto rank(const QueueEntry& entry) {
  const Job& job = *entry.job;
  return std::tuple(-static_cast<int>(job.spec.priority), entry.missed_objectives, !entry.guaranteed,
                    entry.start_by, job.accepted_at, std::string_view(job.spec.id));
}

}  // namespace

Urgency urgency_of(const Job& job, const Context& context) {
  Urgency urgency{0, job.deadline_at()};
  if (job.spec.shape != Shape::array) return urgency;
  for (const Objective& objective : context.settings.objectives) {
    if (objective.job_class != job.spec.job_class) continue;
    const std::optional<Micros> start_by = latest_start(job, objective);
    if (!start_by) continue;
    if (context.wall > *start_by)
      ++urgency.missed_objectives;
    else
      urgency.start_by = std::min(urgency.start_by, *start_by);
  }
  return urgency;
}

void rebuild_queue(Shard& shard, const Context& context) {
  shard.queue.clear();
  for (auto& [id, job] : shard.jobs) {
    job.tasks_without_capacity = 0;
    job.quota_share_exhausted = false;
    if (job.waiting.empty()) job.without_capacity_since = Micros{0};
    if (!shard.may_start(job, context.now)) continue;
    const std::string& team = job.spec.team;
    Urgency urgency = urgency_of(job, context);
    // Prevents starvation: under constant load there are always more urgent jobs, and a job could wait for
    // its first task forever.
    if (first_task_is_overdue(job, context)) urgency.missed_objectives = kFirstTaskOverdue;
    const Quota used_with_one_more = shard.used(team) + quota_of(job.spec.task_resources);
    const bool guaranteed = used_with_one_more.fits_in(guarantee_of(context.settings, shard, team));
    shard.queue.push_back({&job, urgency.missed_objectives, urgency.start_by, guaranteed});
  }
  std::sort(shard.queue.begin(), shard.queue.end(),
            [](const QueueEntry& a, const QueueEntry& b) { return rank(a) < rank(b); });
}

}  // namespace bendtide
