#include "core/jobs/jobs.h"

namespace bendtide {

Jobs::Jobs(ControllerState& state, Hooks hooks)
    : state_(state),
      hooks_(std::move(hooks)),
      // A reply to a question of an earlier process of this host must not pass for one to ours.
      next_question_(state.context.random() >> 8) {}

void Jobs::tick() {
  give_up_late_questions();
  give_up_queued_submissions();
  if (!state_.lease_valid()) return;
  Shard* own = state_.ready_shard(state_.self());
  if (own != nullptr && !queued_submissions_.empty()) write_accepted(*own);
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready()) continue;
    end_finished_jobs(shard);
    record(shard);
    settle(shard);
    reread(shard);
  }
}

}  // namespace bendtide
