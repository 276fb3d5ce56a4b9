#include "core/placement/scheduler.h"

namespace bendtide {

namespace {

constexpr std::int64_t kStopsPerPass = 32;
constexpr int kShortFetch = 10;         ///< a fetch is short if the run takes this many times longer
constexpr int kPreemptionsPerPass = 4;  ///< jobs for which others may be stopped
/// A task that is told to stop is gone by then, if it saves nothing or little.
constexpr Micros kStopDuration = seconds(4);
constexpr Micros kPassInterval = millis(500);  ///< if nothing has changed
/// Work of a job has to begin within 4 minutes. From the half of that on it goes before its equals.
constexpr Micros kLongestWaitForFirstTask = seconds(120);

}  // namespace

Quota Scheduler::guarantee(const Shard& shard, const std::string& name) const {
  const Team* team = state_.context.settings.team(name);
  if (team == nullptr) return {};
  const Quota share = shard.quota_share(name);
  auto portion = [](std::int64_t whole, std::int64_t share_of, std::int64_t limit) {
    return limit == 0 ? 0
                      : static_cast<std::int64_t>(static_cast<double>(whole) * static_cast<double>(share_of) /
                                                  static_cast<double>(limit));
  };
  return {portion(team->guarantee.cpu, share.cpu, team->limit.cpu),
          portion(team->guarantee.gpu, share.gpu, team->limit.gpu)};
}

/// An array's objectives that can't be kept even if all of it started now, and the last moment to start for
/// the first that can: jobs that can still keep theirs go first, the most pressing ones before the others.
Scheduler::Urgency Scheduler::urgency(const Job& job) const {
  Urgency out{0, job.due()};
  if (job.spec.shape != Shape::array) return out;
  for (const Objective& o : state_.context.settings.objectives) {
    if (o.job_class != job.spec.job_class) continue;
    Micros within = o.within;  // of its acceptance; of its start for `wait`, else of its end
    if (o.kind == "deadline" && job.spec.deadline)
      within = seconds(o.times * in_seconds(*job.spec.deadline));
    else if (o.kind != "wait" && o.kind != "finished")
      continue;
    const Micros start_by = job.accepted + within - (o.kind == "wait" ? Micros{0} : job.spec.estimate);
    if (state_.context.wall > start_by)
      ++out.missed_objectives;
    else
      out.start_by = std::min(out.start_by, start_by);
  }
  return out;
}

void Scheduler::build_queue(Shard& shard) {
  shard.queue.clear();
  for (auto& [id, job] : shard.jobs) {
    job.overflow = 0;
    job.quota_share_exhausted = false;
    if (!shard.may_start(job, state_.now())) continue;
    const std::string& team = job.spec.team;
    auto [missed_objectives, start_by] = urgency(job);
    // Where there is always something more pressing, one that has long been waiting for its first task would
    // never begin.
    if (job.done == 0 && job.present == 0 && state_.context.wall - job.accepted > kLongestWaitForFirstTask)
      missed_objectives = -1;
    shard.queue.push_back({&job, missed_objectives, start_by,
                           (shard.used(team) + quota_of(job.spec.each)).fits_in(guarantee(shard, team))});
  }
  std::sort(shard.queue.begin(), shard.queue.end(), [](const QueueEntry& a, const QueueEntry& b) {
    auto key = [](const QueueEntry& r) {
      return std::tuple(-static_cast<int>(r.job->spec.priority), r.missed_objectives, !r.guaranteed,
                        r.start_by, r.job->accepted, std::string_view(r.job->spec.id));
    };
    return key(a) < key(b);
  });
}

std::vector<Scheduler::FreeCapacity> Scheduler::free_capacities(Shard& shard) const {
  std::vector<FreeCapacity> out;
  for (auto& [name, m] : shard.machines)
    if (fleet_.usable(m)) out.push_back({&m, m.free(), m.being_released});
  return out;
}

Scheduler::TasksPerZone Scheduler::tasks_per_zone_of(const Shard& shard, const Job& job) {
  TasksPerZone out;
  if (!job.spec.needs_one_decider()) return out;
  for (const auto& [name, m] : shard.machines)
    for (auto it = m.tasks.lower_bound(AttemptId{{job.spec.id, 0}, 0});
         it != m.tasks.end() && it->first.task.job == job.spec.id; ++it)
      if (it->second.takes_resources()) ++out[m.zone];
  return out;
}

bool Scheduler::is_allowed_on(const Job& job, const Machine& m, const TasksPerZone& tasks_per_zone) {
  const JobSpec& s = job.spec;
  if (m.spot && !s.spot) return false;
  if (s.zone && *s.zone != m.zone) return false;
  if (!s.allows_type(m.type)) return false;
  if (s.one_zone && !tasks_per_zone.empty() && !tasks_per_zone.contains(m.zone)) return false;
  if (s.spread) {
    auto it = tasks_per_zone.find(m.zone);
    if (it != tasks_per_zone.end() && it->second >= (static_cast<std::int64_t>(s.tasks) + 1) / 2)
      return false;
  }
  return true;
}

bool Scheduler::justifies_machine(const Shard& shard, const Job& job, const Machine& m) const {
  const Settings& settings = state_.context.settings;
  if (m.spot || !job.begun() || !settings.best_effort(job.spec)) return true;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& task) {
    auto other = shard.jobs.find(task.first.task.job);
    return task.second.wanted && other != shard.jobs.end() && !settings.best_effort(other->second.spec);
  });
}

