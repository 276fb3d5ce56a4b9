// The state that the modules of one controller share.
#pragma once

#include "core/kvstore/key_value_client.h"
#include "core/runtime/context.h"
#include "core/state/final_states.h"
#include "core/state/shard.h"

namespace bendtide {

/// Who leads a shard, as last read from its lease record.
struct ShardRoute {
  std::string host;         ///< empty if there is no record
  std::string incarnation;  ///< of the leader's process
  Revision revision = 0;    ///< of the lease record; 0 if there is none
  Micros absent_since{0};   ///< steady clock: when the record was first seen to be absent; 0 if it is not
  bool ever_held = false;   ///< a lease record has been read since this process began
};

/// The health of another controller, as far as we know. Times are on the steady clock; -1: never.
struct PeerState {
  Micros heard_at{-1};            ///< when its last health message arrived
  bool store_responsive = false;  ///< the key-value store answers it
  Micros our_workers_at{-1};      ///< when it last reported heartbeats that were meant for us
};

/// Whether a response that shows a job as unfinished may be acted on by the time it arrives.
enum class Validity : std::uint8_t {
  current,   ///< it may
  outlived,  ///< the job has ended: nothing of it may begin again
  uncertain  ///< the job may have ended without our knowledge: read again
};

/// The state of one controller. Each member is changed by the module that it belongs to, and read by all.
struct ControllerState {
  Context& context;
  KeyValueClient store;
  std::vector<MachineType> catalogue;
  std::map<std::string, Shard> shards;       ///< led by this controller
  std::map<std::string, ShardRoute> routes;  ///< of all shards
  std::map<std::string, PeerState> peers;
  /// Heartbeats redirected to each host since the last health message to it.
  std::map<std::string, std::uint32_t> redirected_heartbeats;
  Micros lease_valid_until{0};  ///< the end of our store lease, on our steady clock
  FinalStates final_states;
  std::uint64_t answers_not_acted_on = 0;  ///< responses that were outlived or uncertain

  explicit ControllerState(Context& shared_context) : context(shared_context), store(shared_context) {}

  Micros now() const { return context.now; }  ///< steady clock
  bool lease_valid() const { return now() < lease_valid_until; }
  /// The name of our host, which is also that of its own shard.
  const std::string& self() const { return context.settings.host; }

  /// A shard that we lead; null if we do not, or may not act for it as our lease is over.
  Shard* held_shard(const std::string& name) {
    const auto found = shards.find(name);
    return found == shards.end() || !lease_valid() ? nullptr : &found->second;
  }
  /// The same, once the shard is loaded.
  Shard* ready_shard(const std::string& name) {
    Shard* shard = held_shard(name);
    return shard != nullptr && shard->ready() ? shard : nullptr;
  }
  /// For callbacks: the shard if we have led it without interruption since the given term began, whether or
  /// not our lease is valid at present; null otherwise.
  Shard* shard_in_term(const std::string& name, LeadershipTerm leadership_term) {
    const auto found = shards.find(name);
    if (found == shards.end() || found->second.leadership_term != leadership_term) return nullptr;
    return &found->second;
  }
  /// Null if the catalogue does not have it.
  const MachineType* machine_type(const std::string& name) const {
    const auto found = std::find_if(catalogue.begin(), catalogue.end(),
                                    [&](const MachineType& type) { return type.name == name; });
    return found == catalogue.end() ? nullptr : &*found;
  }
  /// How long a machine of this type takes to fetch the job's image if it fetches nothing else.
  Micros fetch_time(const JobSpec& spec, const std::string& type_name) const {
    const MachineType* type = machine_type(type_name);
    if (type == nullptr || type->fetch_gb_per_s <= 0) return Micros{0};
    return seconds(spec.image_gb / type->fetch_gb_per_s);
  }
  /// The host that leads a shard, or the shard's own host if that is not known.
  std::string leader_of(const std::string& shard) const {
    const auto found = routes.find(shard);
    return found == routes.end() || found->second.host.empty() ? shard : found->second.host;
  }
  /// Sends a message to the leader of a shard, which may be this controller.
  void send_to_leader_of(const std::string& shard, PeerMessage message) {
    context.act(PeerSend{leader_of(shard), std::move(message)});
  }
  /// Whether a health message of the host arrived lately. We reach ourselves at all times.
  bool reachable(const std::string& host) const {
    if (host == self()) return true;
    const auto found = peers.find(host);
    if (found == peers.end() || found->second.heard_at < Micros{0}) return false;
    return now() - found->second.heard_at < kPeerSilent;
  }
  static constexpr Micros kPeerSilent = seconds(3);  ///< a peer without messages for that long is silent

  /// Whether a shard may act on a record or response that shows a job as unfinished, and that was read or
  /// written by a request of ours made at `asked` (steady clock). Every path that loads a job decides by
  /// this. Only the leader ends the jobs of its shard, so that all ends in its term are among the final
  /// states; an earlier leader may have ended the job after `asked` if that is before the shard was acquired.
  Validity validity(const Shard& shard, const std::string& job, Micros asked) const {
    if (final_states.has_ended(job)) return Validity::outlived;
    const bool knows_all_ends = asked >= shard.acquired_at && final_states.remembers_since(asked);
    return knows_all_ends ? Validity::current : Validity::uncertain;
  }
  /// Whether validity() is `current`; otherwise the response is counted as not acted on.
  [[nodiscard]] bool may_act_on(const Shard& shard, const std::string& job, Micros asked) {
    const Validity value = validity(shard, job, asked);
    if (value == Validity::current) return true;
    ++answers_not_acted_on;
    context.debug([&] {
      return LogMessage("response not acted on")
          .shard(shard.name)
          .job(job)
          .milliseconds("after_ms", now() - asked)
          .why(value == Validity::outlived ? "the job has ended" : "the job may have ended meanwhile");
    });
    return false;
  }

  /// Records that a job has ended, as was written, read, or notified by a peer, which omits the final state.
  /// Nothing of it goes on in any shard led here, its own or one that it was awarded to. False if it is known
  /// to have ended otherwise.
  bool record_job_end(const std::string& job, const std::optional<FinalState>& state) {
    bool agrees = true;
    if (state)
      agrees = final_states.record_final(job, *state, now());
    else
      final_states.record_ended(job, now());
    for (auto& [name, shard] : shards) {
      const auto found = shard.jobs.find(job);
      if (found != shard.jobs.end()) shard.end(found->second);
    }
    return agrees;
  }

  /// The compare of every transaction for a shard: its lease record is still the one that we wrote.
  static Compare fenced_by(const Shard& shard) {
    return {records::lease_key(shard.name), lease_record_revision(shard.fencing_token)};
  }
};

}  // namespace bendtide
