#include "core/controller/controller.h"

#include "core/controller/overview.h"

namespace bendtide {

using Outcome = StoreResponse::Outcome;

namespace {

constexpr Micros kSchedulingInterval = millis(100);
constexpr Micros kPolicyEvery = seconds(5);

}  // namespace

Controller::Controller(Settings settings, std::string incarnation, std::uint64_t seed)
    : context_{std::move(settings), {}, std::move(incarnation), std::mt19937_64(seed), {}, {}, {}, {}},
      state_(context_),
      fleet_(state_, {[this](Shard& p, Machine& m) {
                        net_.stop_stale_awards(p, m);
                        scheduler_.fill(p, m);
                      },
                      [this] { shard_leases_.invalidate(); }}),
      scheduler_(state_, fleet_),
      net_(state_, scheduler_, {[this] { shard_leases_.invalidate(); }}),
      jobs_(state_, {[this](Shard& p) { schedule(p); }, [this] { shard_leases_.invalidate(); }}),
      autoscaler_(state_, fleet_),
      shard_leases_(
          state_, fleet_, [this](Shard& p) { load(p); },
          [this](const std::string& shard) { fleet_.on_shard_lost(shard); }) {}

void Controller::at(Micros steady, Micros wall) {
  context_.now = std::max(context_.now, steady);
  context_.wall = wall;
}

void Controller::schedule(Shard& shard) {
  scheduler_.pass(shard);
  fleet_.push_commands(shard);
}

void Controller::tick() {
  while (!context_.timers.empty() && context_.timers.begin()->first <= context_.now) {
    auto what = std::move(context_.timers.begin()->second);
    context_.timers.erase(context_.timers.begin());
    what();
  }
  shard_leases_.tick();
  state_.store.send_queued();
  if (context_.now >= next_policy_) read_policy();
  if (context_.now >= next_scheduling_) {
    next_scheduling_ = context_.now + kSchedulingInterval;
    fleet_.tick();
    if (state_.lease_valid())
      for (auto& [name, shard] : state_.shards)
        if (shard.ready()) schedule(shard);
    jobs_.tick();
    net_.tick();
    autoscaler_.tick();
  }
}

bool Controller::healthy() {
  return state_.ready_shard(state_.self()) != nullptr && !state_.catalogue.empty();
}

std::vector<Action> Controller::take_actions(Micros steady) {
  // Orders and writes carry the fencing token, which outdates them. An answer has nothing of the kind: after
  // such a pause our term may be over, and somebody else may have said more.
  const bool stood_still = steady - context_.now > kTimerMargin;
  std::vector<Action> out;
  while (!context_.actions.empty()) {
    std::vector<Action> batch;
    std::swap(batch, context_.actions);
    for (Action& action : batch) {
      // Who holds a peer's shard talks to itself.
      auto* send = std::get_if<PeerSend>(&action);
      auto* told = std::get_if<AnswerUser>(&action);
      auto* reply = send == nullptr ? nullptr : std::get_if<JobReply>(&send->message);
      if (stood_still && told != nullptr && !is_final(told->reply.phase)) told->reply.status = 503;
      if (stood_still && reply != nullptr && !is_final(reply->phase)) reply->status = 503;
      // Nor may starts be sent for what may be cancelled by now. They count as not sent by the next
      // heartbeat.
      if (auto* call = std::get_if<WorkerCall>(&action); stood_still && call != nullptr)
        std::erase_if(call->request.commands,
                      [](const Command& o) { return o.kind == Command::Kind::start; });
      if (send != nullptr && send->host == state_.self())
        on_peer(state_.self(), send->message);
      else
        out.push_back(std::move(action));
    }
  }
  return out;
}

void Controller::on_peer(const std::string& host, const PeerMessage& message) {
  struct Visitor {
    Controller& c;
    const std::string& host;
    void operator()(const JobQuery& m) { c.jobs_.on_query(host, m); }
    void operator()(const JobReply& m) { c.jobs_.on_reply(m); }
    void operator()(const CallForProposals& m) { c.net_.on_call(m); }
    void operator()(const Proposal& m) { c.net_.on_proposal(m); }
    void operator()(const AwardNotice& m) { c.net_.on_award_notice(m.shard); }
    void operator()(const JobEndNotice& m) { c.net_.on_job_end_notice(m); }
    void operator()(const ProgressNotice& m) { c.net_.on_progress_notice(m.shard); }
    void operator()(const FailbackRequest& m) {
      if (m.shard == host) c.shard_leases_.fail_back(m.shard);
    }
    void operator()(const QuotaTransferRequest& m) { c.net_.on_quota_transfer_request(m); }
    void operator()(const CapacityExhausted& m) { c.autoscaler_.on_capacity_exhausted(m); }
    void operator()(const PeerHealth& m) { c.shard_leases_.on_peer_health(host, m); }
    void operator()(const LeaseTransfer& m) { c.shard_leases_.on_lease_transfer(m); }
  };
  std::visit(Visitor{*this, host}, message);
}

void Controller::read_policy() {
  next_policy_ = context_.now + kPolicyEvery;
  state_.store.get(records::kPolicyKey, [this](const StoreResponse& a) {
    if (!a.ok() || a.entries.empty()) return;
    Policy next;
    if (!Policy::apply(next, a.entries.front().value)) context_.policy = next;
  });
}

// ---- operators -----------------------------------------------------------------------------------

void Controller::on_admin(std::uint64_t request, const AdminRequest& asked) {
  using What = AdminRequest::What;
  if (asked.what == What::change_policy) return change_policy(request, asked.body);
  Value body;
  switch (asked.what) {
    case What::policy:
      body = Policy::to_json(context_.policy);
      break;
    case What::shards:
      body = overview::shards(state_);
      break;
    case What::machines:
      body = overview::machines(state_);
      break;
    case What::jobs:
      body = overview::jobs(state_);
      break;
    case What::negotiations:
      body = overview::negotiations(net_);
      break;
    case What::change_policy:
      break;
  }
  context_.act(AnswerAdmin{request, 200, std::move(body)});
}

void Controller::change_policy(std::uint64_t request, const Value& fields) {
  // Read, change, and write on condition that nobody else has changed it meanwhile.
  state_.store.get(records::kPolicyKey, [this, request, fields](const StoreResponse& a) {
    auto unavailable = [this, request] {
      context_.act(AnswerAdmin{request, 503, {{"error", "the state service did not confirm; read again"}}});
    };
    if (!a.ok() && a.outcome != Outcome::absent) return unavailable();
    Policy next;
    const Revision revision = a.entries.empty() ? Revision{} : a.entries.front().revision;
    if (revision != 0) Policy::apply(next, a.entries.front().value);
    if (auto problem = Policy::apply(next, fields)) {
      context_.act(AnswerAdmin{request, 400, {{"error", *problem}}});
      return;
    }
    Transaction transaction;
    transaction.compares = {{records::kPolicyKey, revision}};
    transaction.writes = {{records::kPolicyKey, Policy::to_json(next), 0}};
    state_.store.commit(std::move(transaction), [this, request, next, unavailable](const StoreResponse& b) {
      if (!b.ok()) return unavailable();
      context_.policy = next;
      context_.info("operators changed the settings: " + Policy::to_json(next).dump());
      context_.act(AnswerAdmin{request, 200, Policy::to_json(next)});
    });
  });
}

// ---- loading a part that was taken ---------------------------------------------------------------

void Controller::load(Shard& shard) {
  auto retry = [this, name = shard.name, leadership_term = shard.leadership_term] {
    context_.later(millis(300), [this, name, leadership_term] {
      if (Shard* p = state_.shard_in_term(name, leadership_term)) load(*p);
    });
  };
  struct Gathered {
    Micros asked{0};
    std::vector<KeyValue> live, owned_machines, awards, done;
    int missing = 4;
    bool failed = false;
  };
  auto gathered = std::make_shared<Gathered>();
  gathered->asked = state_.now();
  auto collect = [this, gathered, retry, name = shard.name,
                  leadership_term = shard.leadership_term](std::vector<KeyValue> Gathered::*into) {
    return [this, gathered, retry, name, leadership_term, into](const StoreResponse& a) {
      if (a.ok())
        (*gathered).*into = a.entries;
      else
        gathered->failed = true;
      if (--gathered->missing > 0) return;
      Shard* p = state_.shard_in_term(name, leadership_term);
      if (p == nullptr) return;
      if (gathered->failed || state_.catalogue.empty()) return retry();
      loaded(*p, gathered->asked, gathered->live, gathered->owned_machines, gathered->awards, gathered->done);
    };
  };
  state_.store.list(records::kLivePrefix, collect(&Gathered::live));
  state_.store.list(records::kOwnershipPrefix, collect(&Gathered::owned_machines));
  state_.store.list(records::kAwardPrefix, collect(&Gathered::awards));
  state_.store.list(records::kDonePrefix, collect(&Gathered::done));
}

void Controller::loaded(Shard& shard, Micros asked, const std::vector<KeyValue>& live,
                        const std::vector<KeyValue>& owned_machines, const std::vector<KeyValue>& awards,
                        const std::vector<KeyValue>& done) {
  // An earlier leader may have started anything on its machines.
  fleet_.ownership().load(shard, owned_machines);
  for (const KeyValue& entry : live) {
    auto record = records::live_job(entry.value);
    if (!record) continue;
    jobs_.learn(*record);
    if (record->shard == shard.name && state_.may_act_on(shard, record->spec.id, asked))
      Jobs::load(shard, *record).unreconciled = true;
  }
  shard.has_unreconciled_jobs = true;
  net_.load_awards(shard, awards, asked);
  ContractNet::load_progress(shard, done);
  fleet_.restore_unreachable_machines(shard);
  shard.award_freshness.confirm(shard.acquired_at, context_.settings.lease_term());
  load_quota_allocation(shard);
}

void Controller::load_quota_allocation(Shard& shard) {
  auto again = [this, name = shard.name, leadership_term = shard.leadership_term] {
    context_.later(millis(300), [this, name, leadership_term] {
      if (Shard* p = state_.shard_in_term(name, leadership_term)) load_quota_allocation(*p);
    });
  };
  state_.store.get(records::quota_key(shard.name), [this, again, name = shard.name,
                                                    leadership_term =
                                                        shard.leadership_term](const StoreResponse& a) {
    Shard* p = state_.shard_in_term(name, leadership_term);
    if (p == nullptr) return;
    if (a.ok() && !a.entries.empty()) {
      auto quota_allocation = records::quota_allocation(a.entries.front().value);
      if (!quota_allocation) return again();
      p->quota.load(quota_allocation->quota_shares, a.entries.front().revision);
      p->stage = Shard::Stage::ready;
      context_.info("part " + name + " is ready: " + std::to_string(p->jobs.size()) + " jobs, " +
                    std::to_string(p->machines.size()) + " machines");
      fleet_.on_shard_ready(*p);
      autoscaler_.on_shard_ready(*p);
      return;
    }
    if (a.outcome != Outcome::absent) return again();
    // The first leader ever: an equal share of every limit, the first shard with what is left over, so
    // that they sum to the limit.
    records::QuotaAllocation quota_allocation;
    const auto shards = static_cast<std::int64_t>(context_.settings.controllers());
    const bool first = name == state_.routes.begin()->first;
    auto share = [&](std::int64_t limit) { return limit / shards + (first ? limit % shards : 0); };
    for (const Team& team : context_.settings.teams)
      quota_allocation.quota_shares[team.name] = {share(team.limit.cpu), share(team.limit.gpu)};
    Transaction transaction;
    transaction.compares = {state_.fenced_by(*p), {records::quota_key(name), 0}};
    transaction.writes = {{records::quota_key(name), records::to_json(quota_allocation), 0}};
    state_.store.commit(std::move(transaction), [this, again, name, leadership_term](const StoreResponse& b) {
      Shard* q = state_.shard_in_term(name, leadership_term);
      b.ok() && q != nullptr ? load_quota_allocation(*q) : again();
    });
  });
}

}  // namespace bendtide
