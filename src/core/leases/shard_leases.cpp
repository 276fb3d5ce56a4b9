#include "core/leases/shard_leases.h"

#include "core/leases/lease_record_writes.h"

namespace bendtide {

namespace {

constexpr Micros kListingInterval = millis(1000);
constexpr Micros kUrgentListingInterval = millis(300);
constexpr Micros kListingDelayAfterFailure = millis(200);
constexpr Micros kAcquisitionStagger = millis(700);  ///< between hosts that may acquire the same shard

/// Returns the lease record in an entry; none if there is no entry or it cannot be parsed.
std::optional<records::LeaseRecord> lease_record_in(const KeyValue* entry) {
  if (entry == nullptr) return std::nullopt;
  return records::read_lease_record(entry->value);
}

}  // namespace

ShardLeases::ShardLeases(ControllerState& state, Fleet& fleet, Acquired on_acquired, Lost on_lost)
    : state_(state),
      on_acquired_(std::move(on_acquired)),
      on_lost_(std::move(on_lost)),
      store_lease_(state, {[this] { invalidate(); }, [this] { lose_all_shards(); }}),
      acquisition_(state, store_lease_,
                   {[this](const std::string& shard, FencingToken token, FencingToken replaced) {
                      begin_term(shard, token, replaced);
                    },
                    [this] { schedule_listing_after_failure(); }}),
      token_advance_(state, store_lease_, [this] { schedule_listing_after_failure(); }),
      transfers_(state, fleet),
      peer_health_(state, fleet, transfers_) {
  state_.routes[state_.own_host()];
  for (const Peer& peer : state_.context.settings.peers) state_.routes[peer.host];
}

void ShardLeases::tick() {
  store_lease_.tick();
  if (state_.now() >= next_listing_) list_records();
  peer_health_.tick();
  transfers_.tick();
  if (!state_.lease_valid()) return;
  token_advance_.tick();
  for (auto& [name, shard] : state_.shards) {
    if (!shard.ready() || shard.token_advance.in_flight()) continue;
    // At most one shard per tick: transfer() removes it from the map, which invalidates the iterator.
    if (const auto target = peer_health_.healthier_peer(shard))
      return transfer(shard, target->host, target->reason);
  }
}

// ---- lease records -------------------------------------------------------------------------------

void ShardLeases::list_records() {
  if (listing_) return;
  listing_ = true;
  // A silent leader may have stopped. Its shard should be acquired as soon as its lease record is removed.
  const bool all_leaders_reachable =
      std::all_of(state_.routes.begin(), state_.routes.end(),
                  [&](const auto& route) { return state_.reachable(state_.leader_of(route.first)); });
  const bool fence_superseded = std::any_of(state_.shards.begin(), state_.shards.end(), [](const auto& held) {
    return held.second.is_fence_superseded();
  });
  const bool urgent = !all_leaders_reachable || fence_superseded;
  next_listing_ = state_.now() + (urgent ? kUrgentListingInterval : kListingInterval);
  state_.store.list(
      records::kLeasePrefix,
      [this](const StoreResponse& response) {
        listing_ = false;
        if (response.ok())
          on_records_listed(response);
        else
          next_listing_ = state_.now() + kUrgentListingInterval;
      },
      ReadKind::lease);
}

void ShardLeases::schedule_listing_after_failure() {
  next_listing_ = state_.now() + kListingDelayAfterFailure;
}

void ShardLeases::on_records_listed(const StoreResponse& response) {
  std::map<std::string, const KeyValue*> entries;
  for (const KeyValue& entry : response.entries)
    entries[entry.key.substr(records::kLeasePrefix.size())] = &entry;
  for (auto& [shard, route] : state_.routes) {
    if (route.revision > response.revision) continue;
    const auto found = entries.find(shard);
    const KeyValue* entry = found == entries.end() ? nullptr : found->second;
    update_route(route, entry);
    const auto held = state_.shards.find(shard);
    // A list that is older than the lease record written by this process does not show it.
    if (held != state_.shards.end() && held->second.fencing_token > fencing_token_of(response.revision))
      continue;
    check_leadership(shard, entry);
    acquire_if_eligible(shard);
  }
}

void ShardLeases::update_route(ShardRoute& route, const KeyValue* entry) {
  const std::optional<records::LeaseRecord> record = lease_record_in(entry);
  if (record) {
    route = {record->host, record->incarnation,           entry->revision, Micros{0},
             true,         record->accepts_returned_tasks};
    return;
  }
  if (route.absent_since == Micros{0}) route.absent_since = state_.now();
  route.host.clear();
  route.incarnation.clear();
  route.revision = 0;
}

void ShardLeases::check_leadership(const std::string& name, const KeyValue* entry) {
  const auto held = state_.shards.find(name);
  if (held == state_.shards.end() || acquisition_.in_flight(name)) return;
  Shard& shard = held->second;
  const std::optional<records::LeaseRecord> record = lease_record_in(entry);
  if (!record || !is_written_by_this_process(state_, *record))
    return lose_shard(name, "its lease record is missing or was written by another process");
  // A write of this process whose response was lost may have been applied, also late. A record of this
  // process is therefore valid at any revision, also while another such write is queued or in flight.
  const FencingToken listed_token = fencing_token_of(entry->revision);
  if (listed_token <= shard.fencing_token) return;
  shard.fencing_token = listed_token;
  state_.context.info(LogMessage("fencing token read from the lease record").shard(name).token(listed_token));
}

// ---- acquisition ---------------------------------------------------------------------------------

void ShardLeases::acquire_if_eligible(const std::string& shard) {
  if (!state_.lease_valid() || !store_lease_.is_granted()) return;
  if (acquisition_.in_flight(shard) || state_.shards.contains(shard)) return;
  const ShardRoute& route = state_.routes[shard];
  if (transfers_.is_released_at(shard, route.revision)) return acquisition_.start(shard, route.revision);
  if (transfers_.is_held_off(shard)) return;
  if (route.revision == 0) {
    if (shard != state_.own_host() && state_.now() - route.absent_since < acquisition_delay(shard, route))
      return;
    acquisition_.start(shard, 0);
  } else if (route.host == state_.own_host()) {
    // An earlier process on this host led the shard. It has ended, as each host runs one process at a time.
    acquisition_.start(shard, route.revision);
  } else if (shard == state_.own_host()) {
    state_.context.emit(PeerSend{route.host, FailbackRequest{shard}});
    next_listing_ = std::min(next_listing_, state_.now() + kUrgentListingInterval);
  }
}

Micros ShardLeases::acquisition_delay(const std::string& shard, const ShardRoute& route) const {
  // The shard's home host comes first. The others follow in ring order, starting after the home host.
  const auto position_of = [&](const std::string& host) {
    return std::distance(state_.routes.begin(), state_.routes.find(host));
  };
  const auto hosts = static_cast<std::ptrdiff_t>(state_.routes.size());
  const auto turn = (position_of(state_.own_host()) + hosts - position_of(shard)) % hosts;
  Micros delay = kAcquisitionStagger * turn;
  if (!route.ever_held) delay += state_.context.settings.lease_term();
  return delay;
}

void ShardLeases::begin_term(const std::string& name, FencingToken token, FencingToken replaced) {
  if (!state_.lease_valid()) return;
  state_.routes[name] = {
      state_.own_host(), state_.context.incarnation, lease_record_revision(token), Micros{0}, true, true};
  Shard& shard = state_.shards[name];
  shard = Shard{};
  shard.name = name;
  shard.fencing_token = token;
  shard.first_fencing_token = token;
  shard.leadership_term = ++leadership_terms_;
  shard.acquired_at = state_.now();
  shard.unreachable_at_handover = transfers_.take_handover(name, replaced);
  state_.context.info(LogMessage("shard acquired").shard(name).token(token));
  on_acquired_(shard);
}

// ---- transfer and loss ---------------------------------------------------------------------------

void ShardLeases::transfer_to_home_host(const std::string& name) {
  Shard* shard = state_.held_shard(name);
  if (shard == nullptr || name == state_.own_host() || shard->token_advance.in_flight()) return;
  // If the message is lost, the next list shows a record of this process. This process then acquires the
  // shard again and leads it until the home host repeats its request.
  transfer(*shard, name, TransferReason::failback);
}

void ShardLeases::transfer(Shard& shard, const std::string& host, TransferReason reason) {
  const LeaseTransfer message = transfers_.begin(shard, reason);
  state_.routes[message.shard].host = host;  // redirects workers to the peer; the next list corrects it
  // The peer may acquire the shard only after this controller has stopped acting for it.
  lose_shard(message.shard, to_text(reason));
  state_.context.emit(PeerSend{host, message});
}

void ShardLeases::on_lease_transfer(const LeaseTransfer& transfer) {
  const std::string& shard = transfer.shard;
  if (!state_.lease_valid() || !store_lease_.is_granted() || state_.shards.contains(shard) ||
      acquisition_.in_flight(shard) || !state_.routes.contains(shard))
    return;
  transfers_.on_received(transfer);
  acquisition_.start(shard, lease_record_revision(transfer.fencing_token));
}

void ShardLeases::lose_all_shards() {
  while (!state_.shards.empty()) {
    const std::string name = state_.shards.begin()->first;
    lose_shard(name, "the store lease of this controller ended");
  }
}

void ShardLeases::lose_shard(const std::string& name, std::string_view why) {
  state_.context.info(LogMessage("shard lost").shard(name).reason(why));
  acquisition_.on_term_ended(name, state_.shards.at(name).fencing_token);
  state_.shards.erase(name);
  on_lost_(name);
}

}  // namespace bendtide
