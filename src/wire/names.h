// The names that the published protocol gives to paths and JSON fields, here and nowhere else.
//
// A constant is called by the usual term for what it stands for; its value is the protocol's word, which is
// often another one. The values are fixed by the protocol. A comment stands where the two differ so much that
// the value would mislead.
#pragma once

namespace bendtide::wire::names {

// Paths.
inline constexpr char kJobsPath[] = "/work";
inline constexpr char kCancelSuffix[] = "/cancel";  ///< behind the path of a job
inline constexpr char kHealthPath[] = "/healthz";
inline constexpr char kHeartbeatPath[] = "/checkin";
inline constexpr char kCommandsPath[] = "/orders";
inline constexpr char kMachineTypesPath[] = "/catalog";
inline constexpr char kMachinesPath[] = "/machines";
inline constexpr char kDeleteMachinesPath[] = "/machines/delete";
inline constexpr char kKeysPath[] = "/keys";
inline constexpr char kTransactionPath[] = "/multi";
inline constexpr char kLeasesPath[] = "/leases";
inline constexpr char kRenewSuffix[] = "/renew";  ///< behind the path of a lease

// Fields of jobs, tasks and workers. A name that ends in "S" holds seconds.
inline constexpr char kJobIdPrefix[] = "run-";
inline constexpr char kUid[] = "uid";  ///< the id of a job; in the cloud's lists, the name of a machine
inline constexpr char kJobClass[] = "jobclass";
inline constexpr char kTeam[] = "crew";
inline constexpr char kShape[] = "shape";
inline constexpr char kPriority[] = "rank";
inline constexpr char kTasks[] = "shards";  ///< the protocol's "shard" is a task, and none of our shards
inline constexpr char kTask[] = "shard";
inline constexpr char kCpus[] = "cpus";
inline constexpr char kGpus[] = "cards";
inline constexpr char kMemory[] = "memGb";
inline constexpr char kImage[] = "payload";
inline constexpr char kImageGb[] = "pullGb";
inline constexpr char kMachineTypes[] = "hulls";
inline constexpr char kMachineType[] = "hull";
inline constexpr char kZone[] = "berth";
inline constexpr char kZones[] = "berths";
inline constexpr char kOneZone[] = "oneZone";
inline constexpr char kSpread[] = "apart";
inline constexpr char kSpot[] = "driftwood";
inline constexpr char kEstimate[] = "expectS";
inline constexpr char kCheckpoint[] = "snapshotS";
inline constexpr char kSave[] = "stowS";
inline constexpr char kDeadline[] = "dueS";
inline constexpr char kPhase[] = "phase";
inline constexpr char kDone[] = "done";
inline constexpr char kRunning[] = "running";
inline constexpr char kError[] = "error";
inline constexpr char kMachine[] = "helm";
inline constexpr char kMachines[] = "helms";
inline constexpr char kAddress[] = "address";
inline constexpr char kIncarnation[] = "watch";          ///< of a worker: another one after each restart
inline constexpr char kSequenceNumber[] = "tick";        ///< of a heartbeat, within the incarnation
inline constexpr char kFencingToken[] = "baton";         ///< the highest that the worker has seen
inline constexpr char kPreemptionNotice[] = "warningS";  ///< time left until a spot machine is taken back
inline constexpr char kAttempt[] = "launch";
inline constexpr char kCause[] = "cause";
inline constexpr char kCommands[] = "orders";
inline constexpr char kVerb[] = "verb";
inline constexpr char kGracePeriod[] = "windDownS";
inline constexpr char kRedirect[] = "harbor";  ///< the controller that a worker is to send its heartbeats to

// Fields of the cloud.
inline constexpr char kTypeName[] = "label";  ///< of a machine type in the catalogue
inline constexpr char kCacheGb[] = "cacheGb";
inline constexpr char kFetchRate[] = "fetchGbPerS";
inline constexpr char kPrice[] = "hourly";
inline constexpr char kSpotPrice[] = "marketPrice";
inline constexpr char kBootTime[] = "readyS";
inline constexpr char kIdempotencyKey[] = "charter";
inline constexpr char kCount[] = "howMany";
inline constexpr char kAge[] = "ageS";

// Parameters of lists, of the cloud and of the key-value store: a list comes in pages.
inline constexpr char kAfter[] = "from";  ///< a page begins behind this name
inline constexpr char kLimit[] = "most";  ///< of entries on a page
inline constexpr char kMore[] = "more";   ///< whether another page follows

// Fields of the key-value store.
inline constexpr char kKey[] = "path";
inline constexpr char kValue[] = "v";
inline constexpr char kRevision[] = "stamp";       ///< of one key
inline constexpr char kStoreRevision[] = "epoch";  ///< of the whole store
inline constexpr char kFailedCompares[] = "failed";
inline constexpr char kLease[] = "mooring";
inline constexpr char kPrefix[] = "under";
inline constexpr char kEntries[] = "rows";
inline constexpr char kCompares[] = "when";
inline constexpr char kWrites[] = "writes";
inline constexpr char kPut[] = "put";
inline constexpr char kRemove[] = "remove";
inline constexpr char kTtl[] = "ttlMs";

}  // namespace bendtide::wire::names
