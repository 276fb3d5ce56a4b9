// Every name that PROTOCOL gives to a path, a field or a value: here, and nowhere else.
#pragma once

namespace bendtide::wire::names {

// Paths.
inline constexpr char kWork[] = "/work";
inline constexpr char kCancel[] = "/cancel";
inline constexpr char kHealth[] = "/healthz";
inline constexpr char kCheckin[] = "/checkin";
inline constexpr char kCommands[] = "/orders";
inline constexpr char kCatalog[] = "/catalog";
inline constexpr char kMachines[] = "/machines";
inline constexpr char kMachinesDelete[] = "/machines/delete";
inline constexpr char kKeys[] = "/keys";
inline constexpr char kMulti[] = "/multi";
inline constexpr char kLeases[] = "/leases";
inline constexpr char kRenew[] = "/renew";
inline constexpr char kJobPrefix[] = "run-";

// Fields of users and workers.
inline constexpr char kUid[] = "uid";
inline constexpr char kClass[] = "jobclass";
inline constexpr char kTeam[] = "crew";
inline constexpr char kShape[] = "shape";
inline constexpr char kPriority[] = "rank";
inline constexpr char kTasks[] = "shards";
inline constexpr char kTask[] = "shard";
inline constexpr char kCpus[] = "cpus";
inline constexpr char kGpus[] = "cards";
inline constexpr char kMemory[] = "memGb";
inline constexpr char kImage[] = "payload";
inline constexpr char kImageGb[] = "pullGb";
inline constexpr char kTypes[] = "hulls";
inline constexpr char kType[] = "hull";
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
inline constexpr char kMachineList[] = "helms";
inline constexpr char kAddress[] = "address";
inline constexpr char kSession[] = "watch";
inline constexpr char kSequence[] = "tick";
inline constexpr char kToken[] = "baton";
inline constexpr char kNotice[] = "warningS";
inline constexpr char kAttempt[] = "launch";
inline constexpr char kCause[] = "cause";
inline constexpr char kCommandList[] = "orders";
inline constexpr char kVerb[] = "verb";
inline constexpr char kGrace[] = "windDownS";
inline constexpr char kRedirect[] = "harbor";

// Fields of the cloud.
inline constexpr char kLabel[] = "label";
inline constexpr char kCacheGb[] = "cacheGb";
inline constexpr char kFetch[] = "fetchGbPerS";
inline constexpr char kPrice[] = "hourly";
inline constexpr char kSpotPrice[] = "marketPrice";
inline constexpr char kBoot[] = "readyS";
inline constexpr char kCharter[] = "charter";
inline constexpr char kCount[] = "howMany";
inline constexpr char kFrom[] = "from";
inline constexpr char kMost[] = "most";
inline constexpr char kAge[] = "ageS";
inline constexpr char kMore[] = "more";

// Fields of the key-value store.
inline constexpr char kKey[] = "path";
inline constexpr char kValue[] = "v";
inline constexpr char kStamp[] = "stamp";
inline constexpr char kFailed[] = "failed";
inline constexpr char kEpoch[] = "epoch";
inline constexpr char kLease[] = "mooring";
inline constexpr char kUnder[] = "under";
inline constexpr char kRows[] = "rows";
inline constexpr char kWhen[] = "when";
inline constexpr char kWrites[] = "writes";
inline constexpr char kPut[] = "put";
inline constexpr char kRemove[] = "remove";
inline constexpr char kTtl[] = "ttlMs";

}  // namespace bendtide::wire::names
