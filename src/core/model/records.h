// The records kept in the key-value store, and their keys. The layout is bendtide's own.
//
//   hold/PART            who holds the shard; attached to the leader's lease; its stamp is the shard's
//   fencing token room/PART            the shard's share of each team's limit; its stamp is the room version
//   live/ID              the description of an unfinished job, and its shard: written when it is accepted
//   job/ID               the final state of a job: in the write that ends it, instead of live/ID
//   done/PART/SLOT       finished tasks of unfinished jobs, as bitmaps, written by the shard that ran them
//   award/PART/ID/ROUND  tasks of another shard's job awarded to PART
//   claim/PART/BLOCK     machines that belong to a shard
//   claim/-/PART         rewritten with every claim of a machine whose home the shard is
//   (core/ownership/machine_ownership.h) catalogue            machine types, for restarts while the cloud is
//   down policy               the operators' own settings
#pragma once

#include "core/model/job.h"
#include "core/model/machine_type.h"
#include "core/model/store_messages.h"

namespace bendtide::records {

struct LeaseRecord {
  std::string host;
  std::string incarnation;
};
struct QuotaAllocation {
  std::map<std::string, Quota> quota_shares;
};
struct FinalJob {
  JobPhase phase = JobPhase::pending;
  std::uint32_t tasks = 0;
};
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
struct Award {
  std::string owner;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges;  ///< first task, number of tasks
  LiveJob job;
};
struct OwnedMachine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  std::string address;
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
inline const std::string kHomeShards = "-";  ///< sorts before the name of any shard
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

Value to_json(const LeaseRecord&);
Value to_json(const QuotaAllocation&);
Value to_json(const FinalJob&);
Value to_json(const LiveJob&);
Value to_json(const Award&);
Value to_json(const std::vector<OwnedMachine>&);
/// How much one machine takes in a block, at most.
std::size_t owned_machine_bytes(const OwnedMachine&);
Value to_json(const std::vector<MachineType>&);
Value to_json(const std::vector<DoneBits>& done);
/// How much one chunk takes in a done record, at most.
std::size_t done_bytes(const std::string& job, std::size_t tasks);

/// A record that can't be read is none: the caller drops it and says so.
std::optional<LeaseRecord> lease_record(const Value&);
std::optional<QuotaAllocation> quota_allocation(const Value&);
std::optional<FinalJob> final_job(const Value&);
std::optional<LiveJob> live_job(const Value&);
std::optional<Award> award(const Value&);
std::optional<std::vector<OwnedMachine>> owned_machines(const Value&);
std::optional<std::vector<MachineType>> catalogue(const Value&);
std::optional<std::vector<DoneBits>> done(const Value&);

}  // namespace bendtide::records
