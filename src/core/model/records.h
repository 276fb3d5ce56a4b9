// The records in the key-value store and their keys. The names of keys and fields are part of the stored data
// and must not change, even where the code uses other names for them.
//
//   key                     record
//   hold/SHARD              LeaseRecord: the leader of the shard; attached to the leader's lease. The
//                           revision of this key is the fencing token of the shard
//   room/SHARD              QuotaAllocation: the shard's share of the limit of each team
//   live/JOB                LiveJob: an unfinished job and the shard that owns it; written on acceptance
//   job/JOB                 FinalJob: the final state of a job; replaces live/JOB in the same transaction
//   done/SHARD/SLOT         list of DoneBits: finished tasks of unfinished jobs; written by the shard that
//                           ran the tasks
//   award/SHARD/JOB/NUMBER  Award: tasks of another shard's job that are awarded to SHARD
//   claim/SHARD/BLOCK       list of OwnedMachine: machines that the shard owns
//   claim/-/SHARD           rewritten by each write that adds a machine with this home shard to an ownership
//                           record (core/ownership/machine_ownership.h)
//   catalogue               list of MachineType; used after a restart while the cloud API is unavailable
//   policy                  Policy: the settings that operators change (core/model/policy.h)
#pragma once

#include "core/model/job.h"
#include "core/model/machine_type.h"
#include "core/model/read_result.h"
#include "core/model/store_messages.h"

namespace bendtide::records {

/// The leader of a shard.
struct LeaseRecord {
  std::string host;
  std::string incarnation;
  /// Whether the leader notices that tasks which the shard has awarded are returned to it (see Award). False
  /// in records of versions that do not read the records of the awards that they have made.
  bool accepts_returned_tasks = false;
};
/// The part of the limit of each team that a shard may use.
struct QuotaAllocation {
  std::map<std::string, Quota> quota_shares;  ///< by team
};
/// The final state of a job.
struct FinalJob {
  JobPhase phase = JobPhase::pending;
  std::uint32_t tasks = 0;  ///< number of tasks of the job
};
/// An unfinished job.
struct LiveJob {
  std::string shard;  ///< the owner
  JobSpec spec;
  Micros accepted_at{0};  ///< wall clock: when the job was accepted
};
/// The finished tasks in one chunk of kTasksPerChunk tasks of a job.
struct DoneBits {
  std::string job;
  std::uint32_t chunk = 0;  ///< number of the chunk; its first task is `chunk * kTasksPerChunk`
  std::vector<bool> bits;   ///< by task within the chunk: whether the task has finished
};
/// Consecutive tasks of a job: the first task and the number of tasks.
using TaskRange = std::pair<std::uint32_t, std::uint32_t>;
/// Tasks that the owner of a job has awarded to another shard, the winner. The winner removes the tasks that
/// it returns to the owner; the owner replaces the record when it awards further tasks of the job to the same
/// shard, and removes it when the job ends.
struct Award {
  std::string owner;              ///< the shard that owns the job
  std::vector<TaskRange> ranges;  ///< sorted
  LiveJob job;
};
/// A machine that a shard owns.
struct OwnedMachine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  std::string address;   ///< empty until its worker has sent a heartbeat
  Micros created_at{0};  ///< wall clock: when the machine was created
};

inline std::string lease_key(const std::string& shard) { return "hold/" + shard; }
inline std::string quota_key(const std::string& shard) { return "room/" + shard; }
inline std::string final_job_key(const std::string& id) { return "job/" + id; }
inline std::string live_key(const std::string& id) { return "live/" + id; }
inline std::string done_prefix(const std::string& shard) { return "done/" + shard + "/"; }
inline std::string done_key(const std::string& shard, std::uint32_t slot) {
  return done_prefix(shard) + std::to_string(slot);
}
inline std::string award_prefix(const std::string& shard) { return "award/" + shard + "/"; }
/// `number` distinguishes the awards of tasks of the same job to the same shard.
inline std::string award_key(const std::string& shard, const std::string& id, std::uint64_t number) {
  return award_prefix(shard) + id + "/" + std::to_string(number);
}
/// Stands in place of the shard name in the keys of home shard records, so that they sort before the
/// ownership records of all shards.
inline const std::string kHomeShardSegment = "-";
inline std::string ownership_key(const std::string& shard, std::uint32_t block) {
  return "claim/" + shard + "/" + std::to_string(block);
}
inline std::string home_shard_key(const std::string& shard) {
  return "claim/" + kHomeShardSegment + "/" + shard;
}
/// Number of tasks in one chunk of a done record. The bitmap of a chunk takes 1 KiB.
constexpr std::uint32_t kTasksPerChunk = 4096;
inline const std::string kLeasePrefix = "hold/";
inline const std::string kLivePrefix = "live/";
inline const std::string kDonePrefix = "done/";
inline const std::string kAwardPrefix = "award/";
inline const std::string kOwnershipPrefix = "claim/";
inline const std::string kCatalogueKey = "catalogue";
inline const std::string kPolicyKey = "policy";

/// Returns the parts of a key between its slashes.
std::vector<std::string> split_key(const std::string& key);

// Functions that write records.

Value to_json(const LeaseRecord&);
Value to_json(const QuotaAllocation&);
Value to_json(const FinalJob&);
Value to_json(const LiveJob&);
Value to_json(const Award&);
Value to_json(const std::vector<OwnedMachine>&);
/// Returns an upper bound on the bytes that a machine takes in an ownership record.
std::size_t max_owned_machine_bytes(const OwnedMachine&);
Value to_json(const std::vector<MachineType>&);
Value to_json(const std::vector<DoneBits>& done);
/// Returns an upper bound on the bytes that one chunk of `tasks` tasks takes in a done record.
std::size_t max_done_bytes(const std::string& job, std::size_t tasks);

// Functions that read records. Callers ignore a record that can't be read; log_unreadable() logs the error.

ReadResult<LeaseRecord> read_lease_record(const Value&);
ReadResult<QuotaAllocation> read_quota_allocation(const Value&);
ReadResult<FinalJob> read_final_job(const Value&);
ReadResult<LiveJob> read_live_job(const Value&);
ReadResult<Award> read_award(const Value&);
ReadResult<std::vector<OwnedMachine>> read_owned_machines(const Value&);
ReadResult<std::vector<MachineType>> read_catalogue(const Value&);
ReadResult<std::vector<DoneBits>> read_done_bits(const Value&);

/// Reads the record in the response to a GetKey with `read`, one of the functions above.
template <class Record>
ReadResult<Record> read_first(const StoreResponse& response, ReadResult<Record> (*read)(const Value&)) {
  if (!response.ok() || response.entries.empty()) return ReadError{ReadError::Kind::no_record, {}};
  return read(response.entries.front().value);
}

}  // namespace bendtide::records
