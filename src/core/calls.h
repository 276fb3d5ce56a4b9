// Events in, actions out: everything that crosses the border of the core.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <variant>

#include "core/types.h"

namespace bendtide {

using Value = nlohmann::json;  ///< a stored record; its layout is ours (core/records.h)

// ---- key-value store -------------------------------------------------------------------------------
struct Compare {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key does not exist
};

struct Write {
  std::string key;
  std::optional<Value> value;  ///< none: remove the key
  std::uint64_t lease = 0;     ///< 0: not attached to a lease
};

struct GetKey {
  std::string key;
};
struct ListPrefix {
  std::string prefix;
  std::string after;
};
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};
struct GrantLease {
  Micros term{0};
};
struct RenewLease {
  std::uint64_t lease = 0;
};
using StoreRequest = std::variant<GetKey, ListPrefix, Transaction, GrantLease, RenewLease>;

struct KeyValue {
  std::string key;
  Value value;
  std::uint64_t revision = 0;
};

struct StoreResponse {
  enum class Outcome : std::uint8_t {
    ok,
    absent,    ///< no such key or lease
    conflict,  ///< a condition did not hold
    refused,   ///< surely not executed
    unknown    ///< no answer: may have been executed, or may yet be
  };
  Outcome outcome = Outcome::unknown;
  std::vector<KeyValue> entries;
  bool more = false;
  std::uint64_t revision = 0;
  std::uint64_t lease = 0;
  std::vector<std::string> failed;  ///< with a conflict: the keys whose condition did not hold
  bool ok() const { return outcome == Outcome::ok; }
};

// ---- cloud ---------------------------------------------------------------------------------------
struct ListMachineTypes {};
struct CreateMachines {
  std::string idempotency_key;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};
struct DeleteMachines {
  std::vector<std::string> machines;
};
struct ListMachines {
  std::string after;
};
using CloudRequest = std::variant<ListMachineTypes, CreateMachines, DeleteMachines, ListMachines>;

struct CloudResponse {
  enum class Outcome : std::uint8_t { ok, no_capacity, refused, unknown };
  Outcome outcome = Outcome::unknown;
  std::vector<MachineType> types;
  std::vector<std::string> names;
  std::vector<CloudMachine> machines;
  bool more = false;
  bool ok() const { return outcome == Outcome::ok; }
};

// ---- workers -------------------------------------------------------------------------------------
struct CommandRequest {
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

struct CommandResponse {
  enum class Outcome : std::uint8_t { executed, refused, unknown };
  Outcome outcome = Outcome::unknown;
  std::optional<Heartbeat> heartbeat;
};

struct HeartbeatReply {
  int status = 503;
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
  std::string redirect;  ///< host of another controller, with 421
};

// ---- users ---------------------------------------------------------------------------------------
struct UserReply {
  int status = 503;
  std::string id;
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
  int retry_after_s = 0;
  std::string error;
};

// ---- operators -----------------------------------------------------------------------------------
struct AdminRequest {
  enum class What : std::uint8_t { policy, change_policy, shards, machines, jobs, negotiations };
  What what = What::policy;
  Value body;  ///< of a change
};

// ---- other controllers (see codec/) --------------------------------------------------------------
/// A user's request passed on to a controller that can serve it.
struct JobQuery {
  enum class Kind : std::uint8_t { poll, cancel, submit };
  std::uint64_t id = 0;
  Kind kind = Kind::poll;
  std::string job;
  bool fresh = false;  ///< a poll that is worth a read of the key-value store
  JobSpec spec;        ///< of a submission
};
struct JobReply {
  std::uint64_t id = 0;
  std::uint32_t status = 503;  ///< as for users
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};
/// Contract net: the call for proposals and, in later rounds, the call disclosed further.
struct CallForProposals {
  std::uint64_t id = 0;
  std::uint32_t round = 1;
  std::string from_shard;
  std::string job;
  std::string team;
  std::uint32_t tasks = 0;
  Resources each;
  std::vector<std::string> types;
  std::string zone;
  bool spot = false;
  std::string image;
  Quota spare_quota;  ///< share that the initiator can hand over with the tasks
  bool disclosed = false;
  Priority priority = Priority::normal;  ///< disclosed from the second round on
  Micros deadline_in{0};                 ///< disclosed; 0: none
};
struct Proposal {
  std::uint64_t id = 0;
  std::uint32_t round = 1;
  std::string shard;
  std::uint32_t tasks = 0;  ///< 0: refusal
  Micros start_delay{0};
  std::uint32_t load_permille = 0;
  std::uint64_t quota_revision = 0;
  Quota free_quota_share;
};
/// Hints: the receiver reads the key-value store afresh, and believes nothing else.
struct AwardNotice {
  std::string shard;
};
/// The last write of a job is made: nothing of it may run, wherever it was awarded to. Said to every
/// controller, as shards change hands. This alone is acted on without a read: it can only stop what is over.
struct JobEndNotice {
  std::string job;
};
struct ProgressNotice {
  std::string shard;  ///< the shard that owns the jobs
};
struct FailbackRequest {
  std::string shard;
};
/// Said to every controller now and then: whether the key-value store answers the sender, and how many heartbeats
/// it got lately from machines that the receiver holds.
struct PeerHealth {
  bool store_responsive = false;
  std::uint32_t your_heartbeats = 0;
};
/// What may be on a machine that is silent, as far as the sender knows.
struct UnreachableMachine {
  std::string machine;
  Micros status_ago{0};
  Micros reply_ago{0};
  std::vector<TaskStatus> tasks;
};
/// The sender has let go of a shard: the receiver may take it, over this very record.
struct LeaseTransfer {
  std::string shard;
  std::uint64_t fencing_token = 0;
  bool asked_for = false;  ///< by the receiver; else the sender can't serve it
  std::vector<UnreachableMachine> unreachable;
};
/// Asks the leader of `from` to hand unused share of a team's limit to the shard `to`.
struct QuotaTransferRequest {
  std::string from;
  std::string to;
  std::string team;
  Quota want;
  Micros waits_since{0};  ///< wall clock: when the job that needs it was accepted
};
/// The cloud has no more machines of this kind for now.
struct CapacityExhausted {
  std::string type;
  std::string zone;
  bool spot = false;
};
using PeerMessage =
    std::variant<JobQuery, JobReply, CallForProposals, Proposal, AwardNotice, ProgressNotice, FailbackRequest,
                 QuotaTransferRequest, CapacityExhausted, PeerHealth, LeaseTransfer, JobEndNotice>;

// ---- actions -------------------------------------------------------------------------------------
enum class LogLevel : std::uint8_t { error, info, debug };

struct StoreCall {
  std::uint64_t call = 0;
  StoreRequest request;
};
struct CloudCall {
  std::uint64_t call = 0;
  CloudRequest request;
};
struct WorkerCall {
  std::uint64_t call = 0;
  CommandRequest request;
};
struct PeerSend {
  std::string host;
  PeerMessage message;
};
struct AnswerUser {
  std::uint64_t request = 0;
  UserReply reply;
};
struct AnswerHeartbeat {
  std::uint64_t request = 0;
  HeartbeatReply reply;
};
struct AnswerAdmin {
  std::uint64_t request = 0;
  int status = 200;
  Value body;
};
struct LogLine {
  LogLevel level = LogLevel::info;
  std::string text;
};
using Action = std::variant<StoreCall, CloudCall, WorkerCall, PeerSend, AnswerUser, AnswerHeartbeat,
                            AnswerAdmin, LogLine>;

}  // namespace bendtide
