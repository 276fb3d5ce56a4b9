// The records kept in the key-value store, and their keys. Keys and fields are part of the stored data: they
// stay as they are, also where the code has other names by now.
//
//   key                  record
//   hold/SHARD           LeaseRecord: the shard's leader; attached to the leader's lease. Its revision is the
//                        shard's fencing token
//   room/SHARD           QuotaAllocation: the shard's share of each team's limit
//   live/JOB             LiveJob: an unfinished job and its shard; written when the job is accepted
//   job/JOB              FinalJob: the final state of a job; replaces live/JOB in one transaction
//   done/SHARD/SLOT      DoneBits of unfinished jobs, written by the shard that ran the tasks
//   award/SHARD/JOB/ROUND  Award: tasks of another shard's job awarded to SHARD
//   claim/SHARD/BLOCK    OwnedMachine list: machines that belong to the shard
//   claim/-/SHARD        rewritten with every ownership record of a machine whose home is the shard
//                        (core/ownership/machine_ownership.h)
//   catalogue            machine types, for restarts while the cloud's API is down
//   policy               the operators' own settings (core/model/policy.h)
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
};
/// The part of each team's limit that a shard may use.
struct QuotaAllocation {
  std::map<std::string, Quota> quota_shares;  ///< by team
};
/// How a job ended.
struct FinalJob {
  JobPhase phase = JobPhase::pending;
  std::uint32_t tasks = 0;
};
/// An unfinished job.
struct LiveJob {
  std::string shard;
  JobSpec spec;
  Micros accepted{0};  ///< wall clock
};
/// Tasks of one job that are done: a bitmap for each chunk of kChunk tasks.
struct DoneBits {
  std::string job;
  std::uint32_t chunk = 0;
  std::vector<bool> bits;
};
/// Tasks that a shard has awarded to another.
struct Award {
  std::string owner;                                            ///< the shard whose job it is
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges;  ///< first task, number of tasks
  LiveJob job;
};
/// A machine that belongs to a shard.
struct OwnedMachine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  std::string address;  ///< empty until its worker has sent a heartbeat
  Micros rented_at{0};  ///< wall clock
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
inline std::string award_key(const std::string& shard, const std::string& id, std::uint64_t round) {
  return award_prefix(shard) + id + "/" + std::to_string(round);
}
inline const std::string kHomeShards = "-";  ///< in place of a shard; sorts before the name of any
inline std::string ownership_key(const std::string& shard, std::uint32_t block) {
  return "claim/" + shard + "/" + std::to_string(block);
}
inline std::string home_shard_key(const std::string& shard) { return "claim/" + kHomeShards + "/" + shard; }
/// Tasks in one chunk of a done record: its bitmap takes 1 KiB.
constexpr std::uint32_t kChunk = 4096;
inline const std::string kLeasePrefix = "hold/";
inline const std::string kLivePrefix = "live/";
inline const std::string kDonePrefix = "done/";
inline const std::string kAwardPrefix = "award/";
inline const std::string kOwnershipPrefix = "claim/";
inline const std::string kCatalogueKey = "catalogue";
inline const std::string kPolicyKey = "policy";

/// Splits a key at its slashes.
std::vector<std::string> split_key(const std::string& key);

// Writing.
Value to_json(const LeaseRecord&);
Value to_json(const QuotaAllocation&);
Value to_json(const FinalJob&);
Value to_json(const LiveJob&);
Value to_json(const Award&);
Value to_json(const std::vector<OwnedMachine>&);
/// Upper bound of the bytes that one machine takes in an ownership record.
std::size_t owned_machine_bytes(const OwnedMachine&);
Value to_json(const std::vector<MachineType>&);
Value to_json(const std::vector<DoneBits>& done);
/// Upper bound of the bytes that one chunk of `tasks` tasks takes in a done record.
std::size_t done_bytes(const std::string& job, std::size_t tasks);

// Reading. A record that can't be read is dropped by its reader, which logs the error.
ReadResult<LeaseRecord> lease_record(const Value&);
ReadResult<QuotaAllocation> quota_allocation(const Value&);
ReadResult<FinalJob> final_job(const Value&);
ReadResult<LiveJob> live_job(const Value&);
ReadResult<Award> award(const Value&);
ReadResult<std::vector<OwnedMachine>> owned_machines(const Value&);
ReadResult<std::vector<MachineType>> catalogue(const Value&);
ReadResult<std::vector<DoneBits>> done(const Value&);

/// Reads the record that a response to a GetKey shows, by one of the functions above.
template <class Record>
ReadResult<Record> read_first(const StoreResponse& response, ReadResult<Record> (*read)(const Value&)) {
  if (!response.ok() || response.entries.empty()) return ReadError{ReadError::Kind::no_record, {}};
  return read(response.entries.front().value);
}

}  // namespace bendtide::records
