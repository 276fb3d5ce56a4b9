#include "sim/services.h"

#include "wire/names.h"
#include "wire/worker_protocol.h"

namespace bendtide::sim {

using nlohmann::json;
using namespace wire::names;

namespace {

/// A parameter of a target; the stand-ins' callers escape nothing but what they must.
std::string parameter(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return {};
  std::size_t pos = query + 1;
  while (pos < target.size()) {
    const auto end = std::min(target.find('&', pos), target.size());
    const std::string pair = target.substr(pos, end - pos);
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    pos = end + 1;
  }
  return {};
}

std::string key_in_path(const std::string& target, const char* prefix) {
  return target.substr(std::string(prefix).size() + 1);
}

}  // namespace

// ---- key-value store -------------------------------------------------------------------------------

void StateService::outage(bool on, Micros now) {
  expire(now);
  if (out_ && !on)
    for (auto& [id, lease] : leases_) lease.until = now + lease.term;
  out_ = on;
}

void StateService::expire(Micros now) {
  if (out_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.until > now) {
      ++it;
      continue;
    }
    ++revision_;
    std::erase_if(data_, [&](const auto& e) { return e.second.lease == it->first; });
    it = leases_.erase(it);
  }
}

Response StateService::handle(const wire::HttpRequest& r, Micros now) {
  expire(now);
  if (out_) return {503, "{}"};
  if (!calls_.take(now)) {
    ++refused_;
    return {429, "{}"};
  }
  if (r.method == "GET" && r.target.starts_with(std::string(kKeysPath) + "?")) {
    const std::string prefix = parameter(r.target, kPrefix), from = parameter(r.target, kAfter);
    const auto most = std::stoul(parameter(r.target, kLimit));
    json entries = json::array();
    bool more = false;
    for (auto it = data_.lower_bound(prefix); it != data_.end() && it->first.starts_with(prefix); ++it) {
      if (it->first <= from) continue;
      if (entries.size() >= most) {
        more = true;
        break;
      }
      entries.push_back({{kKey, it->first}, {kValue, it->second.value}, {kRevision, it->second.revision}});
    }
    return {200, json{{kEntries, entries}, {kMore, more}, {kStoreRevision, revision_}}.dump()};
  }
  if (r.method == "GET") {
    const std::string key = key_in_path(r.target, kKeysPath);
    auto it = data_.find(key);
    if (it == data_.end()) return {404, json{{kStoreRevision, revision_}}.dump()};
    return {200, json{{kKey, key}, {kValue, it->second.value}, {kRevision, it->second.revision}}.dump()};
  }
  if (r.target == kTransactionPath) return multi(json::parse(r.body), now);
  if (r.target == kLeasesPath) {
    const Micros term = millis(json::parse(r.body).at(kTtl).get<std::int64_t>());
    leases_[next_lease_] = {term, now + term};
    return {200, json{{kLease, next_lease_++}}.dump()};
  }
  if (r.target.ends_with(kRenewSuffix)) {
    auto it = leases_.find(std::stoull(key_in_path(r.target, kLeasesPath)));
    if (it == leases_.end()) return {404, "{}"};
    it->second.until = now + it->second.term;
    return {200, "{}"};
  }
  return {400, "{}"};
}

json StateService::snapshot() const {
  json rows = json::array();
  json leases = json::array();
  for (const auto& [key, entry] : data_)
    rows.push_back({{"key", key}, {"value", entry.value}, {"stamp", entry.revision}, {"lease", entry.lease}});
  for (const auto& [id, lease] : leases_) leases.push_back({{"lease", id}, {"term_us", lease.term.count()}});
  return {{"revision", revision_}, {"next_lease", next_lease_}, {"leases", leases}, {"rows", rows}};
}

