#include "core/jobs/unfinished_job_reader.h"

#include "core/runtime/unreadable_record.h"

namespace bendtide {

namespace {

constexpr Micros kReadInterval = seconds(60);
constexpr Micros kSoonDelay = seconds(3);  ///< delay of a read that is moved forward

}  // namespace

void UnfinishedJobReader::read(Shard& shard) {
  if (!shard.unfinished_jobs_read.due(state_.now())) return;
  shard.unfinished_jobs_read.begin();
  shard.unfinished_jobs_read.schedule(state_.now() + kReadInterval);
  state_.store.list(records::kLivePrefix, [this, name = shard.name, leadership_term = shard.leadership_term,
                                           requested_at = state_.now()](const StoreResponse& response) {
    Shard* current = state_.shard_in_term(name, leadership_term);
    if (current != nullptr) on_records(*current, requested_at, response);
  });
}

void UnfinishedJobReader::read_soon(Shard& shard) {
  shard.unfinished_jobs_read.bring_forward(state_.now() + kSoonDelay);
}

void UnfinishedJobReader::on_records(Shard& shard, Micros requested_at, const StoreResponse& response) {
  shard.unfinished_jobs_read.end();
  if (!response.ok()) return;
  for (const KeyValue& entry : response.entries) {
    const auto record = records::read_live_job(entry.value);
    if (!record) log_unreadable(state_.context, entry.key, record.error());
    if (record && record->shard == shard.name) directory_.load_if_current(shard, *record, requested_at);
  }
}

}  // namespace bendtide
