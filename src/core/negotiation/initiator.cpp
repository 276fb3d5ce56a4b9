#include "core/negotiation/initiator.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr Micros kProposalTimeout = millis(300);
constexpr std::size_t kOpenNegotiations = 16;
constexpr std::size_t kCallsPerTick = 2;
constexpr std::int64_t kTasksPerAward = 4096;
constexpr std::size_t kRangeBytes = 16;  ///< of one range of tasks in an award record, at most
/// Writes of a job's last transaction that do not remove an award, and one award to come.
constexpr std::size_t kWritesBesidesAwards = 3;

/// Sorts tasks and joins those that follow one another: first task, number of tasks.
std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges_of(std::vector<std::uint32_t> tasks) {
  std::sort(tasks.begin(), tasks.end());
  std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges;
  for (const std::uint32_t task : tasks) {
    if (!ranges.empty() && ranges.back().first + ranges.back().second == task)
      ++ranges.back().second;
    else
      ranges.emplace_back(task, 1);
  }
  return ranges;
}

/// What a proposal costs; the lowest one wins.
double score(const Proposal& proposal) {
  return in_seconds(proposal.start_delay) + static_cast<double>(proposal.load_permille) / 1000.0;
}

/// Whether shards that have no capacity for one task of `refused` have none for a task of `job` either.
bool is_refused_with(const Job& job, const Job& refused) {
  const JobSpec& spec = job.spec;
  const JobSpec& other = refused.spec;
  return spec.team == other.team && spec.priority <= other.priority && spec.spot == other.spot &&
         spec.zone == other.zone && spec.types == other.types && other.each.fits_in(spec.each);
}

}  // namespace

Initiator::Initiator(ControllerState& state, QuotaTransfer& quota_transfer, NegotiationCounters& counters)
    : state_(state),
      quota_transfer_(quota_transfer),
      counters_(counters),
      // Random, so that a proposal for a call of an earlier process of this host matches no call of ours.
      next_call_id_(state.context.random() >> 8) {}

/// Awards are made by the owner of a job only, and not if its zone rules need one scheduler to see all of its
/// tasks. The last write of a job removes all its awards in one transaction, which bounds their number.
bool Initiator::may_be_awarded(const Job& job) const {
  return job.owner.empty() && !job.spec.needs_one_decider() &&
         job.awards.size() + kWritesBesidesAwards <= state_.context.settings.store_transaction_writes;
}

// ---- calls ---------------------------------------------------------------------------------------

void Initiator::start_calls(Shard& shard) {
  if (state_.store.busy()) return;
  std::size_t calls = 0;
  for (Job* job : jobs_due_for_call(shard)) {
    if (calls >= kCallsPerTick || negotiations_.size() >= kOpenNegotiations) return;
    if (start_call(shard, *job)) ++calls;
  }
}

/// Those that have waited longest for their turn come first, and among these those that are first in the
/// queue. In the order of the queue alone, its first few jobs would call again and again; the others would
/// never get a refusal, without which no machine is rented for them.
std::vector<Job*> Initiator::jobs_due_for_call(Shard& shard) const {
  std::vector<Job*> due;
  for (const QueueEntry& entry : shard.queue)
    if (entry.job->overflow > 0 && state_.now() >= entry.job->next_call && entry.job->tasks_in_award == 0)
      due.push_back(entry.job);
  std::stable_sort(due.begin(), due.end(),
                   [](const Job* a, const Job* b) { return a->next_call < b->next_call; });
  return due;
}