void StateService::restore(const json& snapshot, Micros now) {
  data_.clear();
  leases_.clear();
  revision_ = snapshot.at("revision").get<std::uint64_t>();
  next_lease_ = snapshot.at("next_lease").get<std::uint64_t>();
  for (const json& entry : snapshot.at("rows"))
    data_[entry.at("key").get<std::string>()] = {entry.at("value"), entry.at("stamp").get<std::uint64_t>(),
                                                 entry.at("lease").get<std::uint64_t>()};
  for (const json& lease : snapshot.at("leases")) {
    const Micros term{lease.at("term_us").get<std::int64_t>()};
    leases_[lease.at("lease").get<std::uint64_t>()] = {term, now + term};
  }
}

Response StateService::multi(const json& body, Micros now) {
  const json& writes = body.at(kWrites);
  if (writes.size() > most_writes_ || body.at(kCompares).size() > 4 * most_writes_) {
    ++too_large_;
    return {400, "{}"};
  }
  if (!writes_.take(now, static_cast<double>(writes.size()))) {
    ++refused_;
    return {429, "{}"};
  }
  for (const json& w : writes) {
    if (w.contains(kPut) && w.at(kValue).dump().size() > value_bytes_) {
      ++too_large_;
      return {400, "{}"};
    }
    if (w.contains(kLease) && !leases_.contains(w.at(kLease).get<std::uint64_t>()))
      return {400, json{{kError, "no such lease"}}.dump()};
  }
  json failed = json::array();
  for (const json& c : body.at(kCompares)) {
    auto it = data_.find(c.at(kKey).get<std::string>());
    const std::uint64_t revision = it == data_.end() ? 0 : it->second.revision;
    if (revision != c.at(kRevision).get<std::uint64_t>()) failed.push_back(c.at(kKey));
  }
  if (!failed.empty()) return {409, json{{kFailedCompares, failed}, {kStoreRevision, revision_}}.dump()};
  if (!writes.empty()) ++revision_;
  for (const json& w : writes) {
    if (w.contains(kPut))
      data_[w.at(kPut).get<std::string>()] = {w.at(kValue), revision_, w.value(kLease, std::uint64_t{0})};
    else
      data_.erase(w.at(kRemove).get<std::string>());
  }
  return {200, json{{kStoreRevision, revision_}}.dump()};
}

// ---- cloud ---------------------------------------------------------------------------------------

const MachineType* Cloud::type(const std::string& name) const {
  for (const MachineType& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

Cloud::Machine& Cloud::add(const std::string& type, const std::string& zone, bool spot, Micros now) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06llu", static_cast<unsigned long long>(next_++));
  Machine& m = machines_[name];
  m.name = name;
  m.address = m.name + ":9000";
  m.type = type;
  m.zone = zone;
  m.spot = spot;
  m.rented = now;
  boot_(m);
  return m;
}

void Cloud::die(Machine& machine) {
  machine.dead = true;
  if (machine.worker) machine.worker->stop();
}

Response Cloud::handle(const wire::HttpRequest& r, Micros now) {
  if (out_) return {503, json{{kError, "trouble"}}.dump()};
  if (r.target == kMachineTypesPath) {
    json types = json::array();
    for (const MachineType& t : types_)
      types.push_back({{kTypeName, t.name},
                       {kCpus, static_cast<double>(t.size.cpu) / 1000},
                       {kGpus, 0},
                       {kMemory, static_cast<double>(t.size.memory) / 1000},
                       {kCacheGb, t.cache_gb},
                       {kFetchRate, t.fetch_gb_per_s},
                       {kPrice, t.price},
                       {kSpotPrice, t.spot_price},
                       {kBootTime, in_seconds(t.boot)},
                       {kZones, t.zones}});
    return {200, json{{kMachineTypes, types}}.dump()};
  }
  if (r.method == "POST" && r.target == kMachinesPath) {
    const json body = json::parse(r.body);
    const auto idempotency_key = body.at(kIdempotencyKey).get<std::string>();
    if (auto it = idempotency_keys_.find(idempotency_key); it != idempotency_keys_.end())
      return {200, it->second};
    json names = json::array();
    for (int i = 0; i < body.at(kCount).get<int>() && static_cast<int>(machines_.size()) < capacity_; ++i)
      names.push_back(add(body.at(kMachineType), body.at(kZone), body.at(kSpot), now).name);
    if (names.empty()) return {503, json{{kError, "no capacity"}}.dump()};
    return {200, idempotency_keys_[idempotency_key] = json{{kMachines, names}}.dump()};
  }
  if (r.target == kDeleteMachinesPath) {
    const json body = json::parse(r.body);
    for (const json& name : body.at(kMachines)) {
      auto it = machines_.find(name.get<std::string>());
      if (it == machines_.end()) continue;
      die(it->second);
      machines_.erase(it);
    }
    return {200, "{}"};
  }
  json entries = json::array();
  for (const auto& [name, m] : machines_)
    entries.push_back({{kUid, name},
                       {kAddress, m.address},
                       {kMachineType, m.type},
                       {kZone, m.zone},
                       {kSpot, m.spot},
                       {kPhase, "running"},
                       {kAge, in_seconds(now - m.rented)}});
  return {200, json{{kMachines, entries}, {kMore, false}}.dump()};
}

// ---- worker --------------------------------------------------------------------------------------

Worker::Worker(Cloud::Machine& machine, const MachineType& type, const Settings& settings, Hooks hooks,
               Micros now)
    : machine_(machine),
      type_(type),
      settings_(settings),
      hooks_(std::move(hooks)),
      session_began_(now),
      renewed_(now) {}

void Worker::leave(const Key& key, const Held& held) const {
  if (held.phase == TaskPhase::running || held.phase == TaskPhase::saving)
    hooks_.checker->off(key.first, machine_.name);
}

Resources Worker::free() const {
  Resources left = type_.size;
  for (const auto& [key, held] : tasks_)
    if (held.phase != TaskPhase::exited) left -= hooks_.job(key.first.job)->each;
  return left;
}

std::size_t Worker::busy() const {
  return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(), [](const auto& t) { return t.second.phase != TaskPhase::exited; }));
}

