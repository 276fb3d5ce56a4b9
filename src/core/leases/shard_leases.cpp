#include "core/leases/shard_leases.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kHealthReportInterval = millis(1000);
constexpr Micros kReloadInterval = millis(1000);
constexpr Micros kReloadSoon = millis(300);
constexpr Micros kReloadAfterFailure = millis(200);
constexpr Micros kTokenAdvanceInterval = millis(1000);  ///< every machine has to learn each new fencing token
constexpr Micros kLazyTokenAdvanceInterval = seconds(8);
constexpr Micros kTransferHoldOff = seconds(5);  ///< for the peer to take the shard
constexpr Micros kProbeInterval = seconds(2);
constexpr std::size_t kProbedWorkers = 4;

}  // namespace

ShardLeases::ShardLeases(ControllerState& state, Fleet& fleet, Acquired on_acquired, Lost on_lost)
    : state_(state), fleet_(fleet), on_acquired_(std::move(on_acquired)), on_lost_(std::move(on_lost)) {
  state_.routes[state_.self()];
  for (const Peer& peer : state_.context.settings.peers) state_.routes[peer.host];
}

void ShardLeases::tick() {
  renew_store_lease();
  if (state_.now() >= next_reload_) reload();
  if (state_.now() >= next_health_report_) report_health();
  probe_workers();
  if (!state_.lease_valid()) return;
  for (auto& [name, shard] : state_.shards) {
    const Micros since = state_.now() - shard.next_token_advance;
    if (!shard.advancing_fencing_token &&
        ((shard.advance_token_soon && since >= Micros{0}) ||
         (shard.advance_token_eventually && since >= kLazyTokenAdvanceInterval)))
      advance_fencing_token(shard);
  }
  for (auto& [name, shard] : state_.shards)
    if (shard.ready() && !shard.advancing_fencing_token)
      if (auto host = healthier_peer(shard))
        return transfer_lease(
            shard, *host, false,
            state_.store.failing() ? "the state service does not answer us" : "its workers can't reach us");
}

// ---- shards that a peer can serve better ------------------------------------------------------------

void ShardLeases::report_health() {
  next_health_report_ = state_.now() + kHealthReportInterval;
  for (const Peer& peer : state_.context.settings.peers)
    state_.context.act(PeerSend{
        peer.host,
        PeerHealth{state_.store.responsive(), std::exchange(state_.redirected_heartbeats[peer.host], 0)}});
}

void ShardLeases::on_peer_health(const std::string& host, const PeerHealth& health) {
  PeerState& peer = state_.peers[host];
  peer.heard_at = state_.now();
  peer.store_responsive = health.store_responsive;
  if (health.your_heartbeats > 0) peer.our_workers_at = state_.now();
}

/// All its machines have been silent for longer than any pause between heartbeats.
bool ShardLeases::hears_no_worker(const Shard& shard) const {
  const Micros silence = state_.context.settings.longest_heartbeat_pause();
  const Micros since = state_.now() - silence;
  if (shard.acquired_at + silence > since) return false;
  // A shard whose machines are all deaf, or never came up, would go round for ever: its leader needs time to
  // tell.
  if (auto it = received_transfers_.find(shard.name);
      it != received_transfers_.end() && state_.now() - it->second < state_.context.settings.worker_lease * 2)
    return false;
  std::size_t up = 0;
  for (const auto& [name, m] : shard.machines) {
    if (m.lifecycle.decommissioned || (!m.liveness.status_received && fleet_.booting(m))) continue;
    // A deaf machine's heartbeats come too: it is not us who can't hear, and no peer would do better.
    if (m.liveness.last_heartbeat_at > since) return false;
    ++up;
  }
  return up > 1;
}

std::optional<std::string> ShardLeases::healthier_peer(const Shard& shard) const {
  const bool deaf = hears_no_worker(shard), stateless = state_.store.failing();
  if (!deaf && !stateless) return std::nullopt;
  for (const auto& [host, peer] : state_.peers) {
    if (!state_.reachable(host) || !peer.store_responsive) continue;
    if (stateless) return host;
    if (peer.our_workers_at >= Micros{0} && state_.now() - peer.our_workers_at < ControllerState::kPeerSilent)
      return host;
  }
  return std::nullopt;
}

