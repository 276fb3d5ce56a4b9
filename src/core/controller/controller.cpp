#include "core/controller/controller.h"

#include "core/controller/overview.h"

namespace bendtide {

namespace {

constexpr Micros kSchedulingInterval = millis(100);

/// Removes or refuses what may be outdated if an action is executed late, because an unfinished job may have
/// ended or been cancelled in the meantime.
struct OutdatedActionFilter {
  void operator()(AnswerUser& answer) const { refuse_unless_final(answer.reply); }
  void operator()(PeerSend& message) const {
    if (auto* reply = std::get_if<JobReply>(&message.message)) refuse_unless_final(*reply);
  }
  /// At the next heartbeat of the worker, a removed start command counts as not sent.
  void operator()(WorkerCall& call) const {
    std::erase_if(call.request.commands,
                  [](const Command& command) { return command.kind == Command::Kind::start; });
  }
  template <class OtherAction>
  void operator()(OtherAction&) const {}

  template <class Reply>
  static void refuse_unless_final(Reply& reply) {
    if (!is_final(reply.phase)) reply.status = 503;
  }
};

}  // namespace

Controller::Controller(Settings settings, std::string incarnation, std::uint64_t seed)
    : context_{std::move(settings), {}, std::move(incarnation), std::mt19937_64(seed), {}, {}, {}, {}},
      state_(context_),
      policy_(state_),
      fleet_(state_, {[this](Shard& shard, Machine& machine) { place_on(shard, machine); },
                      [this] { shard_leases_.invalidate(); }}),
      scheduler_(state_, fleet_),
      contract_net_(state_, scheduler_, {[this] { shard_leases_.invalidate(); }}),
      jobs_(state_, {[this](Shard& shard) { schedule(shard); }, [this] { shard_leases_.invalidate(); }}),
      autoscaler_(state_, fleet_),
      loader_(state_, fleet_, contract_net_, jobs_, [this](Shard& shard) { on_shard_ready(shard); }),
      shard_leases_(
          state_, fleet_, [this](Shard& shard) { loader_.load(shard); },
          [this](const std::string& shard) { fleet_.on_shard_lost(shard); }) {}

void Controller::set_clocks(Micros steady, Micros wall) {
  context_.now = std::max(context_.now, steady);
  context_.wall = wall;
}

void Controller::schedule(Shard& shard) {
  scheduler_.run_pass(shard);
  fleet_.push_commands(shard);
}

void Controller::place_on(Shard& shard, Machine& machine) {
  // Tasks of stale awards must be stopped before new tasks are placed on the machine.
  contract_net_.stop_stale_awards(shard, machine);
  scheduler_.fill_machine(shard, machine);
}

void Controller::on_shard_ready(Shard& shard) {
  fleet_.on_shard_ready(shard);
  autoscaler_.on_shard_ready(shard);
}

void Controller::tick() {
  context_.run_due_timers();
  shard_leases_.tick();
  state_.store.send_queued();
  policy_.tick();
  if (context_.now < next_scheduling_at_) return;
  next_scheduling_at_ = context_.now + kSchedulingInterval;
  fleet_.tick();
  if (state_.lease_valid())
    for (auto& [name, shard] : state_.shards)
      if (shard.ready()) schedule(shard);
  jobs_.tick();
  contract_net_.tick();
  autoscaler_.tick();
}

bool Controller::healthy() {
  return state_.ready_shard(state_.own_host()) != nullptr && !state_.catalogue.empty();
}

std::vector<Action> Controller::take_actions(Micros steady) {
  // Commands and writes carry the fencing token, so their receivers can reject outdated ones. Replies carry
  // no token: after a pause, the lease of this controller may have expired and another leader may have
  // replied since.
  const bool paused = steady - context_.now > kTimerMargin;
  std::vector<Action> out;
  while (!context_.actions.empty()) {
    std::vector<Action> batch = std::exchange(context_.actions, {});
    for (Action& action : batch) {
      if (paused) std::visit(OutdatedActionFilter{}, action);
      // A controller that leads the home shard of a peer may send messages to itself.
      const auto* to_peer = std::get_if<PeerSend>(&action);
      if (to_peer != nullptr && to_peer->host == state_.own_host())
        on_peer(state_.own_host(), to_peer->message);
      else
        out.push_back(std::move(action));
    }
  }
  return out;
}

void Controller::on_peer(const std::string& host, const PeerMessage& message) {
  struct Visitor {
    Controller& controller;
    const std::string& host;
    void operator()(const JobQuery& m) { controller.jobs_.on_query(host, m); }
    void operator()(const JobReply& m) { controller.jobs_.on_reply(m); }
    void operator()(const CallForProposals& m) { controller.contract_net_.on_call(m); }
    void operator()(const Proposal& m) { controller.contract_net_.on_proposal(m); }
    void operator()(const AwardNotice& m) { controller.contract_net_.on_award_notice(m.shard); }
    void operator()(const JobEndNotice& m) { controller.contract_net_.on_job_end_notice(m); }
    void operator()(const ProgressNotice& m) { controller.contract_net_.on_progress_notice(m.shard); }
    void operator()(const FailbackRequest& m) {
      if (m.shard == host) controller.shard_leases_.transfer_to_home_host(m.shard);
    }
    void operator()(const QuotaTransferRequest& m) { controller.contract_net_.on_quota_transfer_request(m); }
    void operator()(const CapacityExhausted& m) { controller.autoscaler_.on_capacity_exhausted(m); }
    void operator()(const PeerHealth& m) { controller.shard_leases_.on_peer_health(host, m); }
    void operator()(const LeaseTransfer& m) { controller.shard_leases_.on_lease_transfer(m); }
  };
  std::visit(Visitor{*this, host}, message);
}

// ---- operators -----------------------------------------------------------------------------------

void Controller::on_admin(std::uint64_t request, const AdminRequest& admin_request) {
  using Kind = AdminRequest::Kind;
  const auto answer = [&](Value body) { context_.emit(AnswerAdmin{request, 200, std::move(body)}); };
  switch (admin_request.kind) {
    case Kind::policy:
      return answer(Policy::to_json(context_.policy));
    case Kind::shards:
      return answer(overview::shards(state_));
    case Kind::machines:
      return answer(overview::machines(state_));
    case Kind::jobs:
      return answer(overview::jobs(state_));
    case Kind::negotiations:
      return answer(overview::negotiations(contract_net_));
    case Kind::change_policy:
      return policy_.change(request, admin_request.body);
  }
}

}  // namespace bendtide
