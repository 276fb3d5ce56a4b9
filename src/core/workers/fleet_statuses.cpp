// Applies the statuses of workers, which arrive in heartbeats and in responses to command requests.
#include "core/workers/fleet.h"

namespace bendtide {

/// Returns whether the contents of a status may be used. A status without a fencing token of this leadership
/// term may be a copy from before the term, delayed by any length of time. It is still replied to, so that
/// the worker receives the fencing token.
bool Fleet::is_trusted(const Shard& shard, const Heartbeat& status) {
  return status.fencing_token >= shard.first_fencing_token;
}

/// Records a new incarnation, whose beginning also starts the worker's lease. The incarnation may be learned
/// from the response to a command request, because a worker whose heartbeats reach no controller may still
/// receive commands. If the lease were not counted from here, the tasks of such a worker would be started
/// elsewhere while they keep running until the new lease expires.
void Fleet::begin_incarnation(Machine& machine, std::uint64_t incarnation) const {
  machine.begin_incarnation(incarnation);
  machine.liveness.last_reply_at = state_.now();
}

void Fleet::apply_status(Shard& shard, Machine& machine, const Heartbeat& status, StatusSource source) {
  apply_incarnation(shard, machine, status);
  machine.liveness.sequence_number = status.sequence_number;
  machine.address = status.address;
  mark_up(shard, machine);
  apply_preemption_notice(shard, machine, status);
  for (const TaskStatus& task : status.tasks)
    tasks_.apply_status(shard, machine, task, status.sequence_number);

  const ReplyEffect effect = reply_effect(machine, status);
  apply_fencing_token(machine, status.fencing_token);
  if (source == StatusSource::heartbeat) {
    release_absent_tasks(shard, machine, status.sequence_number);
    check_reply_effect(shard, machine, effect);
  }
  shard.set_reconciled(machine, true);
  if (!machine.idle()) machine.idle_since = state_.now();
}

/// Releases all tasks if a new incarnation has begun: it starts without tasks.
void Fleet::apply_incarnation(Shard& shard, Machine& machine, const Heartbeat& status) {
  if (status.incarnation > machine.liveness.incarnation) {
    tasks_.release_all(shard, machine);
    begin_incarnation(machine, status.incarnation);
  }
  // The lease was recorded as expired, but the worker is alive: it began the expected incarnation at an
  // unknown time, so its lease is counted from now.
  if (machine.liveness.lease_expired) machine.liveness.last_reply_at = state_.now();
}

void Fleet::mark_up(Shard& shard, Machine& machine) {
  Liveness& liveness = machine.liveness;
  if (!liveness.status_received || liveness.lease_expired) {
    shard.request_scheduling_pass();
    machine.idle_since = state_.now();  // no task could be placed on it before
  }
  if (!liveness.status_received && !machine.in_use) ownership_.on_machine_up(shard, machine);
  liveness.status_received = true;
  liveness.lease_expired = false;
  liveness.last_status_at = state_.now();
}

void Fleet::apply_preemption_notice(const Shard& shard, Machine& machine, const Heartbeat& status) const {
  if (!status.preemption_notice) return;
  if (!machine.lifecycle.preemption_at)
    state_.context.info(LogMessage("preemption notice").shard(shard.name).machine(machine.name));
  machine.lifecycle.preemption_at = state_.now() + *status.preemption_notice;
}

/// Returns the expected effect of the last reply, and whether the status shows it: a higher fencing token,
/// and the attempts that the reply started.
Fleet::ReplyEffect Fleet::reply_effect(const Machine& machine, const Heartbeat& status) {
  const Acknowledgements& acknowledgements = machine.acknowledgements;
  const std::uint64_t replied_heartbeat = acknowledgements.replied_heartbeat();
  if (replied_heartbeat == 0) return {};
  ReplyEffect effect{acknowledgements.reply_token() > acknowledgements.acknowledged_token(),
                     status.fencing_token >= acknowledgements.reply_token()};
  for (const auto& [id, placement] : machine.tasks) {
    const bool listed = placement.last_listed_in == status.sequence_number;
    if (!placement.start.was_in_reply_to(replied_heartbeat)) continue;
    if (!listed && placement.reported_state != Placement::ReportedState::no) continue;
    effect.expected = true;
    effect.seen &= listed;
  }
  return effect;
}

/// Records the fencing token that a status shows. A higher token proves that a message arrived, and that
/// starts pushed under lower tokens will not be executed.
void Fleet::apply_fencing_token(Machine& machine, FencingToken token) {
  if (token > machine.acknowledgements.acknowledged_token()) machine.acknowledgements.clear_evidence();
  machine.acknowledgements.set_acknowledged_token(token);
  for (auto& [id, placement] : machine.tasks) placement.start.token_acknowledged(token);
}

/// Releases the attempts that a heartbeat does not list. An attempt that an earlier status listed is gone. An
/// attempt that no status has listed and that is no longer wanted will not start: the worker had processed
/// the last reply with its start before it sent this heartbeat. Attempts that a push may still start are
/// kept.
void Fleet::release_absent_tasks(Shard& shard, Machine& machine, std::uint64_t sequence_number) {
  std::vector<AttemptId> absent;
  for (const auto& [id, placement] : machine.tasks) {
    if (placement.last_listed_in == sequence_number || placement.start.push_may_take_effect()) continue;
    const bool was_there = placement.reported_state != Placement::ReportedState::no;
    const bool never_took_effect = !placement.wanted && placement.start.last_reply_precedes(sequence_number);
    if (was_there || never_took_effect) absent.push_back(id);
  }
  for (const AttemptId& id : absent) tasks_.release(shard, machine, id);
}

void Fleet::check_reply_effect(Shard& shard, Machine& machine, const ReplyEffect& effect) const {
  if (!effect.expected) return;
  if (effect.seen)
    machine.acknowledgements.clear_evidence();
  else if (failures_.sent_after_delivery_of(machine.acknowledgements.reply_sent_at()))
    FailureDetector::add_missed_acknowledgement(shard, machine, Acknowledgements::kWeakEvidence);
  machine.acknowledgements.clear_reply();
}

}  // namespace bendtide
