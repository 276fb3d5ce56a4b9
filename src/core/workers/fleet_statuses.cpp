// What a worker's status changes, whether it came in a heartbeat or in the response to a command request.
#include "core/workers/fleet.h"

namespace bendtide {

/// A status that shows no fencing token of this leadership term may be a late copy from before it, by any
/// time: it may be replied to, so that the worker learns the fencing token, but nothing in it is trusted.
bool Fleet::is_trusted(const Shard& shard, const Heartbeat& status) {
  return status.fencing_token >= shard.first_fencing_token;
}

/// The worker's lease runs from the beginning of the incarnation, which a refused or executed command request
/// shows as well: a worker that reaches no controller still gets commands. Without this its tasks would be
/// given up, and started elsewhere, while they run on for the rest of the new lease.
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
    judge_reply_effect(shard, machine, effect);
  }
  shard.set_reconciled(machine, true);
  if (!machine.idle()) machine.idle_since = state_.now();
}

/// A new incarnation begins with an empty machine.
void Fleet::apply_incarnation(Shard& shard, Machine& machine, const Heartbeat& status) {
  if (status.incarnation > machine.liveness.incarnation) {
    tasks_.release_all(shard, machine);
    begin_incarnation(machine, status.incarnation);
  }
  // Given up, and yet there: it began the incarnation that we expected at some unknown moment.
  if (machine.liveness.lease_expired) machine.liveness.last_reply_at = state_.now();
}

void Fleet::mark_up(Shard& shard, Machine& machine) {
  Liveness& liveness = machine.liveness;
  if (!liveness.status_received || liveness.lease_expired) {
    shard.changed();
    machine.idle_since = state_.now();  // nothing could be placed on it before
  }
  if (!liveness.status_received && !machine.in_use) ownership_.on_machine_up(shard, machine);
  liveness.status_received = true;
  liveness.lease_expired = false;
  liveness.last_status_at = state_.now();
}

void Fleet::apply_preemption_notice(const Shard& shard, Machine& machine, const Heartbeat& status) const {
  if (!status.preemption_notice) return;
  if (!machine.lifecycle.preemption_notice_until)
    state_.context.info(LogMessage("preemption notice").shard(shard.name).machine(machine.name));
  machine.lifecycle.preemption_notice_until = state_.now() + *status.preemption_notice;
}

/// What our last reply was to lead to: a higher fencing token in the status, and the attempts that it
/// started.
Fleet::ReplyEffect Fleet::reply_effect(const Machine& machine, const Heartbeat& status) {
  const Acknowledgements& acknowledgements = machine.acknowledgements;
  const std::uint64_t replied_heartbeat = acknowledgements.replied_heartbeat();
  if (replied_heartbeat == 0) return {};
  ReplyEffect effect{acknowledgements.reply_token() > acknowledgements.acknowledged_token(),
                     status.fencing_token >= acknowledgements.reply_token()};
  for (const auto& [id, placement] : machine.tasks) {
    const bool listed = placement.last_listed_in == status.sequence_number;
    if (!placement.start.was_in_reply_to(replied_heartbeat)) continue;
    if (!listed && placement.seen != Placement::Seen::no) continue;
    effect.expected = true;
    effect.seen &= listed;
  }
  return effect;
}

/// A higher fencing token shows that something arrived, and rules out starts under lower ones.
void Fleet::apply_fencing_token(Machine& machine, FencingToken token) {
  if (token > machine.acknowledgements.acknowledged_token()) machine.acknowledgements.clear_missed();
  machine.acknowledgements.set_acknowledged_token(token);
  for (auto& [id, placement] : machine.tasks) placement.start.token_acknowledged(token);
}

/// An attempt that was there and is not listed is gone. So is one that never showed, if it is not wanted any
/// more: the worker was done with our last reply before it sent this heartbeat.
void Fleet::release_absent_tasks(Shard& shard, Machine& machine, std::uint64_t sequence_number) {
  std::vector<AttemptId> absent;
  for (const auto& [id, placement] : machine.tasks) {
    if (placement.last_listed_in == sequence_number || placement.start.push_may_take_effect()) continue;
    const bool was_there = placement.seen != Placement::Seen::no;
    const bool never_took_effect = !placement.wanted && placement.start.last_reply_precedes(sequence_number);
    if (was_there || never_took_effect) absent.push_back(id);
  }
  for (const AttemptId& id : absent) tasks_.release(shard, machine, id);
}

void Fleet::judge_reply_effect(Shard& shard, Machine& machine, const ReplyEffect& effect) const {
  if (!effect.expected) return;
  if (effect.seen)
    machine.acknowledgements.clear_missed();
  else if (failures_.sent_after(machine.acknowledgements.reply_sent_at()))
    FailureDetector::add_missed_acknowledgement(shard, machine, Acknowledgements::kWeakEvidence);
  machine.acknowledgements.forget_reply();
}

}  // namespace bendtide
