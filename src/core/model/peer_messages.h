// Messages between controllers; codec/ encodes them.
//
// They are sent without acknowledgement, and may be lost or late. So no message
// but JobEndNotice and LeaseTransfer changes what a shard holds: it answers a user, starts a negotiation
// whose outcome is a conditional write, or makes the receiver read the key-value store sooner. Spans of time
// are relative to when the message was sent, as hosts share no steady clock.
#pragma once

#include <variant>

#include "core/model/worker_messages.h"

namespace bendtide {

/// A user's request passed on to a controller that can serve it. It is answered with a JobReply.
struct JobQuery {
  enum class Kind : std::uint8_t { poll, cancel, submit };
  std::uint64_t id = 0;  ///< chosen by the sender, who matches the reply by it
  Kind kind = Kind::poll;
  std::string job;
  bool fresh = false;  ///< a poll that may cost a read of the key-value store
  JobSpec spec;        ///< of a submission only
};

/// The answer to the JobQuery with the same id.
struct JobReply {
  std::uint64_t id = 0;
  std::uint32_t status = 503;  ///< HTTP status, as for users
  JobPhase phase = JobPhase::pending;
  std::uint64_t done = 0;     ///< tasks
  std::uint64_t running = 0;  ///< tasks
};

/// Contract net: the initiator's call to the leader of another shard, which answers with a Proposal. In later
/// rounds it is sent again with a higher `round` and what is disclosed by then.
struct CallForProposals {
  std::uint64_t id = 0;
  std::uint32_t round = 1;
  std::string from_shard;
  std::string job;
  std::string team;
  std::uint32_t tasks = 0;         ///< that found no capacity in `from_shard`
  Resources each;                  ///< what one task takes
  std::vector<std::string> types;  ///< machine types the job may run on; empty: any
  std::string zone;                ///< empty: any
  bool spot = false;               ///< whether spot machines will do
  std::string image;
  Quota spare_quota;       ///< share of the team that the initiator can hand over with the tasks
  bool disclosed = false;  ///< whether the two fields below are set: from the second round on
  Priority priority = Priority::normal;
  Micros deadline_in{0};  ///< until the job's deadline; 0: none
};

/// Contract net: what a shard can take of a call. It reserves nothing; an award based on it fails once the
/// shard's allocation record has another revision than `quota_revision`.
struct Proposal {
  std::uint64_t id = 0;     ///< of the call
  std::uint32_t round = 1;  ///< of the call
  std::string shard;
  std::uint32_t tasks = 0;          ///< 0: refusal
  Micros start_delay{0};            ///< until the tasks can start
  std::uint32_t load_permille = 0;  ///< used thousandths of the cpu of the shard's machines
  Revision quota_revision = 0;      ///< of the shard's allocation record; 0: not known
  Quota free_quota_share;           ///< of the call's team, unused; set in a refusal, too
};

/// The awards to a shard, or its share of quota, have changed. A hint only: the receiver reads both again.
struct AwardNotice {
  std::string shard;  ///< the winner
};

/// The final state of a job is written: none of its tasks may run, wherever they were awarded to. Sent to
/// every controller, as the leaders of shards change. The receiver acts on it without reading the key-value
/// store, which is safe since it only ever stops what is over.
struct JobEndNotice {
  std::string job;
};

/// Another shard has recorded finished tasks of jobs of `shard`. A hint only: the receiver reads them.
struct ProgressNotice {
  std::string shard;  ///< the owner of the jobs
};

/// A shard's home host is back and asks the present leader for the shard.
struct FailbackRequest {
  std::string shard;
};

/// Sent to every controller at intervals: whether the key-value store answers the sender, and how many
/// heartbeats it got since its last message from workers whose machines the receiver owns.
struct PeerHealth {
  bool store_responsive = false;
  std::uint32_t your_heartbeats = 0;
};

/// A machine that did not answer the sender of a LeaseTransfer, and what may run on it.
struct UnreachableMachine {
  std::string machine;
  Micros status_ago{0};  ///< since its last status
  Micros reply_ago{0};   ///< since the last reply to it, which renewed its lease
  std::vector<TaskStatus> tasks;
};

/// The sender has given up the leadership of a shard. The receiver may acquire it by replacing the very lease
/// record that `fencing_token` stands for.
struct LeaseTransfer {
  std::string shard;
  FencingToken fencing_token = 0;
  bool asked_for = false;  ///< by a FailbackRequest of the receiver; else the sender can't serve the shard
  std::vector<UnreachableMachine> unreachable;
};

/// Asks the leader of `from` to transfer unused share of a team's limit to the shard `to`. It gives what its
/// own jobs do not need, which may be nothing, and answers with an AwardNotice once that is written.
struct QuotaTransferRequest {
  std::string from;
  std::string to;
  std::string team;
  Quota want;             ///< at most this much
  Micros waits_since{0};  ///< wall clock: when the job that needs it was accepted
};

/// The cloud has refused the sender machines of this offering for lack of capacity. A hint: the receiver need
/// not try it for a while.
struct CapacityExhausted {
  std::string type;
  std::string zone;
  bool spot = false;
};

/// The order of the alternatives is part of the encoding: new ones go to the end.
using PeerMessage =
    std::variant<JobQuery, JobReply, CallForProposals, Proposal, AwardNotice, ProgressNotice, FailbackRequest,
                 QuotaTransferRequest, CapacityExhausted, PeerHealth, LeaseTransfer, JobEndNotice>;

}  // namespace bendtide
