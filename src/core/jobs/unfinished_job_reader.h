// Periodic reads of the records of unfinished jobs.
#pragma once

#include "core/jobs/job_directory.h"

namespace bendtide {

/// Finds jobs of a shard whose acceptance write got no response, by reading the records of unfinished jobs.
class UnfinishedJobReader {
 public:
  UnfinishedJobReader(ControllerState& state, JobDirectory& directory)
      : state_(state), directory_(directory) {}

  /// Reads the records of unfinished jobs if a read is due, and loads the shard's jobs that are missing from
  /// it.
  void read(Shard& shard);
  /// Moves the next read forward, because a job may have been accepted without this controller's knowledge.
  void read_soon(Shard& shard);

 private:
  void on_records(Shard& shard, Micros requested_at, const StoreResponse& response);

  ControllerState& state_;
  JobDirectory& directory_;
};

}  // namespace bendtide
