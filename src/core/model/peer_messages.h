// Messages between controllers; codec/ gives them their form.
#pragma once

#include <variant>

#include "core/model/worker_messages.h"

namespace bendtide {

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
  Revision quota_revision = 0;
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

/// Said to every controller now and then: whether the key-value store answers the sender, and how many
/// heartbeats it got lately from machines that the receiver holds.
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
  FencingToken fencing_token = 0;
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

}  // namespace bendtide