void ShardLeases::transfer_lease(Shard& shard, const std::string& to, bool asked_for, const char* why) {
  TransferredShard& resigned = transferred_[shard.name];
  resigned = {state_.now() + kTransferHoldOff, {}, false, {}};
  if (!state_.store.failing() && !asked_for)
    for (const auto& [name, m] : shard.machines)
      if (!m.address.empty() && resigned.workers.size() < kProbedWorkers)
        resigned.workers.push_back(m.address);
  // From here on we do nothing with it: only then may the peer take it.
  const LeaseTransfer message{shard.name, shard.fencing_token, asked_for, fleet_.unreachable_machines(shard)};
  state_.routes[shard.name].host = to;  // for the workers; the next look corrects it
  lose_shard(shard.name, why);
  state_.context.act(PeerSend{to, message});
}

void ShardLeases::on_lease_transfer(const LeaseTransfer& transfer_lease) {
  if (!state_.lease_valid() || store_lease_ == 0 || state_.shards.contains(transfer_lease.shard) ||
      acquiring_.contains(transfer_lease.shard) || !state_.routes.contains(transfer_lease.shard))
    return;
  if (!transfer_lease.asked_for) received_transfers_[transfer_lease.shard] = state_.now();
  handover_states_[transfer_lease.shard] = transfer_lease;
  acquire(transfer_lease.shard, lease_record_revision(transfer_lease.fencing_token));
}

void ShardLeases::probe_workers() {
  for (auto& [name, resigned] : transferred_) {
    if (resigned.workers.empty() || resigned.probing || state_.now() < resigned.next_probe) continue;
    resigned.probing = true;
    resigned.next_probe = state_.now() + kProbeInterval;
    std::rotate(resigned.workers.begin(), resigned.workers.begin() + 1, resigned.workers.end());
    fleet_.probe(resigned.workers.front(), [this, shard = name](bool answered) {
      TransferredShard& r = transferred_[shard];
      r.probing = false;
      if (answered) r.workers.clear();
    });
  }
}

void ShardLeases::renew_store_lease() {
  const Micros now = state_.now();
  if (store_lease_request_in_flight_ || now < next_renewal_) return;
  store_lease_request_in_flight_ = true;
  const Micros sent = now;
  const Micros term = state_.context.settings.lease_term();
  auto retry_soon = [this] { next_renewal_ = state_.now() + millis(300); };
  if (store_lease_ == 0) {
    state_.store.lease(term, [this, sent, term, retry_soon](const StoreResponse& a) {
      store_lease_request_in_flight_ = false;
      if (!a.ok() || a.lease == 0) return retry_soon();
      store_lease_ = a.lease;
      state_.lease_valid_until = sent + surely_within(term);
      next_renewal_ = state_.now() + term / 6;
      next_reload_ = Micros{0};
    });
    return;
  }
  state_.store.renew(store_lease_, [this, sent, term, retry_soon](const StoreResponse& a) {
    store_lease_request_in_flight_ = false;
    if (a.ok()) {
      state_.lease_valid_until = std::max(state_.lease_valid_until, sent + surely_within(term));
      next_renewal_ = state_.now() + term / 6;
    } else if (a.outcome == Outcome::absent) {
      // The lease ended, and our holding records with it.
      lose_lease();
    } else {
      retry_soon();
    }
  });
}

void ShardLeases::lose_lease() {
  store_lease_ = 0;
  state_.lease_valid_until = Micros{0};
  next_renewal_ = Micros{0};
  while (!state_.shards.empty()) lose_shard(state_.shards.begin()->first, "our lease ended");
}

void ShardLeases::reload() {
  if (reloading_) return;
  reloading_ = true;
  // A leader that says nothing may have stopped: its shard is to be taken as soon as its record is gone.
  const bool all_heard = std::all_of(state_.routes.begin(), state_.routes.end(), [&](const auto& route) {
    return state_.reachable(state_.leader_of(route.first));
  });
  next_reload_ = state_.now() + (all_heard ? kReloadInterval : kReloadSoon);
  state_.store.list(records::kLeasePrefix, [this](const StoreResponse& a) {
    reloading_ = false;
    if (a.ok())
      on_lease_records(a);
    else
      next_reload_ = state_.now() + kReloadSoon;
  });
}

