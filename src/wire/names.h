// Paths, query parameters and JSON fields of the protocols, all defined here.
//
// Each constant is named after the usual term for its meaning. Its value is the name that the protocol
// prescribes, which often differs and must not change. Comments explain the values that would mislead a
// reader.
#pragma once

namespace bendtide::wire::names {

// Paths.
inline constexpr char kJobsPath[] = "/work";
inline constexpr char kCancelSuffix[] = "/cancel";  ///< appended to the path of a job
inline constexpr char kHealthPath[] = "/healthz";
inline constexpr char kHeartbeatPath[] = "/checkin";
inline constexpr char kCommandsPath[] = "/orders";
inline constexpr char kMachineTypesPath[] = "/catalog";
inline constexpr char kMachinesPath[] = "/machines";
inline constexpr char kDeleteMachinesPath[] = "/machines/delete";
inline constexpr char kKeysPath[] = "/keys";
inline constexpr char kTransactionPath[] = "/multi";
inline constexpr char kLeasesPath[] = "/leases";
inline constexpr char kRenewSuffix[] = "/renew";  ///< appended to the path of a lease

// Fields of jobs, tasks and workers. Fields whose name ends in "S" are in seconds.
inline constexpr char kJobIdPrefix[] = "run-";
inline constexpr char kUid[] = "uid";  ///< the id of a job; in lists of the cloud, the name of a machine
inline constexpr char kJobClass[] = "jobclass";
inline constexpr char kTeam[] = "crew";
inline constexpr char kShape[] = "shape";
inline constexpr char kPriority[] = "rank";
inline constexpr char kTasks[] = "shards";  ///< number or list of tasks, not the shards of a controller
inline constexpr char kTask[] = "shard";    ///< a task, not a shard of a controller
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
inline constexpr char kIncarnation[] = "watch";          ///< of a worker; changes with each restart
inline constexpr char kSequenceNumber[] = "tick";        ///< of a heartbeat; counts within the incarnation
inline constexpr char kFencingToken[] = "baton";         ///< from a worker: the highest one that it has seen
inline constexpr char kPreemptionNotice[] = "warningS";  ///< seconds until a spot machine is reclaimed
inline constexpr char kAttempt[] = "launch";
inline constexpr char kCause[] = "cause";
inline constexpr char kCommands[] = "orders";
inline constexpr char kVerb[] = "verb";
inline constexpr char kGracePeriod[] = "windDownS";
inline constexpr char kRedirect[] = "harbor";  ///< the controller that should receive the heartbeats

// Fields of cloud messages.
inline constexpr char kTypeName[] = "label";  ///< the name of a machine type in the catalog
inline constexpr char kCacheGb[] = "cacheGb";
inline constexpr char kFetchRate[] = "fetchGbPerS";
inline constexpr char kPrice[] = "hourly";
inline constexpr char kSpotPrice[] = "marketPrice";
inline constexpr char kBootTime[] = "readyS";
inline constexpr char kIdempotencyKey[] = "charter";
inline constexpr char kCount[] = "howMany";
inline constexpr char kAge[] = "ageS";

// Query parameters and fields of paged lists, in the cloud and in the key-value store.
inline constexpr char kAfter[] = "from";  ///< the page starts after this name
inline constexpr char kLimit[] = "most";  ///< maximum number of entries on a page
inline constexpr char kMore[] = "more";   ///< whether another page follows

// Fields of key-value store messages.
inline constexpr char kKey[] = "path";
inline constexpr char kValue[] = "v";
inline constexpr char kRevision[] = "stamp";         ///< the revision of one key
inline constexpr char kStoreRevision[] = "epoch";    ///< the revision of the whole store
inline constexpr char kFailedCompares[] = "failed";  ///< the keys whose compare failed
inline constexpr char kLease[] = "mooring";
inline constexpr char kPrefix[] = "under";
inline constexpr char kEntries[] = "rows";
inline constexpr char kCompares[] = "when";
inline constexpr char kWrites[] = "writes";
inline constexpr char kPut[] = "put";
inline constexpr char kRemove[] = "remove";
inline constexpr char kTtl[] = "ttlMs";

}  // namespace bendtide::wire::names
