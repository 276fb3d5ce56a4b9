#include "core/holdings.h"

namespace bendtide {

using Outcome = StateAnswer::Outcome;

namespace {

constexpr Micros kWordEvery = millis(1000);
constexpr Micros kLookEvery = millis(1000);
constexpr Micros kLookSoon = millis(300);
constexpr Micros kLookAfterFailure = millis(200);
constexpr Micros kTokenEvery = millis(1000);  ///< every machine has to learn each new token
constexpr Micros kOldTokenEvery = seconds(8);
constexpr Micros kResignFor = seconds(5);  ///< for the peer to take the part
constexpr Micros kProbeEvery = seconds(2);
constexpr std::size_t kProbed = 4;

}  // namespace

Holdings::Holdings(Cluster& cluster, Fleet& fleet, Taken on_taken, Dropped on_dropped)
    : cluster_(cluster), fleet_(fleet), on_taken_(std::move(on_taken)), on_dropped_(std::move(on_dropped)) {
  cluster_.routes[cluster_.self()];
  for (const Peer& peer : cluster_.context.settings.peers) cluster_.routes[peer.host];
}

void Holdings::tick() {
  renew_lease();
  if (cluster_.now() >= next_look_) look();
  if (cluster_.now() >= next_word_) tell_peers();
  probe_workers();
  if (!cluster_.acting()) return;
  for (auto& [name, part] : cluster_.parts) {
    const Micros since = cluster_.now() - part.next_token;
    if (!part.renewing_token &&
        ((part.token_wanted && since >= Micros{0}) || (part.token_old && since >= kOldTokenEvery)))
      raise_token(part);
  }
  for (auto& [name, part] : cluster_.parts)
    if (part.ready() && !part.renewing_token)
      if (auto host = better_host(part))
        return resign(
            part, *host, false,
            cluster_.store.failing() ? "the state service does not answer us" : "its workers can't reach us");
}

// ---- parts that a peer can serve better ------------------------------------------------------------

void Holdings::tell_peers() {
  next_word_ = cluster_.now() + kWordEvery;
  for (const Peer& peer : cluster_.context.settings.peers)
    cluster_.context.act(PeerSend{
        peer.host, Wellbeing{cluster_.store.answers(), std::exchange(cluster_.passed_on[peer.host], 0)}});
}

void Holdings::on_wellbeing(const std::string& host, const Wellbeing& said) {
  PeerState& peer = cluster_.peers[host];
  peer.heard_at = cluster_.now();
  peer.state_answers = said.state_answers;
  if (said.your_reports > 0) peer.our_workers_at = cluster_.now();
}

/// All its machines have been silent for longer than any pause between reports.
bool Holdings::hears_nobody(const Part& part) const {
  const Micros silence = cluster_.context.settings.report_pause();
  const Micros since = cluster_.now() - silence;
  if (part.taken_at + silence > since) return false;
  // A part whose machines are all deaf, or never came up, would go round for ever: its holder needs time to
  // tell.
  if (auto it = handed_.find(part.name);
      it != handed_.end() && cluster_.now() - it->second < cluster_.context.settings.worker_lease * 2)
    return false;
  std::size_t up = 0;
  for (const auto& [name, m] : part.machines) {
    if (m.condemned || (!m.heard && fleet_.booting(m))) continue;
    // A deaf machine's reports come too: it is not us who can't hear, and no peer would do better.
    if (m.last_reported > since) return false;
    ++up;
  }
  return up > 1;
}

std::optional<std::string> Holdings::better_host(const Part& part) const {
  const bool deaf = hears_nobody(part), stateless = cluster_.store.failing();
  if (!deaf && !stateless) return std::nullopt;
  for (const auto& [host, peer] : cluster_.peers) {
    if (!cluster_.reachable(host) || !peer.state_answers) continue;
    if (stateless) return host;
    if (peer.our_workers_at >= Micros{0} && cluster_.now() - peer.our_workers_at < Cluster::kPeerSilent)
      return host;
  }
  return std::nullopt;
}

void Holdings::resign(Part& part, const std::string& to, bool asked_for, const char* why) {
  Resigned& resigned = resigned_[part.name];
  resigned = {cluster_.now() + kResignFor, {}, false, {}};
  if (!cluster_.store.failing() && !asked_for)
    for (const auto& [name, m] : part.machines)
      if (!m.address.empty() && resigned.workers.size() < kProbed) resigned.workers.push_back(m.address);
  // From here on we do nothing with it: only then may the peer take it.
  const Resign message{part.name, part.token, asked_for, fleet_.silent(part)};
  cluster_.routes[part.name].host = to;  // for the workers; the next look corrects it
  drop(part.name, why);
  cluster_.context.act(PeerSend{to, message});
}

void Holdings::on_resign(const Resign& resign) {
  if (!cluster_.acting() || lease_ == 0 || cluster_.parts.contains(resign.part) ||
      taking_.contains(resign.part) || !cluster_.routes.contains(resign.part))
    return;
  if (!resign.asked_for) handed_[resign.part] = cluster_.now();
  words_[resign.part] = resign;
  take(resign.part, resign.token);
}

void Holdings::probe_workers() {
  for (auto& [name, resigned] : resigned_) {
    if (resigned.workers.empty() || resigned.probing || cluster_.now() < resigned.next_probe) continue;
    resigned.probing = true;
    resigned.next_probe = cluster_.now() + kProbeEvery;
    std::rotate(resigned.workers.begin(), resigned.workers.begin() + 1, resigned.workers.end());
    fleet_.probe(resigned.workers.front(), [this, part = name](bool answered) {
      Resigned& r = resigned_[part];
      r.probing = false;
      if (answered) r.workers.clear();
    });
  }
}

void Holdings::renew_lease() {
  const Micros now = cluster_.now();
  if (lease_call_ || now < next_renewal_) return;
  lease_call_ = true;
  const Micros sent = now;
  const Micros term = cluster_.context.settings.term();
  auto retry_soon = [this] { next_renewal_ = cluster_.now() + millis(300); };
  if (lease_ == 0) {
    cluster_.store.lease(term, [this, sent, term, retry_soon](const StateAnswer& a) {
      lease_call_ = false;
      if (!a.ok() || a.lease == 0) return retry_soon();
      lease_ = a.lease;
      cluster_.valid_until = sent + surely_within(term);
      next_renewal_ = cluster_.now() + term / 6;
      next_look_ = Micros{0};
    });
    return;
  }
  cluster_.store.renew(lease_, [this, sent, term, retry_soon](const StateAnswer& a) {
    lease_call_ = false;
    if (a.ok()) {
      cluster_.valid_until = std::max(cluster_.valid_until, sent + surely_within(term));
      next_renewal_ = cluster_.now() + term / 6;
    } else if (a.outcome == Outcome::absent) {
      // The lease ended, and our holding records with it.
      lose_lease();
    } else {
      retry_soon();
    }
  });
}

void Holdings::lose_lease() {
  lease_ = 0;
  cluster_.valid_until = Micros{0};
  next_renewal_ = Micros{0};
  while (!cluster_.parts.empty()) drop(cluster_.parts.begin()->first, "our lease ended");
}

void Holdings::look() {
  if (looking_) return;
  looking_ = true;
  // A holder that says nothing may have stopped: its part is to be taken as soon as its record is gone.
  const bool all_heard = std::all_of(cluster_.routes.begin(), cluster_.routes.end(), [&](const auto& route) {
    return cluster_.reachable(cluster_.holder(route.first));
  });
  next_look_ = cluster_.now() + (all_heard ? kLookEvery : kLookSoon);
  cluster_.store.list(records::kHoldPrefix, [this](const StateAnswer& a) {
    looking_ = false;
    if (a.ok())
      on_routes(a);
    else
      next_look_ = cluster_.now() + kLookSoon;
  });
}

void Holdings::on_routes(const StateAnswer& answer) {
  std::map<std::string, const StateRow*> rows;
  for (const StateRow& row : answer.rows) rows[row.key.substr(records::kHoldPrefix.size())] = &row;
  for (auto& [part, route] : cluster_.routes) {
    if (route.stamp > answer.revision) continue;
    auto it = rows.find(part);
    std::optional<records::Hold> hold;
    if (it != rows.end()) hold = records::hold(it->second->value);
    if (!hold) {
      if (route.absent_since == Micros{0}) route.absent_since = cluster_.now();
      route.host.clear();
      route.incarnation.clear();
      route.stamp = 0;
    } else {
      route = {hold->host, hold->incarnation, it->second->stamp, Micros{0}, true};
    }
    auto held = cluster_.parts.find(part);
    // A list older than our taking says nothing about it.
    if (held != cluster_.parts.end() && held->second.token > answer.revision) continue;
    if (held != cluster_.parts.end() && !taking_.contains(part) && !held->second.renewing_token) {
      // Our own late write may have gone through: a record of this very process is ours, whatever its stamp.
      if (hold && hold->host == cluster_.self() && hold->incarnation == cluster_.context.incarnation)
        held->second.token = std::max(held->second.token, it->second->stamp);
      else
        drop(part, "the holding record is not ours");
    }
    consider(part);
  }
}

void Holdings::consider(const std::string& part) {
  if (!cluster_.acting() || lease_ == 0 || taking_.contains(part)) return;
  if (cluster_.parts.contains(part)) return;
  Route& route = cluster_.routes[part];
  const bool ours = part == cluster_.self();
  if (auto it = resigned_.find(part); it != resigned_.end()) {
    const bool theirs = route.stamp != 0 && route.host != cluster_.self();
    // Workers that we knew may never answer, as they are deaf or gone: by then the peer has seen to them.
    const Micros long_enough = it->second.until + cluster_.context.settings.worker_lease * 2;
    const bool waits_for_workers = !it->second.workers.empty() && cluster_.now() < long_enough;
    if (cluster_.now() < it->second.until || (theirs && waits_for_workers)) return;
    resigned_.erase(it);
  }
  if (route.stamp == 0) {
    if (!ours) {
      // Its own host comes first, then the others in the order of a ring that starts behind it.
      std::size_t rank = 0, position = 0;
      for (const auto& [name, r] : cluster_.routes) {
        if (name == part) position = rank;
        ++rank;
      }
      std::size_t mine = static_cast<std::size_t>(
          std::distance(cluster_.routes.begin(), cluster_.routes.find(cluster_.self())));
      std::size_t turn = (mine + rank - position) % rank;
      Micros wait = millis(700) * static_cast<std::int64_t>(turn);
      if (!route.ever_held) wait += cluster_.context.settings.term();
      if (cluster_.now() - route.absent_since < wait) return;
    }
    take(part, 0);
  } else if (route.host == cluster_.self()) {
    // Held by an earlier process of this host, which is dead: one process runs here at a time.
    take(part, route.stamp);
  } else if (ours) {
    cluster_.context.act(PeerSend{route.host, HandBack{part}});
    next_look_ = std::min(next_look_, cluster_.now() + millis(300));
  }
}

void Holdings::take(const std::string& part, std::uint64_t seen_stamp) {
  taking_[part] = lease_;
  StateCommit txn;
  txn.conditions = {{records::hold_key(part), seen_stamp}};
  txn.writes = {{records::hold_key(part),
                 records::to_json(records::Hold{cluster_.self(), cluster_.context.incarnation}), lease_}};
  cluster_.store.commit(std::move(txn), [this, part, seen_stamp](const StateAnswer& a) {
    on_take_answered(part, seen_stamp, a);
  });
}

void Holdings::on_take_answered(const std::string& part, std::uint64_t seen_stamp, const StateAnswer& a) {
  if (a.outcome == Outcome::lost) return settle_take(part);
  const bool under_our_lease = end_take(part);
  if (!under_our_lease) return;
  if (a.ok()) return adopt(part, a.revision, seen_stamp);
  if (a.outcome == Outcome::absent) lose_lease();
  next_look_ = cluster_.now() + kLookAfterFailure;
}

bool Holdings::end_take(const std::string& part) {
  const auto found = taking_.find(part);
  const bool under_our_lease = found != taking_.end() && lease_ != 0 && found->second == lease_;
  if (found != taking_.end()) taking_.erase(found);
  if (under_our_lease) return true;
  cluster_.context.info("part " + part + " is not taken: the lease of its record is no longer ours");
  next_look_ = cluster_.now() + kLookAfterFailure;
  return false;
}

void Holdings::settle_take(const std::string& part) {
  // No answer: read what became of it. A write that is applied later still shows up at the next look, as a
  // record of this process that it does not know of, and is then taken over again.
  cluster_.store.get(records::hold_key(part), [this, part](const StateAnswer& a) {
    if (!end_take(part) || !a.ok() || a.rows.empty()) return;
    auto hold = records::hold(a.rows.front().value);
    if (hold && hold->host == cluster_.self() && hold->incarnation == cluster_.context.incarnation)
      adopt(part, a.rows.front().stamp, 0);
  });
}

/// `over`: the record that ours replaced, if that is known.
void Holdings::adopt(const std::string& name, std::uint64_t token, std::uint64_t over) {
  if (!cluster_.acting()) return;
  Route& route = cluster_.routes[name];
  route = {cluster_.self(), cluster_.context.incarnation, token, Micros{0}, true};
  Part& part = cluster_.parts[name];
  part = Part{};
  part.name = name;
  part.token = part.first_token = token;
  part.generation = ++generations_;
  part.taken_at = cluster_.now();
  // Whoever held it in between would have left a newer record.
  if (auto word = words_.find(name); word != words_.end()) {
    if (word->second.token == over) part.told = std::move(word->second.silent);
    words_.erase(word);
  }
  cluster_.context.info("took part " + name + " with token " + std::to_string(token));
  on_taken_(part);
}

void Holdings::raise_token(Part& part) {
  part.renewing_token = true;
  part.token_wanted = part.token_old = false;
  part.next_token = cluster_.now() + kTokenEvery;
  StateCommit txn;
  txn.conditions = {cluster_.holds(part)};
  txn.writes = {{records::hold_key(part.name),
                 records::to_json(records::Hold{cluster_.self(), cluster_.context.incarnation}), lease_}};
  cluster_.store.commit(
      std::move(txn), [this, name = part.name, generation = part.generation](const StateAnswer& a) {
        Part* p = cluster_.known(name, generation);
        if (p == nullptr) return;
        p->renewing_token = false;
        if (a.ok()) {
          if (a.revision <= p->token)
            cluster_.context.violated(Invariant::tokens_grow,
                                      "part " + name + " under token " + std::to_string(p->token) +
                                          " was written at revision " + std::to_string(a.revision));
          p->token = std::max(p->token, a.revision);
          cluster_.context.debug(
              [&] { return "part " + name + " raised its token to " + std::to_string(a.revision); });
        } else {
          p->token_old = true;
          p->token_wanted = a.outcome != Outcome::conflict;
          next_look_ = cluster_.now() + kLookAfterFailure;
        }
      });
}

void Holdings::hand_back(const std::string& name) {
  Part* part = cluster_.held(name);
  if (part == nullptr || name == cluster_.self() || part->renewing_token) return;
  // If the word is lost, the next look finds a record of this process and takes the part once more, until its
  // own host asks again.
  resign(*part, name, true, "handed back");
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the caller's name may go with the part
void Holdings::drop(std::string part, const char* why) {
  cluster_.context.info("gave up part " + part + ": " + why);
  cluster_.parts.erase(part);
  on_dropped_(part);
}

}  // namespace bendtide