void ShardLeases::on_lease_records(const StoreResponse& answer) {
  std::map<std::string, const KeyValue*> entries;
  for (const KeyValue& entry : answer.entries)
    entries[entry.key.substr(records::kLeasePrefix.size())] = &entry;
  for (auto& [shard, route] : state_.routes) {
    if (route.revision > answer.revision) continue;
    auto it = entries.find(shard);
    std::optional<records::LeaseRecord> lease_record;
    if (it != entries.end()) lease_record = records::lease_record(it->second->value);
    if (!lease_record) {
      if (route.absent_since == Micros{0}) route.absent_since = state_.now();
      route.host.clear();
      route.incarnation.clear();
      route.revision = 0;
    } else {
      route = {lease_record->host, lease_record->incarnation, it->second->revision, Micros{0}, true};
    }
    auto held = state_.shards.find(shard);
    // A list older than our taking says nothing about it.
    if (held != state_.shards.end() && held->second.fencing_token > fencing_token_of(answer.revision))
      continue;
    if (held != state_.shards.end() && !acquiring_.contains(shard) && !held->second.advancing_fencing_token) {
      // Our own late write may have gone through: a record of this very process is ours, whatever its stamp.
      if (lease_record && lease_record->host == state_.self() &&
          lease_record->incarnation == state_.context.incarnation)
        held->second.fencing_token =
            std::max(held->second.fencing_token, fencing_token_of(it->second->revision));
      else
        lose_shard(shard, "the holding record is not ours");
    }
    consider_acquiring(shard);
  }
}

void ShardLeases::consider_acquiring(const std::string& shard) {
  if (!state_.lease_valid() || store_lease_ == 0 || acquiring_.contains(shard)) return;
  if (state_.shards.contains(shard)) return;
  ShardRoute& route = state_.routes[shard];
  const bool ours = shard == state_.self();
  if (auto it = transferred_.find(shard); it != transferred_.end()) {
    const bool theirs = route.revision != 0 && route.host != state_.self();
    // Workers that we knew may never answer, as they are deaf or gone: by then the peer has seen to them.
    const Micros long_enough = it->second.until + state_.context.settings.worker_lease * 2;
    const bool waits_for_workers = !it->second.workers.empty() && state_.now() < long_enough;
    if (state_.now() < it->second.until || (theirs && waits_for_workers)) return;
    transferred_.erase(it);
  }
  if (route.revision == 0) {
    if (!ours) {
      // Its own host comes first, then the others in the order of a ring that starts behind it.
      std::size_t rank = 0, position = 0;
      for (const auto& [name, r] : state_.routes) {
        if (name == shard) position = rank;
        ++rank;
      }
      std::size_t mine =
          static_cast<std::size_t>(std::distance(state_.routes.begin(), state_.routes.find(state_.self())));
      std::size_t turn = (mine + rank - position) % rank;
      Micros wait = millis(700) * static_cast<std::int64_t>(turn);
      if (!route.ever_held) wait += state_.context.settings.lease_term();
      if (state_.now() - route.absent_since < wait) return;
    }
    acquire(shard, 0);
  } else if (route.host == state_.self()) {
    // Held by an earlier process of this host, which is dead: one process runs here at a time.
    acquire(shard, route.revision);
  } else if (ours) {
    state_.context.act(PeerSend{route.host, FailbackRequest{shard}});
    next_reload_ = std::min(next_reload_, state_.now() + millis(300));
  }
}

void ShardLeases::acquire(const std::string& shard, Revision expected_revision) {
  acquiring_[shard] = store_lease_;
  Transaction transaction;
  transaction.compares = {{records::lease_key(shard), expected_revision}};
  transaction.writes = {{records::lease_key(shard),
                         records::to_json(records::LeaseRecord{state_.self(), state_.context.incarnation}),
                         store_lease_}};
  state_.store.commit(std::move(transaction), [this, shard, expected_revision](const StoreResponse& a) {
    on_acquire_response(shard, expected_revision, a);
  });
}

void ShardLeases::on_acquire_response(const std::string& shard, Revision expected_revision,
                                      const StoreResponse& a) {
  if (a.outcome == Outcome::unknown) return resolve_acquisition(shard);
  const bool under_our_lease = finish_acquisition(shard);
  if (!under_our_lease) return;
  if (a.ok()) return activate(shard, fencing_token_of(a.revision), fencing_token_of(expected_revision));
  if (a.outcome == Outcome::absent) lose_lease();
  next_reload_ = state_.now() + kReloadAfterFailure;
}

