// Pushes commands to machines, outside the replies to their heartbeats.
#include "core/workers/fleet.h"

namespace bendtide {

using Outcome = CommandResponse::Outcome;

/// Returns whether the machine needs commands, a fencing token or a check that should not wait for its next
/// heartbeat.
bool Fleet::needs_push(const Machine& machine) {
  if (!machine.reconciled || machine.acknowledgements.has_evidence()) return true;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [](const auto& entry) {
    const Placement& placement = entry.second;
    if (placement.wanted)
      return placement.reported_state == Placement::ReportedState::no &&
             placement.start.cannot_have_started();
    return placement.takes_resources() && placement.reported_state != Placement::ReportedState::no &&
           placement.stop_requested_at == Micros{0};
  });
}

/// Returns whether commands may be pushed to the machine now. A silent machine that is reconciled receives
/// its commands in the reply to its next heartbeat instead.
bool Fleet::may_push_to(const Machine& machine) const {
  if (machine.push_in_flight || machine.liveness.lease_expired || machine.lifecycle.decommissioned ||
      machine.address.empty())
    return false;
  const Micros silence = state_.now() - machine.liveness.last_status_at;
  return !machine.reconciled || silence <= state_.context.settings.heartbeat_interval * 3 / 2;
}

void Fleet::push_commands(Shard& shard) {
  std::vector<std::string> names;
  std::swap(names, shard.machines_to_push_to);
  for (std::string& name : names) {
    const auto found = shard.machines.find(name);
    if (found == shard.machines.end()) continue;
    if (calls_.push_limit_reached()) {
      shard.machines_to_push_to.push_back(std::move(name));
      continue;
    }
    Machine& machine = found->second;
    machine.push_pending = false;
    if (may_push_to(machine) && needs_push(machine)) push_commands_to(shard, machine);
  }
}

/// Sends a machine its commands. A machine that is not reconciled receives only the fencing token.
void Fleet::push_commands_to(Shard& shard, Machine& machine) {
  std::vector<Command> commands;
  if (machine.reconciled) commands = commands_.commands_for(shard, machine, 0);
  WorkerCalls::Push push{shard.name,          shard.leadership_term, machine.name,
                         shard.fencing_token, state_.now(),          {}};
  for (const Command& command : commands) {
    if (command.kind != Command::Kind::start) continue;
    const AttemptId id{command.task, command.attempt};
    push.starts.push_back(id);
    machine.tasks.at(id).start.pushed(shard.fencing_token);
  }
  commands_.log(shard, machine, commands, 0);
  machine.push_in_flight = true;
  machine.acknowledgements.token_sent(state_.now());
  const std::uint64_t first_incarnation = 1;
  const std::uint64_t incarnation = std::max(machine.liveness.incarnation, first_incarnation);
  calls_.push(std::move(push), {machine.address, incarnation, shard.fencing_token, std::move(commands)});
}

void Fleet::probe(const std::string& address, WorkerCalls::ProbeCallback done) {
  calls_.probe(address, std::move(done));
}

void Fleet::on_command_response(std::uint64_t call, const CommandResponse& response) {
  if (const auto done = calls_.take_probe(call)) return (*done)(response.heartbeat.has_value());
  if (const auto push = calls_.take_push(call)) on_push_response(*push, response);
}

void Fleet::on_push_response(const WorkerCalls::Push& push, const CommandResponse& response) {
  Shard* shard = state_.shard_in_term(push.shard, push.leadership_term);
  if (shard == nullptr) return;
  const auto found = shard->machines.find(push.machine);
  if (found == shard->machines.end()) return;
  Machine& machine = found->second;
  machine.push_in_flight = false;
  for (const AttemptId& id : push.starts)
    if (const auto placed = machine.tasks.find(id); placed != machine.tasks.end())
      placed->second.start.push_ended();
  if (response.outcome == Outcome::unknown) on_push_lost(*shard, machine, push);
  if (response.heartbeat && response.heartbeat->machine == machine.name &&
      response.heartbeat->fencing_token <= shard->fencing_token)
    apply_response_status(*shard, machine, response);
  if (response.outcome != Outcome::unknown && needs_push(machine)) shard->request_push(machine);
}

/// Handles a push without response. Its starts may still be executed at any later time under the fencing
/// token of the push, until the worker acknowledges a higher token.
void Fleet::on_push_lost(Shard& shard, Machine& machine, const WorkerCalls::Push& push) {
  for (const AttemptId& id : push.starts) {
    const auto placed = machine.tasks.find(id);
    if (placed == machine.tasks.end()) continue;
    placed->second.start.push_outcome_unknown(push.fencing_token);
    shard.token_advance.request_soon();
  }
  machine.acknowledgements.push_got_no_response(push.sent_at, machine.reconciled);
}

void Fleet::apply_response_status(Shard& shard, Machine& machine, const CommandResponse& response) {
  const Heartbeat& status = *response.heartbeat;
  if (!machine.reconciled && response.outcome == Outcome::refused) {
    // The worker refused the request; on_push_response() requests another push with the fencing token.
    if (status.incarnation > machine.liveness.incarnation) begin_incarnation(machine, status.incarnation);
  } else if (is_trusted(shard, status) && machine.liveness.is_newer_status(status)) {
    apply_status(shard, machine, status, StatusSource::command_response);
  }
  machine.acknowledgements.clear_evidence();  // the request arrived, whether executed or refused
}

}  // namespace bendtide
