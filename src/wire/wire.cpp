#include "wire/wire.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "wire/names.h"

namespace bendtide::wire {

using nlohmann::json;
using namespace names;

namespace {

struct Malformed {
  std::string why;
};

[[noreturn]] void fail(const std::string& field, const char* what) { throw Malformed{field + ": " + what}; }

constexpr std::uint32_t kMostTasks = 100'000;
constexpr double kMostAmount = 1e9;  ///< keeps sums of thousandths far from overflow
constexpr std::size_t kLongestName = 200;
constexpr std::size_t kMostTypes = 256;

/// Parses without exceptions leaking; depth is bounded by the size of a body.
json parse(std::string_view text) {
  json out = json::parse(text, nullptr, false);
  if (out.is_discarded()) throw Malformed{"not JSON"};
  return out;
}

const json& object(const json& v) {
  if (!v.is_object()) throw Malformed{"not an object"};
  return v;
}

/// A field that may be null may be omitted instead.
const json* find(const json& v, const char* field) {
  auto it = v.find(field);
  return it == v.end() || it->is_null() ? nullptr : &*it;
}

const json& need(const json& v, const char* field) {
  const json* f = find(v, field);
  if (f == nullptr) fail(field, "missing");
  return *f;
}

std::string name(const json& v, const char* field) {
  const json& f = need(v, field);
  if (!f.is_string()) fail(field, "must be a string");
  auto s = f.get<std::string>();
  if (s.empty() || s.size() > kLongestName) fail(field, "bad length");
  return s;
}

bool flag(const json& v, const char* field, bool otherwise) {
  const json* f = find(v, field);
  if (f == nullptr) return otherwise;
  if (!f->is_boolean()) fail(field, "must be true or false");
  return f->get<bool>();
}

double amount(const json& v, const char* field) {
  const json& f = need(v, field);
  if (!f.is_number()) fail(field, "must be a number");
  const double d = f.get<double>();
  if (!std::isfinite(d) || d < 0 || d > kMostAmount) fail(field, "out of range");
  return d;
}

std::uint64_t count(const json& v, const char* field) {
  const json& f = need(v, field);
  if (f.is_number_unsigned()) return f.get<std::uint64_t>();
  if (f.is_number_integer() && f.get<std::int64_t>() >= 0) return f.get<std::uint64_t>();
  fail(field, "must be a whole number");
}

Micros span(const json& v, const char* field) { return seconds(amount(v, field)); }

/// Thousandths; what a task needs is rounded up, what a machine has is rounded down.
std::int64_t thousandths(double d, bool up) {
  const double scaled = d * 1000.0;
  const double nearest = std::round(scaled);
  if (std::abs(scaled - nearest) < 1e-6) return static_cast<std::int64_t>(nearest);
  return static_cast<std::int64_t>(up ? std::ceil(scaled) : std::floor(scaled));
}

Resources resources(const json& v, bool up) {
  auto read = [&](const char* field) {
    return find(v, field) != nullptr ? thousandths(amount(v, field), up) : 0;
  };
  return {thousandths(amount(v, kCpus), up), read(kGpus), thousandths(amount(v, kMemory), up)};
}

template <class E>
using Table = std::initializer_list<std::pair<const char*, E>>;

template <class E>
E one_of(const json& v, const char* field, Table<E> table) {
  const json& f = need(v, field);
  if (f.is_string())
    for (const auto& [text, value] : table)
      if (f.get_ref<const std::string&>() == text) return value;
  fail(field, "unknown value");
}

template <class E>
const char* text_of(E value, Table<E> table) {
  for (const auto& [text, v] : table)
    if (v == value) return text;
  return "";
}

const Table<Shape> kShapes = {{"sweep", Shape::array}, {"daemon", Shape::service}};
const Table<Priority> kPriorities = {{"prod", Priority::production},
                                     {"high", Priority::high},
                                     {"normal", Priority::normal},
                                     {"idle", Priority::low}};
const Table<JobPhase> kJobPhases = {{"pending", JobPhase::pending},
                                    {"running", JobPhase::running},
                                    {"done", JobPhase::done},
                                    {"cancelled", JobPhase::cancelled}};
const Table<TaskPhase> kTaskPhases = {{"pulling", TaskPhase::fetching},
                                      {"running", TaskPhase::running},
                                      {"flushing", TaskPhase::saving},
                                      {"ended", TaskPhase::exited}};
const Table<ExitCause> kCauses = {{"done", ExitCause::done},    {"halted", ExitCause::stopped},
                                  {"error", ExitCause::failed}, {"full", ExitCause::no_room},
                                  {"in_use", ExitCause::busy},  {"unknown", ExitCause::unknown}};
const Table<Command::Kind> kVerbs = {
    {"run", Command::Kind::start}, {"kill", Command::Kind::stop}, {"clear", Command::Kind::forget}};
const Table<CloudPhase> kCloudPhases = {
    {"starting", CloudPhase::booting}, {"running", CloudPhase::running}, {"failed", CloudPhase::failed}};

std::string task_name(const TaskId& t) { return t.job + "/" + std::to_string(t.index); }

TaskId task_id(const json& v, const char* field) {
  const std::string text = name(v, field);
  const auto slash = text.find('/');
  TaskId id;
  if (slash == std::string::npos || !is_job_id(std::string_view(text).substr(0, slash)))
    fail(field, "not a task");
  id.job = text.substr(0, slash);
  const char* end = text.data() + text.size();
  auto [p, ec] = std::from_chars(text.data() + slash + 1, end, id.index);
  if (ec != std::errc{} || p != end) fail(field, "not a task");
  return id;
}

/// Runs a reader; whatever does not fit becomes the reason.
template <class T, class F>
Parsed<T> reading(F&& read) {
  try {
    return read();
  } catch (const Malformed& m) {
    return m.why;
  } catch (const json::exception&) {
    return std::string("malformed");
  }
}

Heartbeat read_report(const json& v) {
  object(v);
  Heartbeat r;
  r.machine = name(v, kMachine);
  r.address = name(v, kAddress);
  r.type = name(v, kMachineType);
  r.zone = name(v, kZone);
  r.spot = flag(v, kSpot, false);
  r.incarnation = count(v, kIncarnation);
  r.sequence_number = count(v, kSequenceNumber);
  r.fencing_token = count(v, kFencingToken);
  if (find(v, kPreemptionNotice) != nullptr) r.preemption_notice = span(v, kPreemptionNotice);
  const json& tasks = need(v, kTasks);
  if (!tasks.is_array()) fail(kTasks, "must be a list");
  for (const json& t : tasks) {
    object(t);
    TaskStatus task;
    task.task = task_id(t, kTask);
    task.attempt = count(t, kAttempt);
    task.phase = one_of(t, kPhase, kTaskPhases);
    if (task.phase == TaskPhase::exited) task.cause = one_of(t, kCause, kCauses);
    r.tasks.push_back(std::move(task));
  }
  return r;
}

std::string escaped(std::string_view text) {
  static constexpr char digits[] = "0123456789ABCDEF";
  std::string out;
  for (char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (std::isalnum(u) || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
      out += c;
    } else {
      out += '%';
      out += digits[u >> 4];
      out += digits[u & 15];
    }
  }
  return out;
}

json commands_json(const std::vector<Command>& commands) {
  json out = json::array();
  for (const Command& o : commands) {
    json entry = {{kVerb, text_of(o.kind, kVerbs)}, {kTask, task_name(o.task)}, {kAttempt, o.attempt}};
    if (o.kind == Command::Kind::stop) entry[kGracePeriod] = in_seconds(o.grace);
    out.push_back(std::move(entry));
  }
  return out;
}

}  // namespace

bool is_job_id(std::string_view id) {
  const std::string_view prefix = kJobIdPrefix;
  if (!id.starts_with(prefix) || id.size() <= prefix.size() || id.size() > 64) return false;
  return id.find_first_not_of("0123456789", prefix.size()) == std::string_view::npos;
}

Parsed<JobSpec> job_spec(std::string_view body) {
  return reading<JobSpec>([&] {
    const json v = parse(body);
    object(v);
    JobSpec s;
    s.id = name(v, kUid);
    if (!is_job_id(s.id)) fail(kUid, "not a job id");
    s.job_class = name(v, kJobClass);
    s.team = name(v, kTeam);
    s.shape = one_of(v, kShape, kShapes);
    s.priority = one_of(v, kPriority, kPriorities);
    const std::uint64_t tasks = count(v, kTasks);
    if (tasks < 1 || tasks > kMostTasks) fail(kTasks, "out of range");
    s.tasks = static_cast<std::uint32_t>(tasks);
    s.each = resources(v, true);
    if (s.each.cpu <= 0) fail(kCpus, "out of range");
    if (const json* types = find(v, kMachineTypes)) {
      if (!types->is_array() || types->size() > kMostTypes) fail(kMachineTypes, "must be a list of names");
      for (const json& t : *types) {
        if (!t.is_string() || t.get_ref<const std::string&>().size() > kLongestName)
          fail(kMachineTypes, "must be a list of names");
        s.types.push_back(t.get<std::string>());
      }
      if (s.types.empty()) fail(kMachineTypes, "empty");
    }
    if (find(v, kZone) != nullptr) s.zone = name(v, kZone);
    s.one_zone = flag(v, kOneZone, false);
    s.spread = flag(v, kSpread, false);
    s.spot = flag(v, kSpot, false);
    s.image = name(v, kImage);
    s.image_gb = amount(v, kImageGb);
    s.estimate = span(v, kEstimate);
    s.checkpoint = span(v, kCheckpoint);
    s.save = span(v, kSave);
    if (find(v, kDeadline) != nullptr) s.deadline = span(v, kDeadline);
    return s;
  });
}

std::string job_id_in(std::string_view body) {
  const auto read = reading<JobSpec>([&] {
    const json v = parse(body);
    object(v);
    JobSpec s;
    s.id = name(v, kUid);
    if (!is_job_id(s.id)) fail(kUid, "not a job id");
    return s;
  });
  const auto* spec = std::get_if<JobSpec>(&read);
  return spec == nullptr ? std::string{} : spec->id;
}

std::string body_of(const JobSpec& s) {
  auto units = [](std::int64_t n) { return static_cast<double>(n) / 1000.0; };
  json v = {{kUid, s.id},
            {kJobClass, s.job_class},
            {kTeam, s.team},
            {kShape, text_of(s.shape, kShapes)},
            {kPriority, text_of(s.priority, kPriorities)},
            {kTasks, s.tasks},
            {kCpus, units(s.each.cpu)},
            {kGpus, units(s.each.gpu)},
            {kMemory, units(s.each.memory)},
            {kImage, s.image},
            {kImageGb, s.image_gb},
            {kMachineTypes, s.types.empty() ? json() : json(s.types)},
            {kZone, s.zone ? json(*s.zone) : json()},
            {kOneZone, s.one_zone},
            {kSpread, s.spread},
            {kSpot, s.spot},
            {kEstimate, in_seconds(s.estimate)},
            {kCheckpoint, in_seconds(s.checkpoint)},
            {kSave, in_seconds(s.save)},
            {kDeadline, s.deadline ? json(in_seconds(*s.deadline)) : json()}};
  return v.dump();
}

Parsed<Heartbeat> heartbeat(std::string_view body) {
  return reading<Heartbeat>([&] { return read_report(parse(body)); });
}

std::string body_of(const Heartbeat& r) {
  json tasks = json::array();
  for (const TaskStatus& t : r.tasks) {
    json entry = {{kTask, task_name(t.task)}, {kAttempt, t.attempt}, {kPhase, text_of(t.phase, kTaskPhases)}};
    if (t.phase == TaskPhase::exited) entry[kCause] = text_of(t.cause, kCauses);
    tasks.push_back(std::move(entry));
  }
  json v = {{kMachine, r.machine},
            {kAddress, r.address},
            {kMachineType, r.type},
            {kZone, r.zone},
            {kSpot, r.spot},
            {kIncarnation, r.incarnation},
            {kSequenceNumber, r.sequence_number},
            {kFencingToken, r.fencing_token.value()},
            {kTasks, std::move(tasks)}};
  if (r.preemption_notice) v[kPreemptionNotice] = in_seconds(*r.preemption_notice);
  return v.dump();
}

std::string body_of(const UserReply& r) {
  if (r.status != 200 && r.status != 201) return json{{kError, r.error}}.dump();
  json v = {{kUid, r.id}, {kPhase, text_of(r.phase, kJobPhases)}, {kDone, r.done}, {kRunning, r.running}};
  return v.dump();
}

std::string body_of(const HeartbeatReply& r) {
  if (r.status == 200)
    return json{{kFencingToken, r.fencing_token.value()}, {kCommands, commands_json(r.commands)}}.dump();
  if (!r.redirect.empty()) return json{{kRedirect, r.redirect}}.dump();
  return "{}";
}

// ---- key-value store -------------------------------------------------------------------------------

HttpRequest request_of(const StoreRequest& request) {
  struct Visitor {
    HttpRequest operator()(const GetKey& r) {
      return {"GET", std::string(kKeysPath) + "/" + escaped(r.key), ""};
    }
    HttpRequest operator()(const ListPrefix& r) {
      std::string target = std::string(kKeysPath) + "?" + kPrefix + "=" + escaped(r.prefix);
      if (!r.after.empty()) target += std::string("&") + kAfter + "=" + escaped(r.after);
      return {"GET", target + "&" + kLimit + "=1000", ""};
    }
    HttpRequest operator()(const Transaction& r) {
      json compares = json::array(), writes = json::array();
      for (const Compare& c : r.compares)
        compares.push_back({{kKey, c.key}, {kRevision, c.revision.value()}});
      for (const Write& w : r.writes) {
        if (!w.value) {
          writes.push_back({{kRemove, w.key}});
          continue;
        }
        json entry = {{kPut, w.key}, {kValue, *w.value}};
        if (w.lease != 0) entry[kLease] = w.lease.value();
        writes.push_back(std::move(entry));
      }
      return {"POST", kTransactionPath,
              json{{kCompares, std::move(compares)}, {kWrites, std::move(writes)}}.dump()};
    }
    HttpRequest operator()(const GrantLease& r) {
      return {"POST", kLeasesPath, json{{kTtl, r.term.count() / 1000}}.dump()};
    }
    HttpRequest operator()(const RenewLease& r) {
      return {"POST", std::string(kLeasesPath) + "/" + to_string(r.lease) + kRenewSuffix, "{}"};
    }
  };
  return std::visit(Visitor{}, request);
}

StoreResponse store_response(const StoreRequest& request, int status, std::string_view body) {
  StoreResponse out;
  if (status == 429 || status == 503) {
    // This request was not executed, but a late copy of it may be yet: for a write, that is as good as no
    // answer.
    if (!std::holds_alternative<Transaction>(request)) out.outcome = StoreResponse::Outcome::refused;
    return out;
  }
  try {
    const json v = body.empty() ? json::object() : parse(body);
    object(v);
    if (status == 404) {
      out.outcome = StoreResponse::Outcome::absent;
      if (find(v, kStoreRevision) != nullptr) out.revision = count(v, kStoreRevision);
      return out;
    }
    if (status == 409) {
      out.outcome = StoreResponse::Outcome::conflict;
      if (const json* failed = find(v, kFailedCompares); failed != nullptr && failed->is_array())
        for (const json& key : *failed)
          if (key.is_string()) out.failed.push_back(key.get<std::string>());
      return out;
    }
    if (status == 400) {
      // The only one we provoke: a put under a lease that ended.
      const json* error = find(v, kError);
      const bool lease = error != nullptr && error->is_string() &&
                         error->get_ref<const std::string&>().find("lease") != std::string::npos;
      out.outcome = lease ? StoreResponse::Outcome::absent : StoreResponse::Outcome::refused;
      return out;
    }
    if (status != 200) return out;
    auto entry = [](const json& r) {
      object(r);
      return KeyValue{name(r, kKey), r.at(kValue), count(r, kRevision)};
    };
    if (std::holds_alternative<GetKey>(request)) {
      out.entries.push_back(entry(v));
    } else if (std::holds_alternative<ListPrefix>(request)) {
      const json& entries = need(v, kEntries);
      if (!entries.is_array()) fail(kEntries, "must be a list");
      for (const json& r : entries) out.entries.push_back(entry(r));
      out.more = flag(v, kMore, false);
      out.revision = count(v, kStoreRevision);
    } else if (std::holds_alternative<Transaction>(request)) {
      out.revision = count(v, kStoreRevision);
    } else if (std::holds_alternative<GrantLease>(request)) {
      out.lease = count(v, kLease);
    }
    out.outcome = StoreResponse::Outcome::ok;
    return out;
  } catch (const Malformed&) {
  } catch (const json::exception&) {
  }
  // An answer that can't be read is none.
  return {};
}

// ---- cloud ---------------------------------------------------------------------------------------

HttpRequest request_of(const CloudRequest& request) {
  struct Visitor {
    HttpRequest operator()(const ListMachineTypes&) { return {"GET", kMachineTypesPath, ""}; }
    HttpRequest operator()(const CreateMachines& r) {
      return {"POST", kMachinesPath,
              json{{kIdempotencyKey, r.idempotency_key},
                   {kMachineType, r.type},
                   {kZone, r.zone},
                   {kSpot, r.spot},
                   {kCount, r.count}}
                  .dump()};
    }
    HttpRequest operator()(const DeleteMachines& r) {
      return {"POST", kDeleteMachinesPath, json{{kMachines, r.machines}}.dump()};
    }
    HttpRequest operator()(const ListMachines& r) {
      std::string target = std::string(kMachinesPath) + "?" + kLimit + "=500";
      if (!r.after.empty()) target += std::string("&") + kAfter + "=" + escaped(r.after);
      return {"GET", target, ""};
    }
  };
  return std::visit(Visitor{}, request);
}

CloudResponse cloud_response(const CloudRequest& request, int status, std::string_view body) {
  CloudResponse out;
  try {
    if (status == 503) {
      const json v = parse(body);
      const json* error = v.is_object() ? find(v, kError) : nullptr;
      const bool none = error != nullptr && *error == "no capacity";
      out.outcome = none ? CloudResponse::Outcome::no_capacity : CloudResponse::Outcome::refused;
      return out;
    }
    if (status == 429 || status == 400) {
      out.outcome = CloudResponse::Outcome::refused;
      return out;
    }
    if (status != 200) return out;
    if (std::holds_alternative<DeleteMachines>(request)) {
      out.outcome = CloudResponse::Outcome::ok;
      return out;
    }
    const json v = parse(body);
    object(v);
    if (std::holds_alternative<ListMachineTypes>(request)) {
      for (const json& t : need(v, kMachineTypes)) {
        MachineType type;
        type.name = name(t, kTypeName);
        type.size = resources(t, false);
        type.cache_gb = amount(t, kCacheGb);
        type.fetch_gb_per_s = amount(t, kFetchRate);
        type.price = amount(t, kPrice);
        type.spot_price = find(t, kSpotPrice) != nullptr ? amount(t, kSpotPrice) : 0;
        type.boot = span(t, kBootTime);
        type.zones = need(t, kZones).get<std::vector<std::string>>();
        out.types.push_back(std::move(type));
      }
    } else if (std::holds_alternative<CreateMachines>(request)) {
      out.names = need(v, kMachines).get<std::vector<std::string>>();
    } else {
      for (const json& m : need(v, kMachines)) {
        CloudMachine machine;
        machine.name = name(m, kUid);
        if (find(m, kAddress) != nullptr) machine.address = name(m, kAddress);
        machine.type = name(m, kMachineType);
        machine.zone = name(m, kZone);
        machine.spot = flag(m, kSpot, false);
        machine.phase = one_of(m, kPhase, kCloudPhases);
        machine.age = span(m, kAge);
        out.machines.push_back(std::move(machine));
      }
      out.more = flag(v, kMore, false);
    }
    out.outcome = CloudResponse::Outcome::ok;
    return out;
  } catch (const Malformed&) {
  } catch (const json::exception&) {
  }
  return {};
}

// ---- workers -------------------------------------------------------------------------------------

HttpRequest request_of(const CommandRequest& r) {
  return {"POST", kCommandsPath,
          json{{kFencingToken, r.fencing_token.value()},
               {kIncarnation, r.incarnation},
               {kCommands, commands_json(r.commands)}}
              .dump()};
}

CommandResponse command_response(int status, std::string_view body) {
  CommandResponse out;
  if (status == 409 || status == 400) out.outcome = CommandResponse::Outcome::refused;
  auto parsed = heartbeat(body);
  if (auto* r = std::get_if<Heartbeat>(&parsed)) {
    out.heartbeat = std::move(*r);
    // Without the worker's status, the commands may as well not have been answered.
    if (status == 200) out.outcome = CommandResponse::Outcome::executed;
  }
  return out;
}

}  // namespace bendtide::wire