void Scheduler::place(Shard& shard, const QueueEntry& queue_entry, FreeCapacity& capacity,
                      TasksPerZone& tasks_per_zone) {
  Job& job = *queue_entry.job;
  Machine& m = *capacity.machine;
  if (!justifies_machine(shard, job, m)) return;
  const Quota each = quota_of(job.spec.each);
  // A job that fails everywhere gets one try at a time.
  const bool one_at_a_time = job.suspect();
  while (!job.waiting.empty() && job.spec.each.fits_in(capacity.free) &&
         is_allowed_on(job, m, tasks_per_zone)) {
    if (!each.fits_in(shard.free_quota_share(job.spec.team))) {
      job.quota_share_exhausted = true;
      return;
    }
    const std::uint32_t index = job.waiting.back();
    const TaskId task{job.spec.id, index};
    auto held = m.tasks.lower_bound(AttemptId{task, 0});
    if (held != m.tasks.end() && held->first.task == task) return;  // an earlier attempt of it is still there
    const AttemptId id{task, shard.next_attempt()};
    shard.place(m, id, &job).placed_at = state_.now();
    job.leave_waiting(index, {Task::State::placed, &m, id.attempt});
    state_.context.debug([&] {
      return task.job + "/" + std::to_string(index) + " attempt " + std::to_string(id.attempt) +
             " is placed on " + m.name + " by part " + shard.name +
             (job.owner.empty() ? "" : ", awarded by ") + job.owner;
    });
    capacity.free -= job.spec.each;
    m.idle_since = state_.now();
    // Tasks waiting for the same image share its fetch: it counts as cached from now on.
    m.images.record_use(job.spec.image, job.spec.image_gb, state_.now());
    if (job.spec.needs_one_decider()) ++tasks_per_zone[m.zone];
    shard.request_push(m);
    if (one_at_a_time) return;
  }
}

void Scheduler::place_all(Shard& shard, const QueueEntry& queue_entry,
                          std::vector<FreeCapacity>& free_capacities, TasksPerZone& tasks_per_zone) {
  const Job& job = *queue_entry.job;
  // Caching machines go first, unless a fetch is short beside the run. Then, for services, those in our own
  // zone, as they go on there when the way to the others is cut. Then the ones of its kind, as services keep
  // a machine for long; then the fullest, so that others run empty and are returned; where the image has to
  // be fetched anyway, the roomiest.
  struct Candidate {
    std::tuple<bool, bool, bool, bool, std::int64_t> key;
    FreeCapacity* capacity;
  };
  const bool service = job.spec.shape == Shape::service;
  std::vector<Candidate> candidates;
  for (FreeCapacity& r : free_capacities) {
    const Machine& m = *r.machine;
    if (!job.spec.each.fits_in(r.free) || !is_allowed_on(job, m, tasks_per_zone)) continue;
    if (job.failed_on.contains(m.name) && shard.machines.size() > job.failed_on.size()) continue;
    if (job.only_where_cached && !m.images.contains(job.spec.image)) continue;
    const bool short_fetch = state_.fetch_time(job.spec, m.type) * kShortFetch < job.spec.estimate;
    const bool cached = short_fetch || m.images.contains(job.spec.image);
    const bool near = !service || m.zone == state_.context.settings.zone;
    candidates.push_back({{cached, near, (m.services > 0) == service, m.spot && job.spec.spot,
                           cached || service ? -r.free.cpu : r.free.cpu},
                          &r});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.key > b.key; });
  for (const Candidate& c : candidates) {
    place(shard, queue_entry, *c.capacity, tasks_per_zone);
    if (job.waiting.empty() || job.quota_share_exhausted || job.suspect()) return;
  }
}