void Worker::stop() {
  for (const auto& [key, held] : tasks_) leave(key, held);
  tasks_.clear();
}

void Worker::new_session(Micros now) {
  stop();
  ++session_;
  session_began_ = renewed_ = now;
  changed_ = true;
}

void Worker::advance(Micros now) {
  if (machine_.dead) return;
  if (now - renewed_ > settings_.worker_lease) new_session(now);
  // A hanging machine does nothing but lose its lease in time.
  if (hanging) return;
  for (auto& [key, held] : tasks_) {
    if (held.phase == TaskPhase::exited || now < held.until) continue;
    if (held.phase == TaskPhase::fetching) {
      const JobSpec* job = hooks_.job(key.first.job);
      images_.insert(job->image);
      held.phase = TaskPhase::running;
      // A result is kept: a task that completed exits at once if it is started again.
      held.until = hooks_.checker->is_completed(key.first) ? now : now + hooks_.run_time(key.first);
      hooks_.checker->on(key.first, machine_.name, machine_.type, machine_.zone, machine_.spot, now);
      if (sick) {
        hooks_.checker->off(key.first, machine_.name);
        held = {TaskPhase::exited, ExitCause::failed, now};
        ++failures;
      }
    } else {
      hooks_.checker->off(key.first, machine_.name);
      const bool done = held.phase == TaskPhase::running;
      if (done) hooks_.checker->completed(key.first);
      held = {TaskPhase::exited, done ? ExitCause::done : ExitCause::stopped, now};
    }
    changed_ = true;
  }
}

Heartbeat Worker::status(Micros) {
  Heartbeat r;
  r.machine = machine_.name;
  r.address = machine_.address;
  r.type = machine_.type;
  r.zone = machine_.zone;
  r.spot = machine_.spot;
  r.incarnation = session_;
  r.sequence_number = ++sequence_;
  r.fencing_token = token_;
  r.preemption_notice = notice_;
  for (const auto& [key, held] : tasks_) r.tasks.push_back({key.first, key.second, held.phase, held.cause});
  return r;
}