/// False if there is nothing to call for, or no shard to call.
bool Initiator::start_call(Shard& shard, Job& job) {
  // A job that can't be awarded may still lack share, which peers can hand over.
  if (!may_be_awarded(job) && !job.quota_share_exhausted) {
    job.refused = true;
    return false;
  }
  job.next_call = state_.now() + seconds(state_.context.policy.call_again_s);
  Negotiation negotiation;
  negotiation.shard = shard.name;
  negotiation.leadership_term = shard.leadership_term;
  negotiation.call = call_for(shard, job);
  negotiation.asked = reachable_shards(shard.name);
  if (negotiation.asked.empty()) {
    job.refused = true;
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
  ask(negotiations_.emplace(id, std::move(negotiation)).first->second);
  return true;
}

CallForProposals Initiator::call_for(const Shard& shard, const Job& job) {
  CallForProposals call;
  call.id = next_call_id_++;
  call.from_shard = shard.name;
  call.job = job.spec.id;
  call.team = job.spec.team;
  call.tasks = job.overflow;
  call.each = job.spec.each;
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

void Initiator::ask(Negotiation& negotiation) {
  ++counters_.rounds;
  negotiation.proposals.clear();
  negotiation.decide_at = state_.now() + kProposalTimeout;
  for (const std::string& shard : negotiation.asked) state_.send_to_leader_of(shard, negotiation.call);
}

void Initiator::on_proposal(const Proposal& proposal) {
  const auto found = negotiations_.find(proposal.id);
  if (found == negotiations_.end()) return;
  Negotiation& negotiation = found->second;
  if (proposal.round != negotiation.call.round || !negotiation.asked.contains(proposal.shard)) return;
  negotiation.proposals[proposal.shard] = proposal;
  if (negotiation.proposals.size() == negotiation.asked.size()) negotiation.decide_at = state_.now();
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
  if (!job.can_start(state_.now()) || job.unreconciled) return;

  const std::vector<Proposal> feasible = feasible_proposals(negotiation, job);
  if (feasible.empty()) return on_all_refused(*shard, job, negotiation);
  const bool may_ask_again = static_cast<int>(negotiation.call.round) < state_.context.policy.call_rounds;
  if (may_ask_again && is_close(feasible)) return start_next_round(std::move(negotiation), job, feasible);
  award(*shard, job, feasible.front());
}

/// The proposals that an award can be based on, the best one first: they take some tasks, and name the
/// revision of the allocation that they are valid for.
std::vector<Proposal> Initiator::feasible_proposals(const Negotiation& negotiation, const Job& job) const {
  std::vector<Proposal> feasible;
  if (!may_be_awarded(job)) return feasible;
  for (const auto& [name, proposal] : negotiation.proposals)
    if (proposal.tasks > 0 && proposal.tasks <= negotiation.call.tasks && proposal.quota_revision != 0)
      feasible.push_back(proposal);
  std::sort(feasible.begin(), feasible.end(), [](const Proposal& a, const Proposal& b) {
    return std::pair(score(a), a.shard) < std::pair(score(b), b.shard);
  });
  return feasible;
}

/// Whether the two best proposals differ by little.
bool Initiator::is_close(const std::vector<Proposal>& feasible) const {
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
  call.deadline_in = job.spec.deadline ? std::max(millis(1), job.due() - state_.context.wall) : Micros{0};
  negotiation.asked.clear();
  for (const Proposal& proposal : feasible) negotiation.asked.insert(proposal.shard);
  const std::uint64_t id = call.id;
  ask(negotiations_.emplace(id, std::move(negotiation)).first->second);
}

void Initiator::on_all_refused(Shard& shard, Job& job, const Negotiation& negotiation) {
  ++counters_.infeasible;
  job.refused = true;
  if (job.quota_share_exhausted)
    request_quota(shard, job, negotiation);
  else
    mark_similar_refused(shard, job);
}

/// No shard can take tasks under its own share, but some have unused share. What each of them has may be less
/// than one task needs, so the missing share is requested from several.
void Initiator::request_quota(const Shard& shard, const Job& job, const Negotiation& negotiation) {
  std::vector<const Proposal*> givers;
  for (const auto& [name, proposal] : negotiation.proposals)
    if (proposal.free_quota_share != Quota{}) givers.push_back(&proposal);
  std::sort(givers.begin(), givers.end(),
            [](const Proposal* a, const Proposal* b) { return a->free_quota_share > b->free_quota_share; });
  const Quota want = quota_of(job.spec.each) * static_cast<std::int64_t>(job.waiting.size());
  Quota expected = shard.quota.free(job.spec.team);
  for (const Proposal* giver : givers) {
    if (want.fits_in(expected)) return;
    state_.send_to_leader_of(giver->shard, QuotaTransferRequest{giver->shard, shard.name, job.spec.team,
                                                                want - expected, job.accepted});
    expected += giver->free_quota_share;
  }
}

/// Jobs that would be refused like this one need not call for proposals one by one.
void Initiator::mark_similar_refused(Shard& shard, const Job& refused) {
  for (const QueueEntry& entry : shard.queue) {
    Job& job = *entry.job;
    if (&job == &refused || job.overflow == 0 || job.tasks_in_award > 0 || job.quota_share_exhausted)
      continue;
    if (!is_refused_with(job, refused)) continue;
    job.refused = true;
    job.next_call = std::max(job.next_call, refused.next_call);
  }
}

// ---- awards --------------------------------------------------------------------------------------

/// Awards as many tasks as the proposal takes and the winner's share allows, together with the share that it
/// lacks for them.
void Initiator::award(Shard& shard, Job& job, const Proposal& best) {
  if (!shard.quota.is_current()) return;
  const Quota each = quota_of(job.spec.each);
  const Quota spare = shard.quota.spare(job.spec.team);
  const std::int64_t count =
      std::min<std::int64_t>({best.tasks, static_cast<std::int64_t>(job.waiting.size()), kTasksPerAward,
                              (best.free_quota_share + spare).holds(each)});
  if (count <= 0) return;
  job.refused = false;
  const Quota lacking = at_least_zero(each * count - best.free_quota_share);

  AwardedTasks award;
  award.job = job.spec.id;
  award.key = records::award_key(best.shard, job.spec.id, shard.next_attempt());
  award.proposed_revision = best.quota_revision;
  // The record of the award has to stay below the size of a value in the key-value store.
  const std::size_t most_ranges = state_.context.settings.store_value_bytes / 2 / kRangeBytes;
  TaskSelection selection = select_tasks(job, count, most_ranges);
  award.tasks = std::move(selection.tasks);
  award.record = {shard.name, std::move(selection.ranges), {shard.name, job.spec, job.accepted}};
  job.tasks_in_award += static_cast<std::uint32_t>(award.tasks.size());
  quota_transfer_.start(shard, best.shard, job.spec.team, lacking, std::move(award));
}

/// Takes up to `count` tasks out of the waiting ones: fewer if they form more ranges than are allowed.
Initiator::TaskSelection Initiator::select_tasks(Job& job, std::int64_t count, std::size_t most_ranges) {
  TaskSelection selection;
  for (std::int64_t i = 0; i < count; ++i) {
    const std::uint32_t task = job.waiting.back();
    selection.tasks.push_back(task);
    job.leave_waiting(task, {Task::State::elsewhere, nullptr, 0});
  }
  selection.ranges = ranges_of(selection.tasks);
  while (selection.ranges.size() > most_ranges) {
    const auto [first, length] = selection.ranges.back();
    for (std::uint32_t task = first; task < first + length; ++task) {
      std::erase(selection.tasks, task);
      job.set_waiting(task);
    }
    selection.ranges.pop_back();
  }
  return selection;
}

}  // namespace bendtide
