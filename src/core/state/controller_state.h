// The state shared by the pieces of one controller's core.
#pragma once

#include "core/kvstore/key_value_client.h"
#include "core/runtime/context.h"
#include "core/state/final_states.h"
#include "core/state/shard.h"

namespace bendtide {

/// Who holds a part, as last read.
struct ShardRoute {
  std::string host;
  std::string incarnation;
  Revision revision = 0;
  Micros absent_since{0};
  bool ever_held = false;
};

/// What a peer last said of itself.
struct PeerState {
  Micros heard_at{-1};
  bool store_responsive = false;
  Micros our_workers_at{-1};  ///< when it last got heartbeats that were for us
};

/// What an answer that shows a job as unfinished is worth by the time it arrives.
enum class Validity : std::uint8_t {
  current,   ///< may be acted on
  outlived,  ///< the job is over: nothing of it may begin again
  uncertain  ///< the job may have ended without our knowledge: ask again
};

struct ControllerState {
  Context& context;
  KeyValueClient store;
  std::vector<MachineType> catalogue;
  std::map<std::string, Shard> shards;       ///< held by this controller
  std::map<std::string, ShardRoute> routes;  ///< of all shards
  std::map<std::string, PeerState> peers;
  std::map<std::string, std::uint32_t>
      redirected_heartbeats;    ///< heartbeats sent on to each host, since they were told
  Micros lease_valid_until{0};  ///< the end of our term on our own clock
  FinalStates final_states;
  std::uint64_t answers_not_acted_on = 0;  ///< since what they show was outlived or uncertain

  explicit ControllerState(Context& c) : context(c), store(c) {}

  Micros now() const { return context.now; }
  bool lease_valid() const { return context.now < lease_valid_until; }
  const std::string& self() const { return context.settings.host; }

  Shard* held_shard(const std::string& name) {
    auto it = shards.find(name);
    return it == shards.end() || !lease_valid() ? nullptr : &it->second;
  }
  Shard* ready_shard(const std::string& name) {
    Shard* p = held_shard(name);
    return p != nullptr && p->ready() ? p : nullptr;
  }
  /// For answers that come later: the same holding still, acting at present or not, or none.
  Shard* shard_in_term(const std::string& name, std::uint64_t leadership_term) {
    auto it = shards.find(name);
    return it == shards.end() || it->second.leadership_term != leadership_term ? nullptr : &it->second;
  }
  const MachineType* machine_type(const std::string& name) const {
    for (const MachineType& t : catalogue)
      if (t.name == name) return &t;
    return nullptr;
  }
  /// How long a machine takes to fetch the job's image, alone.
  Micros fetch_time(const JobSpec& spec, const std::string& type_name) const {
    const MachineType* t = this->machine_type(type_name);
    return t == nullptr || t->fetch_gb_per_s <= 0 ? Micros{0} : seconds(spec.image_gb / t->fetch_gb_per_s);
  }
  /// The host that holds a part, or its own host if that is not known.
  std::string leader_of(const std::string& shard) const {
    auto it = routes.find(shard);
    return it == routes.end() || it->second.host.empty() ? shard : it->second.host;
  }
  /// Sends a message to the leader of a shard, which may be this controller.
  void send_to_leader_of(const std::string& shard, PeerMessage message) {
    context.act(PeerSend{leader_of(shard), std::move(message)});
  }
  /// Whether a peer has said anything lately.
  bool reachable(const std::string& host) const {
    if (host == self()) return true;
    auto it = peers.find(host);
    return it != peers.end() && it->second.heard_at >= Micros{0} && now() - it->second.heard_at < kPeerSilent;
  }
  static constexpr Micros kPeerSilent = seconds(3);

  /// The one decision whether a part may act on a record or an answer that shows a job as unfinished: read or
  /// written by a request of ours that was made at `asked`. Every path that loads a job asks it. Only the
  /// leader ends the jobs of its shard, so that ends of this holding are in the history; an earlier leader
  /// may have ended the job after `asked` if that is before the shard was taken.
  Validity validity(const Shard& shard, const std::string& job, Micros asked) const {
    if (final_states.has_ended(job)) return Validity::outlived;
    const bool knows_all_ends = asked >= shard.acquired_at && final_states.remembers_since(asked);
    return knows_all_ends ? Validity::current : Validity::uncertain;
  }
  /// The same, counted if the answer is not to be acted on.
  bool may_act_on(const Shard& shard, const std::string& job, Micros asked) {
    const Validity value = validity(shard, job, asked);
    if (value == Validity::current) return true;
    ++answers_not_acted_on;
    context.debug([&] {
      return job + ": an answer to what part " + shard.name + " asked " +
             std::to_string((now() - asked).count() / 1000) + " ms ago is not acted on, as " +
             (value == Validity::outlived ? "the job is over" : "it may have ended meanwhile");
    });
    return false;
  }

  /// A job is over, as was written, read or said by a peer (then it is not known how): nothing of it goes on
  /// in any shard held here, its own or one that it was awarded to. False if it is known to have ended
  /// otherwise.
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

  Compare fenced_by(const Shard& p) const {
    return {records::lease_key(p.name), lease_record_revision(p.fencing_token)};
  }
};

}  // namespace bendtide
