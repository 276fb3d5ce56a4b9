// Reads of the unfinished jobs of a shard, which find jobs whose acceptance got no answer.
#pragma once

#include "core/jobs/job_directory.h"

namespace bendtide {

class UnfinishedJobReader {
 public:
  UnfinishedJobReader(ControllerState& state, JobDirectory& directory)
      : state_(state), directory_(directory) {}

  /// Reads the records of unfinished jobs if it is time, and loads those of the shard that it does not have.
  void read(Shard& shard);
  /// Has the next read made soon: a job may have been accepted without this controller knowing.
  void read_soon(Shard& shard);

 private:
  void on_records(Shard& shard, Micros requested_at, const StoreResponse& response);

  ControllerState& state_;
  JobDirectory& directory_;
};

}  // namespace bendtide