bool Worker::wants_report(Micros now) const {
  if (hanging || machine_.dead || reporting_ || now < retry_at) return false;
  const Micros pause = now - last_report_;
  return pause >= settings_.heartbeat_interval || (changed_ && pause >= millis(500));
}

std::string Worker::report(Micros now) {
  reporting_ = true;
  changed_ = false;
  last_report_ = sent_ = now;
  sent_session_ = session_;
  ++report_number;
  return wire::body_of(status(now));
}

void Worker::report_failed(Micros now) {
  reporting_ = false;
  target.clear();
  retry_at = now + seconds(1);
}

void Worker::report_answered(int code, const std::string& body, Micros now) {
  if (code != 200) {
    report_failed(now);
    if (code != 421) return;
    const json v = json::parse(body);
    if (v.contains(kRedirect)) {
      target = v.at(kRedirect).get<std::string>();
      retry_at = now;
      changed_ = true;
    }
    return;
  }
  reporting_ = false;
  if (sent_session_ != session_) return;
  const json v = json::parse(body);
  const auto fencing_token = v.value(kFencingToken, std::uint64_t{0});
  if (fencing_token < token_) return;
  if (fencing_token > token_) changed_ = true;
  token_ = fencing_token;
  renewed_ = std::max(renewed_, sent_);
  execute(v.at(kCommands), now);
}

Response Worker::orders(const std::string& body, Micros now) {
  const json v = json::parse(body);
  if (v.at(kFencingToken).get<std::uint64_t>() < token_ ||
      v.at(kIncarnation).get<std::uint64_t>() != session_)
    return {409, wire::body_of(status(now))};
  if (v.at(kFencingToken).get<std::uint64_t>() > token_) changed_ = true;
  token_ = v.at(kFencingToken).get<std::uint64_t>();
  execute(v.at(kCommands), now);
  return {200, wire::body_of(status(now))};
}

void Worker::execute(const json& orders, Micros now) {
  for (const json& o : orders) {
    const auto name = o.at(kTask).get<std::string>();
    const auto slash = name.find('/');
    const Key key{{name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))},
                  o.at(kAttempt).get<std::uint64_t>()};
    const auto verb = o.at(kVerb).get<std::string>();
    auto it = tasks_.find(key);
    if (verb == "run") {
      if (it == tasks_.end()) start(key.first, key.second, now);
    } else if (it == tasks_.end()) {
      continue;
    } else if (verb == "clear") {
      if (it->second.phase == TaskPhase::exited) tasks_.erase(it);
    } else if (it->second.phase != TaskPhase::exited) {
      const JobSpec* job = hooks_.job(key.first.job);
      const bool saves = it->second.phase == TaskPhase::running && job->checkpoint.count() > 0 &&
                         seconds(o.at(kGracePeriod).get<double>()) >= job->save;
      if (saves) {
        it->second.phase = TaskPhase::saving;
        it->second.until = now + job->save;
      } else if (it->second.phase != TaskPhase::saving || o.at(kGracePeriod).get<double>() == 0) {
        leave(key, it->second);
        it->second = {TaskPhase::exited, ExitCause::stopped, now};
      }
    }
    changed_ = true;
  }
}

void Worker::start(const TaskId& task, std::uint64_t attempt, Micros now) {
  Held held;
  const JobSpec* job = hooks_.job(task.job);
  Resources used;
  bool busy = false;
  for (const auto& [key, other] : tasks_) {
    if (other.phase == TaskPhase::exited) continue;
    used += hooks_.job(key.first.job)->each;
    busy |= key.first == task;
  }
  if (job == nullptr || task.index >= job->tasks)
    held = {TaskPhase::exited, ExitCause::unknown, now};
  else if (busy)
    held = {TaskPhase::exited, ExitCause::busy, now};
  else if (!(used + job->each).fits_in(type_.size))
    held = {TaskPhase::exited, ExitCause::insufficient_resources, now};
  else
    held.until = images_.contains(job->image) ? now : now + seconds(job->image_gb / type_.fetch_gb_per_s);
  tasks_[{task, attempt}] = held;
}

}  // namespace bendtide::sim
