#include "core/negotiation/initiator.h"

#include <algorithm>

#include "core/negotiation/award_selection.h"
#include "core/negotiation/task_ranges.h"

namespace bendtide {

namespace {

constexpr Micros kProposalTimeout = millis(300);
constexpr std::size_t kMaxOpenNegotiations = 16;
constexpr std::size_t kMaxCallsPerTick = 2;
constexpr std::int64_t kMaxTasksPerAward = 4096;
/// The writes of a job's final transaction that do not remove an award, plus the removal of one further
/// award.
constexpr std::size_t kReservedWrites = 3;

/// The cost of a proposal: its start delay in seconds plus its load as a fraction. The lowest score wins.
double score(const Proposal& proposal) {
  return in_seconds(proposal.start_delay) + static_cast<double>(proposal.load_permille) / 1000.0;
}

/// Whether the shards that refused `refused` would also refuse `job`: its tasks need at least the same
/// resources under the same rules and at no higher priority.
bool would_also_be_refused(const Job& job, const Job& refused) {
  const JobSpec& spec = job.spec;
  const JobSpec& other = refused.spec;
  return spec.team == other.team && spec.priority <= other.priority && spec.spot == other.spot &&
         spec.zone == other.zone && spec.types == other.types &&
         other.task_resources.fits_in(spec.task_resources);
}

}  // namespace

Initiator::Initiator(ControllerState& state, QuotaTransfer& quota_transfer, NegotiationCounters& counters)
    : state_(state),
      quota_transfer_(quota_transfer),
      counters_(counters),
      // The first id is random, so that a late proposal for a call of an earlier process of this host does
      // not match a call of this process.
      next_call_id_(state.context.random() >> 8) {}

/// Only the shard that owns a job may award its tasks, and only if the job's zone rules do not require a
/// single scheduler to see all of its tasks.
bool Initiator::may_be_awarded(const Job& job) {
  return job.owner.empty() && !job.spec.needs_single_controller();
}

/// An award to a shard that tasks of the job are awarded to already replaces that award.
bool Initiator::may_be_awarded_to(const Job& job, const std::string& shard) const {
  return may_have_further_award(job) ||
         std::any_of(job.awards.begin(), job.awards.end(),
                     [&](const auto& award) { return award.second.winner == shard; });
}

/// The number of awards of a job is limited because its final write removes all of them in one transaction.
bool Initiator::may_have_further_award(const Job& job) const {
  return job.awards.size() + kReservedWrites <= state_.context.settings.store_transaction_writes;
}

// ---- calls ---------------------------------------------------------------------------------------

void Initiator::start_calls(Shard& shard) {
  if (state_.store.is_queue_long()) return;
  std::size_t calls = 0;
  for (Job* job : jobs_due_for_call(shard)) {
    if (calls >= kMaxCallsPerTick || negotiations_.size() >= kMaxOpenNegotiations) return;
    if (start_call(shard, *job)) ++calls;
  }
}

/// Returns the jobs whose next call is due, the earliest due first; jobs due at the same time stay in queue
/// order. In queue order alone, the first few jobs would call repeatedly and the others never. The others
/// would then never be refused by the other shards, and no machine is created for a job before it has been
/// refused.
std::vector<Job*> Initiator::jobs_due_for_call(Shard& shard) const {
  std::vector<Job*> due;
  for (const QueueEntry& entry : shard.queue)
    if (entry.job->tasks_without_capacity > 0 && state_.now() >= entry.job->next_call_for_proposals_at &&
        entry.job->tasks_in_award == 0)
      due.push_back(entry.job);
  std::stable_sort(due.begin(), due.end(), [](const Job* a, const Job* b) {
    return a->next_call_for_proposals_at < b->next_call_for_proposals_at;
  });
  return due;
}

/// Returns false, and marks the job as needing machines, if a call cannot help it or no other shard is
/// reachable.
bool Initiator::start_call(Shard& shard, Job& job) {
  // For a job whose tasks can't be awarded, a call still serves to find peers that can transfer quota share.
  if (!may_be_awarded(job) && !job.quota_share_exhausted) {
    job.needs_machines = true;
    return false;
  }
  job.next_call_for_proposals_at = state_.now() + seconds(state_.context.policy.call_again_s);
  Negotiation negotiation;
  negotiation.shard = shard.name;
  negotiation.leadership_term = shard.leadership_term;
  negotiation.call = make_call(shard, job);
  negotiation.participants = reachable_shards(shard.name);
  if (negotiation.participants.empty()) {
    job.needs_machines = true;
    return false;
  }
  ++counters_.calls;
  state_.context.debug([&] {
    return LogMessage("call for proposals")
        .shard(shard.name)
        .token(shard.fencing_token)
        .job(job.spec.id)
        .detail("call", negotiation.call.id)
        .detail("tasks", negotiation.call.tasks);
  });
  const std::uint64_t id = negotiation.call.id;
  send_call(negotiations_.emplace(id, std::move(negotiation)).first->second);
  return true;
}

CallForProposals Initiator::make_call(const Shard& shard, const Job& job) {
  CallForProposals call;
  call.id = next_call_id_++;
  call.from_shard = shard.name;
  call.job = job.spec.id;
  call.team = job.spec.team;
  call.tasks = job.tasks_without_capacity;
  call.task_resources = job.spec.task_resources;
  call.types = job.spec.types;
  call.zone = job.spec.zone.value_or("");
  call.spot = job.spec.spot;
  call.image = job.spec.image;
  call.spare_quota = shard.quota.spare(job.spec.team);
  return call;
}

std::set<std::string> Initiator::reachable_shards(const std::string& except) const {
  std::set<std::string> shards;
  for (const auto& [name, route] : state_.routes)
    if (name != except && state_.reachable(route.host)) shards.insert(name);
  return shards;
}

void Initiator::send_call(Negotiation& negotiation) {
  ++counters_.rounds;
  negotiation.proposals.clear();
  negotiation.decide_at = state_.now() + kProposalTimeout;
  for (const std::string& shard : negotiation.participants) state_.send_to_leader_of(shard, negotiation.call);
}

void Initiator::on_proposal(const Proposal& proposal) {
  const auto found = negotiations_.find(proposal.id);
  if (found == negotiations_.end()) return;
  Negotiation& negotiation = found->second;
  if (proposal.round != negotiation.call.round || !negotiation.participants.contains(proposal.shard)) return;
  negotiation.proposals[proposal.shard] = proposal;
  if (negotiation.proposals.size() == negotiation.participants.size()) negotiation.decide_at = state_.now();
}

// ---- decisions -----------------------------------------------------------------------------------

void Initiator::decide_due_calls() {
  std::vector<std::uint64_t> due;
  for (const auto& [id, negotiation] : negotiations_)
    if (state_.now() >= negotiation.decide_at) due.push_back(id);
  for (const std::uint64_t id : due) decide(id);
}

void Initiator::decide(std::uint64_t call_id) {
  Negotiation negotiation = std::move(negotiations_.at(call_id));
  negotiations_.erase(call_id);
  Shard* shard = state_.ready_shard(negotiation.shard);
  if (shard == nullptr || shard->leadership_term != negotiation.leadership_term) return;
  const auto found = shard->jobs.find(negotiation.call.job);
  if (found == shard->jobs.end()) return;
  Job& job = found->second;
  if (!job.can_start(state_.now()) || job.may_be_on_unreconciled_machines) return;

  const std::vector<Proposal> feasible = feasible_proposals(negotiation, job);
  if (feasible.empty()) return on_no_feasible_proposal(*shard, job, negotiation);
  const bool has_rounds_left = static_cast<int>(negotiation.call.round) < state_.context.policy.call_rounds;
  if (has_rounds_left && are_best_scores_close(feasible))
    return start_next_round(std::move(negotiation), job, feasible);
  award(*shard, job, feasible.front());
}

/// Returns the proposals that an award can be based on, the best one first. A feasible proposal accepts at
/// least one task, and names the revision of the allocation record that it is valid for.
std::vector<Proposal> Initiator::feasible_proposals(const Negotiation& negotiation, const Job& job) const {
  std::vector<Proposal> feasible;
  if (!may_be_awarded(job)) return feasible;
  for (const auto& [name, proposal] : negotiation.proposals)
    if (proposal.tasks > 0 && proposal.tasks <= negotiation.call.tasks && proposal.quota_revision != 0 &&
        may_be_awarded_to(job, proposal.shard))
      feasible.push_back(proposal);
  std::sort(feasible.begin(), feasible.end(), [](const Proposal& a, const Proposal& b) {
    return std::pair(score(a), a.shard) < std::pair(score(b), b.shard);
  });
  return feasible;
}

/// Whether the scores of the two best proposals differ by at most the fraction `close_bids` of the policy.
bool Initiator::are_best_scores_close(const std::vector<Proposal>& feasible) const {
  if (feasible.size() < 2) return false;
  const double best = score(feasible[0]);
  const double second = score(feasible[1]);
  return second - best <= state_.context.policy.close_bids * std::max(second, 1e-9);
}

void Initiator::start_next_round(Negotiation negotiation, const Job& job,
                                 const std::vector<Proposal>& feasible) {
  CallForProposals& call = negotiation.call;
  ++call.round;
  call.disclosed = true;
  call.priority = job.spec.priority;
  call.time_to_deadline =
      job.spec.deadline ? std::max(millis(1), job.deadline_at() - state_.context.wall) : Micros{0};
  negotiation.participants.clear();
  for (const Proposal& proposal : feasible) negotiation.participants.insert(proposal.shard);
  const std::uint64_t id = call.id;
  send_call(negotiations_.emplace(id, std::move(negotiation)).first->second);
}

void Initiator::on_no_feasible_proposal(Shard& shard, Job& job, const Negotiation& negotiation) {
  ++counters_.without_feasible_proposal;
  job.needs_machines = true;
  if (job.quota_share_exhausted)
    request_quota(shard, job, negotiation);
  else
    mark_similar_refused(shard, job);
}

/// Requests unused quota share from other shards after none of them could take tasks within its own share.
/// The unused share of a single shard may be less than one task needs, so the request goes to several shards.
void Initiator::request_quota(const Shard& shard, const Job& job, const Negotiation& negotiation) {
  std::vector<const Proposal*> donors;
  for (const auto& [name, proposal] : negotiation.proposals)
    if (proposal.free_quota_share != Quota{}) donors.push_back(&proposal);
  std::sort(donors.begin(), donors.end(),
            [](const Proposal* a, const Proposal* b) { return a->free_quota_share > b->free_quota_share; });
  const Quota wanted = quota_of(job.spec.task_resources) * static_cast<std::int64_t>(job.waiting.size());
  Quota expected = shard.quota.free(job.spec.team);
  for (const Proposal* donor : donors) {
    if (wanted.fits_in(expected)) return;
    state_.send_to_leader_of(donor->shard, QuotaTransferRequest{donor->shard, shard.name, job.spec.team,
                                                                wanted - expected, job.accepted_at});
    expected += donor->free_quota_share;
  }
}

/// Marks all jobs that would be refused for the same reason, so that they need no calls of their own.
void Initiator::mark_similar_refused(Shard& shard, const Job& refused) {
  for (const QueueEntry& entry : shard.queue) {
    Job& job = *entry.job;
    if (&job == &refused || job.tasks_without_capacity == 0 || job.tasks_in_award > 0 ||
        job.quota_share_exhausted)
      continue;
    if (!would_also_be_refused(job, refused)) continue;
    job.needs_machines = true;
    job.next_call_for_proposals_at =
        std::max(job.next_call_for_proposals_at, refused.next_call_for_proposals_at);
  }
}

// ---- awards --------------------------------------------------------------------------------------

/// Awards as many tasks as the proposal accepts and the quota allows, and transfers the quota share that the
/// winner lacks for them. The new record also covers the unfinished tasks of an earlier award to the same
/// shard, if it can replace that award.
void Initiator::award(Shard& shard, Job& job, const Proposal& best) {
  if (!shard.quota.is_current()) return;
  const std::int64_t count = count_tasks_to_award(shard, job, best);
  if (count <= 0) return;
  AwardedTasks award;
  award.job = job.spec.id;
  award.key = records::award_key(best.shard, job.spec.id, shard.next_attempt());
  award.proposed_revision = best.quota_revision;
  const std::size_t max_ranges = max_award_ranges(state_.context.settings.store_value_bytes);
  const auto* replaced = replaceable_award(job, best.shard, award.key, max_ranges);
  if (replaced == nullptr && !may_have_further_award(job)) return;
  std::vector<std::uint32_t> recorded_tasks;
  if (replaced != nullptr) {
    award.replaced = Compare{replaced->first, replaced->second.revision};
    recorded_tasks = unfinished_tasks(job, replaced->second);
  }
  award.tasks = select_tasks(job, count, max_ranges - ranges_of(recorded_tasks).size());
  recorded_tasks.insert(recorded_tasks.end(), award.tasks.begin(), award.tasks.end());
  award.record = {shard.name, ranges_of(recorded_tasks), {shard.name, job.spec, job.accepted_at}};
  job.needs_machines = false;
  job.tasks_in_award += static_cast<std::uint32_t>(award.tasks.size());
  const Quota each = quota_of(job.spec.task_resources);
  const Quota lacking = at_least_zero(each * count - best.free_quota_share);
  quota_transfer_.start(shard, best.shard, job.spec.team, lacking, std::move(award));
}

std::int64_t Initiator::count_tasks_to_award(const Shard& shard, const Job& job, const Proposal& best) const {
  const Quota each = quota_of(job.spec.task_resources);
  const Quota spare = shard.quota.spare(job.spec.team);
  return std::min<std::int64_t>({best.tasks, static_cast<std::int64_t>(job.waiting.size()), kMaxTasksPerAward,
                                 (best.free_quota_share + spare).count_that_fit(each)});
}

}  // namespace bendtide