bool Scheduler::sooner_where_cached(const Shard& shard, const Job& job,
                                    const std::vector<FreeCapacity>& free_capacities,
                                    const TasksPerZone& tasks_per_zone) const {
  if (job.spec.shape != Shape::service || job.quota_share_exhausted) return false;
  if (state_.context.wall - job.accepted > kStopDuration) return false;
  bool can_preempt = false;
  for (const FreeCapacity& capacity : free_capacities) {
    const Machine& m = *capacity.machine;
    if (!m.images.contains(job.spec.image) || !is_allowed_on(job, m, tasks_per_zone) ||
        job.failed_on.contains(m.name))
      continue;
    if (state_.fetch_time(job.spec, m.type) <= kStopDuration) return false;
    Resources could = m.free() + capacity.being_released;
    if (job.spec.each.fits_in(m.free())) return false;  // it goes there without any of this
    for (const auto& [id, p] : m.tasks) {
      auto other = shard.jobs.find(id.task.job);
      if (p.wanted && p.takes_resources() && other != shard.jobs.end() &&
          other->second.spec.priority < job.spec.priority && other->second.spec.save <= kStopDuration)
        could += p.each;
    }
    can_preempt |= job.spec.each.fits_in(could);
  }
  return can_preempt;
}

void Scheduler::pass(Shard& shard) {
  if (state_.now() < shard.next_pass) return;
  shard.next_pass = state_.now() + kPassInterval;
  build_queue(shard);
  if (shard.queue.empty()) return;
  std::vector<FreeCapacity> free = free_capacities(shard);
  // What does not even hold the smallest task that waits is of no use to any.
  std::int64_t smallest = INT64_MAX;
  for (const QueueEntry& r : shard.queue) smallest = std::min(smallest, r.job->spec.each.cpu);
  auto useless = [&](const FreeCapacity& r) { return r.free.cpu < smallest; };
  std::vector<FreeCapacity> open = free;
  std::erase_if(open, useless);
  const PreemptionCandidates preemptible = preemption_candidates(shard);
  auto may_preempt = [&](const Job& job) {
    if (preemptible.lowest < job.spec.priority) return true;
    const auto& over = preemptible.over_guarantee;
    return job.unrentable && over.size() > (over.contains(job.spec.team) ? 1u : 0u);
  };
  // Room that comes free by itself in time, as far as it is not counted on yet.
  std::int64_t being_released = 0;
  if (!preemptible.over_guarantee.empty())
    for (const FreeCapacity& r : free)
      being_released +=
          (r.machine->released_by(state_.now() + guarantee_within()) - r.machine->being_released).cpu;
  int attempts = kPreemptionsPerPass;
  for (const QueueEntry& r : shard.queue) {
    Job& job = *r.job;
    TasksPerZone tasks_per_zone = tasks_per_zone_of(shard, job);
    job.only_where_cached = attempts > 0 && preemptible.lowest < job.spec.priority &&
                            sooner_where_cached(shard, job, free, tasks_per_zone);
    if (!open.empty()) place_all(shard, r, open, tasks_per_zone);
    std::erase_if(open, useless);
    if (!job.waiting.empty() && !quota_of(job.spec.each).fits_in(shard.free_quota_share(job.spec.team)))
      job.quota_share_exhausted = true;
    // One that may be faulty itself needs room for one try, or with no machine left it would wait for ever.
    job.overflow = job.suspect() ? std::uint32_t{job.present == 0 && !job.waiting.empty()}
                                 : static_cast<std::uint32_t>(job.waiting.size());
    if (job.overflow == 0) job.refused = job.unrentable = false;
    if (job.overflow > 0 && attempts > 0 && may_preempt(job)) {
      --attempts;
      for (FreeCapacity& capacity : free) capacity.free = capacity.machine->free();
      preempt_for(shard, r, free, tasks_per_zone, being_released);
    }
  }
}

