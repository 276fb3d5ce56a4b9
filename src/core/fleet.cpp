// Reports find their way to the part that the machine belongs to, here or at a peer.
#include "core/fleet.h"

namespace bendtide {

namespace {

constexpr Micros kWatchEvery = millis(250);
/// A report waits that long for a change of holder: its worker is still there to get the answer.
constexpr Micros kDeferFor = Settings::kWorkerPatience - Settings::kWorkerRetry;

}  // namespace

Fleet::Fleet(Cluster& cluster, Hooks hooks)
    : cluster_(cluster),
      hooks_(std::move(hooks)),
      claims_(cluster, {[this](Part& p, const Machine& m, bool settled) { add(p, m, settled); },
                        [this] { resume_deferred(); }, hooks_.doubt_holdings}) {}
void Fleet::answer(std::uint64_t request, int status, std::string redirect) {
  if (!redirect.empty()) ++cluster_.passed_on[redirect];
  cluster_.context.act(AnswerWorker{request, {status, 0, {}, std::move(redirect)}});
}

void Fleet::on_report(std::uint64_t request, const Report& report) {
  route_report(request, report, cluster_.now());
}

void Fleet::route_report(std::uint64_t request, const Report& report, Micros since) {
  if (!cluster_.acting()) return answer(request, 503);
  const std::string* name = claims_.part_of(report.machine);
  if (name == nullptr) return on_unclaimed(request, report, since);
  if (Part* part = cluster_.held(*name)) {
    if (part->ready()) return on_own_report(request, *part, report);
    return defer(request, report, since);  // the part is being loaded
  }
  const std::string holder = cluster_.holder(*name);
  if (holder == cluster_.self()) return answer(request, 503);
  // A holder that stands still would keep the worker waiting for longer than its lease lasts. It does better
  // to wait here for a moment, until somebody has taken over the part.
  const bool just_came = cluster_.now() - since < kDeferFor;
  if (!cluster_.reachable(holder) && just_came) return defer(request, report, since);
  answer(request, 421, holder);
}

void Fleet::defer(std::uint64_t request, const Report& report, Micros since) {
  // Each holds a socket, so that there can't be more of them.
  if (deferred_.size() >= cluster_.context.settings.sockets) return answer(request, 503);
  deferred_.push_back({request, report, since});
}

void Fleet::on_unclaimed(std::uint64_t request, const Report& report, Micros since) {
  // Only the holder of its home part claims a machine; everybody else need not read anything.
  const std::string home = claims_.home_part(report.machine, report.zone);
  Part* part = cluster_.held(home);
  if (part == nullptr) {
    const std::string holder = cluster_.holder(home);
    return holder == cluster_.self() ? answer(request, 503) : answer(request, 421, holder);
  }
  if (!part->ready() || deleted_.contains(report.machine)) return answer(request, 503);
  defer(request, report, since);
  // A machine that nobody claimed was never given a token: this one was claimed by somebody, or deleted.
  if (report.token != 0) return claims_.doubt();
  claims_.want(*part, machine_of({report.machine, report.type, report.zone, report.spot, report.address,
                                  cluster_.context.wall}));
}

Machine& Fleet::add(Part& part, const Machine& machine, bool settled) {
  auto [it, fresh] = part.machines.try_emplace(machine.name, machine);
  Machine& m = it->second;
  if (fresh) {
    if (const MachineType* type = cluster_.type(m.type)) m.size = type->size;
    m.last_heard = m.last_reported = m.last_answered = m.idle_since = cluster_.now();
    m.settled = settled;
    part.count_usage(m, 1);
  }
  return m;
}

void Fleet::resume_deferred() {
  std::vector<Deferred> again;
  std::swap(again, deferred_);
  for (Deferred& d : again) {
    if (claims_.part_of(d.report.machine) != nullptr)
      route_report(d.request, d.report, d.since);
    else
      deferred_.push_back(std::move(d));
  }
}

void Fleet::on_part_ready(Part& part) {
  for (auto& [name, m] : part.machines)
    if (!m.settled) part.push_to(m);
  resume_deferred();
}

void Fleet::gone(Part& part, const std::string& name) {
  auto it = part.machines.find(name);
  if (it == part.machines.end()) return;
  release_all(part, it->second);
  part.count_usage(it->second, -1);
  claims_.forget(part, it->second);
  part.machines.erase(it);
  deleted_.insert(name);
  deleted_order_.push_back(name);
  while (deleted_order_.size() > kRememberedDeleted) {
    deleted_.erase(deleted_order_.front());
    deleted_order_.pop_front();
  }
}

/// The worker keeps the images used last, as many as fit.
void Fleet::trim_images(Machine& m) const {
  const MachineType* type = cluster_.type(m.type);
  if (type == nullptr) return;
  double total = 0;
  for (const auto& [name, image] : m.images) total += image.gb;
  while (total > type->cache_gb && !m.images.empty()) {
    auto oldest = std::min_element(m.images.begin(), m.images.end(), [](const auto& a, const auto& b) {
      return a.second.used < b.second.used;
    });
    total -= oldest->second.gb;
    m.images.erase(oldest);
  }
}

void Fleet::tick() {
  const Micros now = cluster_.now();
  resume_deferred();
  std::erase_if(deferred_, [&](const Deferred& d) {
    if (now - d.since < kDeferFor) return false;
    answer(d.request, 503);
    return true;
  });
  claims_.tick();
  if (!cluster_.acting()) return;
  for (auto& [name, part] : cluster_.parts) {
    if (!part.ready()) continue;
    if (now < part.next_watch) continue;
    part.next_watch = now + kWatchEvery;
    watch(part);
    if (part.unsettled_jobs && part.all_settled()) {
      part.unsettled_jobs = false;
      cluster_.context.info("part " + name + " knows what is on its machines");
      for (auto& [id, job] : part.jobs) job.unsettled = false;
      part.changed();
    }
  }
}

}  // namespace bendtide
