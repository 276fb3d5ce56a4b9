// The state shared by the modules of one controller.
#pragma once

#include "core/kvstore/key_value_client.h"
#include "core/runtime/context.h"
#include "core/state/final_states.h"
#include "core/state/shard.h"

namespace bendtide {

/// The leader of a shard, as last read from the shard's lease record.
struct ShardRoute {
  std::string host;         ///< empty if there is no lease record
  std::string incarnation;  ///< of the leader's process
  Revision revision = 0;    ///< of the lease record; 0 if there is none
  Micros absent_since{0};   ///< steady clock; when the record was first found absent; 0 if it is present
  bool ever_held = false;   ///< a lease record has been read since this process started
  bool accepts_returned_tasks = false;  ///< the leader notices that awarded tasks are returned to the shard
};

/// The health of a peer, as known to this controller. Times are on the steady clock; -1 means never.
struct PeerState {
  Micros last_health_at{-1};      ///< when its last health message arrived
  bool store_responsive = false;  ///< the peer reported that the key-value store responds to it
  /// When the peer last reported that it had received heartbeats meant for this controller.
  Micros redirected_heartbeats_reported_at{-1};
};

/// Whether a response that shows a job as unfinished may still be acted on when it arrives.
enum class Validity : std::uint8_t {
  current,   ///< the response may be acted on
  outdated,  ///< the job has ended and must not be resumed
  uncertain  ///< the job may have ended without this controller knowing: read its records again
};

/// The state of one controller. Each member is modified only by the module that it belongs to; all modules
/// may read it.
struct ControllerState {
  Context& context;
  KeyValueClient store;
  std::vector<MachineType> catalogue;
  std::map<std::string, Shard> shards;       ///< the shards led by this controller, by name
  std::map<std::string, ShardRoute> routes;  ///< the leaders of all shards, by shard name
  std::map<std::string, PeerState> peers;    ///< by host name
  /// Number of heartbeats redirected to each host since the last health message to it.
  std::map<std::string, std::uint32_t> redirected_heartbeats;
  Micros lease_valid_until{0};  ///< steady clock; the end of this controller's key-value store lease
  FinalStates final_states;
  std::uint64_t responses_not_acted_on = 0;  ///< number of responses that were outdated or uncertain

  explicit ControllerState(Context& shared_context) : context(shared_context), store(shared_context) {}

  Micros now() const { return context.now; }  ///< steady clock
  bool lease_valid() const { return now() < lease_valid_until; }
  /// The name of this controller's host, which is also the name of its own shard.
  const std::string& own_host() const { return context.settings.host; }

  /// Returns a shard that this controller leads. Null if it does not lead the shard, or must not act for it
  /// because its store lease has expired.
  Shard* held_shard(const std::string& name) {
    const auto found = shards.find(name);
    return found == shards.end() || !lease_valid() ? nullptr : &found->second;
  }
  /// Like held_shard(), but null until the shard is loaded.
  Shard* ready_shard(const std::string& name) {
    Shard* shard = held_shard(name);
    return shard != nullptr && shard->ready() ? shard : nullptr;
  }
  /// For callbacks: returns the shard if this controller has led it without interruption since the given term
  /// began, whether or not the store lease is currently valid; null otherwise.
  Shard* shard_in_term(const std::string& name, LeadershipTerm leadership_term) {
    const auto found = shards.find(name);
    if (found == shards.end() || found->second.leadership_term != leadership_term) return nullptr;
    return &found->second;
  }
  /// Returns null if the catalogue does not contain the type.
  const MachineType* machine_type(const std::string& name) const {
    const auto found = std::find_if(catalogue.begin(), catalogue.end(),
                                    [&](const MachineType& type) { return type.name == name; });
    return found == catalogue.end() ? nullptr : &*found;
  }
  /// Returns how long a machine of this type takes to fetch the job's image while it fetches nothing else; 0
  /// if that is not known.
  Micros fetch_time(const JobSpec& spec, const std::string& type_name) const {
    const MachineType* type = machine_type(type_name);
    if (type == nullptr || type->fetch_gb_per_s <= 0) return Micros{0};
    return seconds(spec.image_gb / type->fetch_gb_per_s);
  }
  /// Returns the host that leads a shard, or the shard's own host if the leader is not known.
  std::string leader_of(const std::string& shard) const {
    const auto found = routes.find(shard);
    return found == routes.end() || found->second.host.empty() ? shard : found->second.host;
  }
  /// Sends a message to the leader of a shard, which may be this controller.
  void send_to_leader_of(const std::string& shard, PeerMessage message) {
    context.emit(PeerSend{leader_of(shard), std::move(message)});
  }
  /// Returns whether a health message from the host arrived within kPeerTimeout. The controller's own host is
  /// always reachable.
  bool reachable(const std::string& host) const {
    if (host == own_host()) return true;
    const auto found = peers.find(host);
    if (found == peers.end() || found->second.last_health_at < Micros{0}) return false;
    return now() - found->second.last_health_at < kPeerTimeout;
  }
  /// A peer that sent no health message for this long is taken to be unreachable.
  static constexpr Micros kPeerTimeout = seconds(3);

  /// Returns whether a shard may act on a record or response that shows a job as unfinished and results from
  /// a request that this controller made at `requested_at` (steady clock). Every code path that loads a job
  /// must check this. Only the leader of a shard ends the shard's jobs, so `final_states` contains every job
  /// that ended in the current term. If the request was made before the shard was acquired, an earlier leader
  /// may have ended the job after the request.
  Validity validity(const Shard& shard, const std::string& job, Micros requested_at) const {
    if (final_states.has_ended(job)) return Validity::outdated;
    const bool knows_all_ends =
        requested_at >= shard.acquired_at && final_states.remembers_since(requested_at);
    return knows_all_ends ? Validity::current : Validity::uncertain;
  }
  /// Returns whether validity() is `current`. Otherwise counts and logs the response as not acted on.
  [[nodiscard]] bool may_act_on(const Shard& shard, const std::string& job, Micros requested_at) {
    const Validity value = validity(shard, job, requested_at);
    if (value == Validity::current) return true;
    ++responses_not_acted_on;
    context.debug([&] {
      return LogMessage("response not acted on")
          .shard(shard.name)
          .job(job)
          .milliseconds("after_ms", now() - requested_at)
          .reason(value == Validity::outdated ? "the job has ended"
                                              : "the job may have ended since the request");
    });
    return false;
  }

  /// Records that a job has ended and marks it as ended in every shard led by this controller, whether the
  /// job belongs or was awarded to the shard. `state` is none if the end was learned from a peer's notice,
  /// which omits the final state. Returns false if a different final state is already recorded.
  bool record_job_end(const std::string& job, const std::optional<FinalState>& state) {
    bool agrees = true;
    if (state)
      agrees = final_states.record_final(job, *state, now());
    else
      final_states.record_ended(job, now());
    for (auto& [name, shard] : shards) {
      const auto found = shard.jobs.find(job);
      if (found != shard.jobs.end()) shard.mark_ended(found->second);
    }
    return agrees;
  }

  /// Commits a transaction on condition that the shard's lease record is still the one that this controller
  /// wrote. The fencing token is that of the moment at which the transaction is sent. The callback gets
  /// StoreResponse::Outcome::refused if the leadership term has ended before that, or if the lease record is
  /// known to have changed and has not been read since.
  void commit_fenced(const Shard& shard, Transaction transaction, KeyValueClient::Callback callback,
                     RequestPriority priority = RequestPriority::normal);
};

}  // namespace bendtide
