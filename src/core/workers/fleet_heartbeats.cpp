// Replies to the heartbeats of machines of the shards that this controller leads.
#include "core/workers/fleet.h"

namespace bendtide {

void Fleet::on_own_heartbeat(std::uint64_t request, Shard& shard, const Heartbeat& heartbeat) {
  Machine* machine = accept_heartbeat(shard, heartbeat);
  if (machine == nullptr) return router_.refuse(request);
  machine->liveness.last_heartbeat_at = state_.now();
  FailureDetector::count_lost_push(shard, *machine);
  check_token_acknowledgement(shard, *machine, heartbeat);
  // A reply would not reach the machine and so would not renew its lease. But recording the reply would
  // postpone the time at which the lease is known to have expired.
  if (machine->acknowledgements.unreachable()) return router_.refuse(request);
  machine->acknowledgements.token_sent(state_.now());
  const Micros previous_reply_at = std::exchange(machine->liveness.last_reply_at, state_.now());
  HeartbeatReply reply{200, shard.fencing_token, {}, {}};
  if (is_trusted(shard, heartbeat) && machine->liveness.is_newer_status(heartbeat))
    reply.commands = reply_to_status(shard, *machine, heartbeat, previous_reply_at);
  else
    reply.commands = reply_to_untrusted_status(shard, *machine, heartbeat);
  commands_.log(shard, *machine, reply.commands, heartbeat.sequence_number);
  state_.context.emit(AnswerHeartbeat{request, std::move(reply)});
}

/// Returns the machine of a heartbeat that may be replied to; null if the heartbeat must be refused.
Machine* Fleet::accept_heartbeat(Shard& shard, const Heartbeat& heartbeat) const {
  if (heartbeat.fencing_token > shard.fencing_token) {
    // A higher fencing token was issued: either the shard has another leader, or the machine belonged to
    // another shard before.
    hooks_.invalidate_leases();
    shard.token_advance.request_soon();
    return nullptr;
  }
  const auto found = shard.machines.find(heartbeat.machine);
  // The machine was deleted; the heartbeat was sent before that.
  if (found == shard.machines.end()) return nullptr;
  // The worker does not wait for the reply to a duplicate heartbeat, and that reply would not renew its
  // lease.
  if (found->second.liveness.is_duplicate(heartbeat)) return nullptr;
  return &found->second;
}

/// Adds evidence if a heartbeat was sent well after a fencing token of this leadership term was, but does not
/// show it: the token did not arrive.
void Fleet::check_token_acknowledgement(Shard& shard, Machine& machine, const Heartbeat& heartbeat) {
  Acknowledgements& acknowledgements = machine.acknowledgements;
  const std::optional<Micros> token_sent_at = acknowledgements.token_sent_at();
  if (is_trusted(shard, heartbeat) || !token_sent_at || !failures_.sent_after_delivery_of(*token_sent_at))
    return;
  FailureDetector::add_missed_acknowledgement(shard, machine, Acknowledgements::kStrongEvidence);
  acknowledgements.restart_token_wait(state_.now());
}

std::vector<Command> Fleet::reply_to_status(Shard& shard, Machine& machine, const Heartbeat& heartbeat,
                                            Micros previous_reply_at) {
  check_early_incarnation(shard, machine, heartbeat, previous_reply_at);
  apply_status(shard, machine, heartbeat, StatusSource::heartbeat);
  machine.liveness.heartbeat_sequence_number = heartbeat.sequence_number;
  hooks_.place_waiting_tasks(shard, machine);
  std::vector<Command> commands = commands_.commands_for(shard, machine, heartbeat.sequence_number);
  machine.acknowledgements.reply_sent(heartbeat.sequence_number, shard.fencing_token, state_.now());
  return commands;
}

/// Adds evidence if a new incarnation began although the last reply should have renewed the lease of the old
/// one: the reply did not arrive.
void Fleet::check_early_incarnation(Shard& shard, Machine& machine, const Heartbeat& heartbeat,
                                    Micros previous_reply_at) {
  const Liveness& liveness = machine.liveness;
  const bool lease_ran_out =
      heartbeat.incarnation > liveness.incarnation && liveness.status_received && !liveness.lease_expired;
  const bool should_have_lasted =
      state_.now() - previous_reply_at < state_.context.settings.worker_lease * 3 / 4;
  if (lease_ran_out && should_have_lasted && failures_.sent_after_delivery_of(previous_reply_at))
    FailureDetector::add_missed_acknowledgement(shard, machine, Acknowledgements::kStrongEvidence);
}

std::vector<Command> Fleet::reply_to_untrusted_status(Shard& shard, Machine& machine,
                                                      const Heartbeat& heartbeat) {
  if (!machine.reconciled) {
    machine.address = heartbeat.address;
    shard.request_push(machine);
  }
  return CommandBuilder::stops_for_unknown_tasks(shard, heartbeat);
}

}  // namespace bendtide