/// The time in which work within a guarantee is to start.
Micros Scheduler::guarantee_within() const {
  Micros within{0};
  for (const Objective& o : state_.context.settings.objectives)
    if (o.kind == "guarantee" && (within == Micros{0} || o.within < within)) within = o.within;
  return within;
}

void Scheduler::fill(Shard& shard, Machine& machine) {
  if (shard.queue.empty() || !fleet_.usable(machine)) return;
  FreeCapacity capacity{&machine, machine.free(), {}};
  // Among equals those go first whose image is here already.
  const QueueEntry* first = nullptr;
  auto equal = [&](const QueueEntry& r) {
    return std::tuple(r.job->spec.priority, r.missed_objectives, r.guaranteed) ==
           std::tuple(first->job->spec.priority, first->missed_objectives, first->guaranteed);
  };
  for (const bool cached_only : {true, false})
    for (const QueueEntry& r : shard.queue) {
      const Job& job = *r.job;
      if (!shard.may_start(job, state_.now()) || job.failed_on.contains(machine.name)) continue;
      if (first == nullptr) first = &r;
      if ((cached_only || job.only_where_cached) && !machine.images.contains(job.spec.image)) continue;
      if (cached_only && !equal(r)) continue;
      if (!job.spec.each.fits_in(capacity.free)) continue;
      TasksPerZone tasks_per_zone = tasks_per_zone_of(shard, job);
      place(shard, r, capacity, tasks_per_zone);
    }
}

Scheduler::PreemptionCandidates Scheduler::preemption_candidates(const Shard& shard) const {
  PreemptionCandidates out;
  for (const auto& [id, job] : shard.jobs) {
    if (job.present == 0) continue;
    out.lowest = std::min(out.lowest, job.spec.priority);
    const std::string& team = job.spec.team;
    if (!out.over_guarantee.contains(team) && !shard.used(team).fits_in(guarantee(shard, team)))
      out.over_guarantee.insert(team);
  }
  return out;
}

void Scheduler::preempt_for(Shard& shard, const QueueEntry& queue_entry,
                            std::vector<FreeCapacity>& free_capacities, const TasksPerZone& tasks_per_zone,
                            std::int64_t& being_released) {
  const Quota used_by_team = shard.used(queue_entry.job->spec.team);
  const Job& job = *queue_entry.job;
  const Resources& each = job.spec.each;
  const Quota spare_quota = shard.quota_share(job.spec.team) - used_by_team;
  // No more than may be started: otherwise two teams would stop each other's tasks in turn. Only its own
  // team's lesser tasks can make room in a share that is used up.
  const bool own_team_only = job.quota_share_exhausted;
  std::int64_t needed = std::min<std::int64_t>(
      {job.overflow, kStopsPerPass, own_team_only ? kStopsPerPass : spare_quota.holds(quota_of(each))});
  std::int64_t within_guarantee =
      std::min(needed, (guarantee(shard, job.spec.team) - used_by_team).holds(quota_of(each)));
  // What can't keep its deadline does not come before others that can: room made for it would go to them, and
  // be made again. And what comes free in time need not be made.
  if (queue_entry.missed_objectives > 0) within_guarantee = 0;
  const std::int64_t in_time =
      std::clamp<std::int64_t>(being_released / each.cpu, 0, std::max<std::int64_t>(0, within_guarantee));
  within_guarantee -= in_time;
  being_released -= in_time * each.cpu;
  std::map<std::string, Quota> left;  // of the victims' teams, once those stopped here are gone
  auto may_stop = [&](const Job& victim) {
    if (own_team_only && victim.spec.team != job.spec.team) return false;
    if (victim.spec.priority < job.spec.priority) return true;
    // For a guarantee, work of equal priority is stopped only where no machine is to be had, and work of
    // higher priority never: a service would be down for an array.
    if (victim.spec.priority > job.spec.priority || victim.spec.team == job.spec.team) return false;
    if (!job.unrentable || within_guarantee <= 0) return false;
    auto [it, fresh] = left.try_emplace(victim.spec.team);
    if (fresh) it->second = shard.used(victim.spec.team);
    return !it->second.fits_in(guarantee(shard, victim.spec.team));
  };
  // Where the image is cached; else near, and on few machines, as they keep them for long.
  if (job.spec.shape == Shape::service)
    std::stable_sort(
        free_capacities.begin(), free_capacities.end(), [&](const FreeCapacity& a, const FreeCapacity& b) {
          auto key = [&](const FreeCapacity& r) {
            return std::tuple(r.machine->images.contains(job.spec.image),
                              r.machine->zone == state_.context.settings.zone, r.machine->services);
          };
          return key(a) > key(b);
        });
  for (FreeCapacity& r : free_capacities) {
    if (needed <= 0) return;
    if (!is_allowed_on(job, *r.machine, tasks_per_zone)) continue;
    // What is already being freed comes first.
    auto take = [&] {
      while (needed > 0 && each.fits_in(r.free + r.being_released)) {
        r.being_released -= each;
        --needed;
        --within_guarantee;
      }
    };
    take();
    std::vector<std::pair<const AttemptId*, Placement*>> victims;
    for (auto& [id, p] : r.machine->tasks) {
      auto it = shard.jobs.find(id.task.job);
      if (p.wanted && p.takes_resources() && it != shard.jobs.end() && may_stop(it->second))
        victims.emplace_back(&id, &p);
    }
    std::sort(victims.begin(), victims.end(), [&](const auto& a, const auto& b) {
      auto key = [&](const auto& v) {
        return std::tuple(shard.jobs.at(v.first->task.job).spec.priority, -v.second->placed_at.count());
      };
      return key(a) < key(b);
    });
    Resources could = r.free + r.being_released;
    for (const auto& v : victims) could += v.second->each;
    if (!each.fits_in(could)) continue;
    for (const auto& [id, p] : victims) {
      if (needed <= 0) return;
      const Job& candidate = shard.jobs.at(id->task.job);
      if (!may_stop(candidate)) continue;
      shard.change(*r.machine, *id, *p, [](Placement& q) { q.wanted = false; });
      shard.request_push(*r.machine);
      state_.context.debug([&, task = id->task] {
        return task.job + "/" + std::to_string(task.index) + " on " + r.machine->name + " makes room for " +
               job.spec.id + (candidate.spec.priority < job.spec.priority ? "" : " (guarantee)");
      });
      r.being_released += p->each;
      left.try_emplace(candidate.spec.team, shard.used(candidate.spec.team)).first->second -=
          quota_of(p->each);
      take();
    }
  }
}