bool ShardLeases::finish_acquisition(const std::string& shard) {
  const auto found = acquiring_.find(shard);
  const bool under_our_lease =
      found != acquiring_.end() && store_lease_ != 0 && found->second == store_lease_;
  if (found != acquiring_.end()) acquiring_.erase(found);
  if (under_our_lease) return true;
  state_.context.info("part " + shard + " is not taken: the lease of its record is no longer ours");
  next_reload_ = state_.now() + kReloadAfterFailure;
  return false;
}

void ShardLeases::resolve_acquisition(const std::string& shard) {
  // No answer: read what became of it. A write that is applied later still shows up at the next look, as a
  // record of this process that it does not know of, and is then taken over again.
  state_.store.get(records::lease_key(shard), [this, shard](const StoreResponse& a) {
    if (!finish_acquisition(shard) || !a.ok() || a.entries.empty()) return;
    auto lease_record = records::lease_record(a.entries.front().value);
    if (lease_record && lease_record->host == state_.self() &&
        lease_record->incarnation == state_.context.incarnation)
      activate(shard, fencing_token_of(a.entries.front().revision), FencingToken{});
  });
}

/// `over`: the record that ours replaced, if that is known.
void ShardLeases::activate(const std::string& name, FencingToken fencing_token, FencingToken replaced_token) {
  if (!state_.lease_valid()) return;
  ShardRoute& route = state_.routes[name];
  route = {state_.self(), state_.context.incarnation, lease_record_revision(fencing_token), Micros{0}, true};
  Shard& shard = state_.shards[name];
  shard = Shard{};
  shard.name = name;
  shard.fencing_token = shard.first_fencing_token = fencing_token;
  shard.leadership_term = ++leadership_terms_;
  shard.acquired_at = state_.now();
  // Whoever held it in between would have left a newer record.
  if (auto handover = handover_states_.find(name); handover != handover_states_.end()) {
    if (handover->second.fencing_token == replaced_token)
      shard.handover = std::move(handover->second.unreachable);
    handover_states_.erase(handover);
  }
  state_.context.info("took part " + name + " with token " + to_string(fencing_token));
  on_acquired_(shard);
}

void ShardLeases::advance_fencing_token(Shard& shard) {
  shard.advancing_fencing_token = true;
  shard.advance_token_soon = shard.advance_token_eventually = false;
  shard.next_token_advance = state_.now() + kTokenAdvanceInterval;
  Transaction transaction;
  transaction.compares = {state_.fenced_by(shard)};
  transaction.writes = {{records::lease_key(shard.name),
                         records::to_json(records::LeaseRecord{state_.self(), state_.context.incarnation}),
                         store_lease_}};
  state_.store.commit(std::move(transaction), [this, name = shard.name,
                                               leadership_term =
                                                   shard.leadership_term](const StoreResponse& a) {
    Shard* p = state_.shard_in_term(name, leadership_term);
    if (p == nullptr) return;
    p->advancing_fencing_token = false;
    if (a.ok()) {
      const FencingToken written_token = fencing_token_of(a.revision);
      if (written_token <= p->fencing_token)
        state_.context.violated(Invariant::tokens_grow,
                                "part " + name + " under token " + to_string(p->fencing_token) +
                                    " was written at revision " + to_string(a.revision));
      p->fencing_token = std::max(p->fencing_token, written_token);
      state_.context.debug([&] { return "part " + name + " raised its token to " + to_string(a.revision); });
    } else {
      p->advance_token_eventually = true;
      p->advance_token_soon = a.outcome != Outcome::conflict;
      next_reload_ = state_.now() + kReloadAfterFailure;
    }
  });
}

void ShardLeases::fail_back(const std::string& name) {
  Shard* shard = state_.held_shard(name);
  if (shard == nullptr || name == state_.self() || shard->advancing_fencing_token) return;
  // If the word is lost, the next look finds a record of this process and takes the shard once more, until
  // its own host asks again.
  transfer_lease(*shard, name, true, "handed back");
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the caller's name may go with the shard
void ShardLeases::lose_shard(std::string shard, const char* why) {
  state_.context.info("gave up part " + shard + ": " + why);
  state_.shards.erase(shard);
  on_lost_(shard);
}

}  // namespace bendtide
