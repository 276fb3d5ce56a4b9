#include "core/jobs.h"

namespace bendtide {

Jobs::Jobs(Cluster& cluster, Hooks hooks)
    : cluster_(cluster),
      hooks_(std::move(hooks)),
      // A reply to a question of an earlier process of this host must not pass for one to ours.
      next_question_(cluster.context.random() >> 8) {}

void Jobs::tick() {
  give_up_late_questions();
  give_up_queued_submissions();
  if (!cluster_.acting()) return;
  Part* own = cluster_.ready(cluster_.self());
  if (own != nullptr && !queued_submissions_.empty()) write_accepted(*own);
  for (auto& [name, part] : cluster_.parts) {
    if (!part.ready()) continue;
    end_finished_jobs(part);
    record(part);
    settle(part);
    reread(part);
  }
}

}  // namespace bendtide