Scheduler::Offer Scheduler::offer(Shard& shard, const CallForProposals& call) const {
  Offer out;
  // What a pass left free is of no use to our own tasks that wait; what comes free soon may be.
  const bool ours_wait = std::any_of(shard.jobs.begin(), shard.jobs.end(), [&](const auto& j) {
    return j.second.overflow > 0 && !j.second.quota_share_exhausted &&
           (!call.disclosed || j.second.spec.priority >= call.priority);
  });
  Quota share = shard.free_quota_share(call.team) + call.spare_quota;
  std::int64_t within_share = share.holds(quota_of(call.each));
  if (within_share <= 0) return out;
  Job probe;
  probe.spec.each = call.each;
  probe.spec.types = call.types;
  probe.spec.spot = call.spot;
  if (!call.zone.empty()) probe.spec.zone = call.zone;
  std::int64_t now_room = 0, soon_room = 0;
  bool cached = false;
  const Micros soon = seconds(5);
  for (auto& [name, m] : shard.machines) {
    if (!fleet_.usable(m) || !is_allowed_on(probe, m, {})) continue;
    const Resources free = m.free();
    const std::int64_t n = free.holds(call.each);
    now_room += n;
    cached |= n > 0 && m.images.contains(call.image);
    if (now_room < call.tasks && !ours_wait)
      soon_room += (free + m.released_by(state_.now() + soon)).holds(call.each) - n;
  }
  const std::int64_t now_offer = std::min({now_room, within_share, std::int64_t{call.tasks}});
  if (now_offer > 0) {
    out.tasks = static_cast<std::uint32_t>(now_offer);
    out.delay = cached ? Micros{0} : seconds(2);
  } else if (!ours_wait) {
    out.tasks = static_cast<std::uint32_t>(std::min({soon_room, within_share, std::int64_t{call.tasks}}));
    out.delay = soon + seconds(2);
  }
  if (call.disclosed && call.deadline_in.count() > 0 && out.delay > call.deadline_in) out.tasks = 0;
  return out;
}

}  // namespace bendtide
