// Messages between controllers. codec/ encodes them.
//
// Messages are not acknowledged and may be lost or delayed. Therefore only JobEndNotice and LeaseTransfer
// change the state of a shard directly. Every other message leads to a reply to a user, to a negotiation
// whose outcome is a conditional write, or to an earlier read of the key-value store by the receiver.
// Durations are relative to the time at which the message was sent, because hosts do not share a steady
// clock.
#pragma once

#include <variant>

#include "core/model/worker_messages.h"

namespace bendtide {

/// A user's request, forwarded to a controller that can serve it. The receiver answers with a JobReply.
struct JobQuery {
  enum class Kind : std::uint8_t { poll, cancel, submit };
  std::uint64_t id = 0;  ///< chosen by the sender, which uses it to match the reply
  Kind kind = Kind::poll;
  std::string job;
  bool may_read_store = false;  ///< of a poll: whether the receiver may read the key-value store for it
  JobSpec spec;                 ///< set for a submission only
};

/// The answer to the JobQuery with the same id.
struct JobReply {
  std::uint64_t id = 0;
  std::uint32_t status = 503;  ///< HTTP status, as in replies to users
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;     ///< number of finished tasks
  std::uint64_t running = 0;  ///< number of running tasks
};

/// Contract net protocol: the initiator asks the leader of another shard for a Proposal. Later rounds repeat
/// the call with a higher `round` and with the fields that are disclosed from the second round on.
struct CallForProposals {
  std::uint64_t id = 0;
  std::uint32_t round = 1;
  std::string from_shard;
  std::string job;
  std::string team;
  std::uint32_t tasks = 0;         ///< number of tasks for which `from_shard` has no capacity
  Resources task_resources;        ///< required by one task
  std::vector<std::string> types;  ///< allowed machine types; empty: any
  std::string zone;                ///< the only allowed zone; empty: any
  bool spot = false;               ///< whether the tasks may run on spot machines
  std::string image;
  Quota spare_quota;       ///< the part of the team's quota share that can move with the tasks
  bool disclosed = false;  ///< whether the two fields below are set: true from the second round on
  Priority priority = Priority::normal;
  Micros time_to_deadline{0};  ///< time left until the job's deadline; 0: no deadline
};

/// Contract net protocol: how much of a call for proposals a shard can accept. A proposal reserves nothing.
/// An award based on it fails if the revision of the shard's quota allocation is no longer `quota_revision`.
struct Proposal {
  std::uint64_t id = 0;     ///< of the call for proposals
  std::uint32_t round = 1;  ///< of the call for proposals
  std::string shard;
  std::uint32_t tasks = 0;  ///< number of tasks that the shard can accept; 0: the shard refuses the call
  Micros start_delay{0};    ///< time until the tasks can start
  std::uint32_t load_permille = 0;  ///< used part of the shard's cpu capacity, in thousandths
  Revision quota_revision = 0;      ///< of the shard's quota allocation record; 0: unknown
  Quota free_quota_share;           ///< the team's unused quota share; also set in a refusal
};

/// The awards to a shard, or its quota allocation, have changed. This is only a hint: the receiver rereads
/// both.
struct AwardNotice {
  std::string shard;  ///< the shard that won the award or received the quota share
};

/// The final state of a job has been written, so none of its tasks may run any longer, whichever shard they
/// were awarded to. The notice goes to every controller, because shards change their leaders. The receiver
/// acts on it without reading the key-value store. That is safe because it only stops tasks of a job that has
/// ended.
struct JobEndNotice {
  std::string job;
};

/// Another shard has recorded finished tasks of jobs that `shard` owns. This is only a hint: the receiver
/// reads the records.
struct ProgressNotice {
  std::string shard;  ///< the owner of the jobs
};

/// The home host of a shard is available again and asks the current leader to transfer the shard back.
struct FailbackRequest {
  std::string shard;
};

/// The health of the sender, sent to every controller at regular intervals.
struct PeerHealth {
  bool store_responsive = false;  ///< whether the key-value store responds to the sender
  /// Number of heartbeats that the sender has received since its last health message from workers of machines
  /// that the receiver owns.
  std::uint32_t redirected_heartbeats = 0;
};

/// A machine that does not respond to the sender of a LeaseTransfer, and the tasks that may run on it.
struct UnreachableMachine {
  std::string machine;
  Micros since_last_status{0};  ///< time since the machine's last status arrived
  Micros since_last_reply{0};  ///< time since the last reply to the machine, which renewed its worker's lease
  std::vector<TaskStatus> tasks;
};

/// The sender has given up the leadership of a shard. The receiver may acquire the shard by replacing the
/// lease record, on condition that its revision is still the one that `fencing_token` represents.
struct LeaseTransfer {
  std::string shard;
  FencingToken fencing_token = 0;
  /// Whether the transfer answers a FailbackRequest of the receiver. Otherwise the sender can't serve the
  /// shard.
  bool is_failback = false;
  std::vector<UnreachableMachine> unreachable;
};

/// Asks the leader of shard `from` to transfer unused quota share of a team to shard `to`. The leader
/// transfers what its own jobs do not need, which may be nothing, and sends an AwardNotice once the transfer
/// is written.
struct QuotaTransferRequest {
  std::string from;
  std::string to;
  std::string team;
  Quota max_amount;           ///< the largest amount to transfer
  Micros job_accepted_at{0};  ///< wall clock: when the job that needs the share was accepted
};

/// The cloud has refused to create machines of this offering for the sender, for lack of capacity. This is
/// only a hint: the receiver can avoid the offering for a while.
struct CapacityExhausted {
  std::string type;
  std::string zone;
  bool spot = false;
};

/// The order of the alternatives is part of the encoding, so new ones must be appended.
using PeerMessage =
    std::variant<JobQuery, JobReply, CallForProposals, Proposal, AwardNotice, ProgressNotice, FailbackRequest,
                 QuotaTransferRequest, CapacityExhausted, PeerHealth, LeaseTransfer, JobEndNotice>;

}  // namespace bendtide
