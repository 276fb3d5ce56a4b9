#include "core/controller/controller.h"
#include "core/controller/overview.h"
#include "recorded_cases.h"
#include "recorded_values.h"
#include "sim/held_shard.h"
#include "wire/cloud_protocol.h"
#include "wire/store_protocol.h"
#include "wire/user_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide::recorded {

namespace {

using nlohmann::json;

// ---- messages that are sent ----------------------------------------------------------------------

Heartbeat heartbeat_with(const std::vector<TaskStatus>& tasks) {
  Heartbeat r;
  r.machine = "n-000001";
  r.address = "10.0.0.1:9000";
  r.type = "small";
  r.zone = "east";
  r.incarnation = 2;
  r.sequence_number = 8;
  r.fencing_token = 4;
  r.tasks = tasks;
  return r;
}

Named<Heartbeat> heartbeats() {
  Named<Heartbeat> out = {{"empty", heartbeat_with({})}};
  out.emplace_back("extremes", heartbeat_with({{{"run-1", UINT32_MAX}, UINT64_MAX, TaskPhase::running, {}}}));
  Heartbeat& extremes = out.back().second;
  extremes.spot = true;
  extremes.incarnation = UINT64_MAX;
  extremes.sequence_number = UINT64_MAX;
  extremes.fencing_token = UINT64_MAX;
  extremes.preemption_notice = seconds(2.5);
  out.emplace_back("with a notice of zero", heartbeat_with({}));
  out.back().second.preemption_notice = Micros{0};
  for (const auto& [name, phase] : task_phases())
    if (phase != TaskPhase::exited)
      out.emplace_back("with a task " + name, heartbeat_with({{{"run-1", 3}, 7, phase, ExitCause::none}}));
  for (const auto& [name, cause] : exit_causes())
    out.emplace_back("with a task exited, " + name,
                     heartbeat_with({{{"run-1", 0}, 1, TaskPhase::exited, cause}}));
  return out;
}

std::vector<Command> all_commands() {
  return {{Command::Kind::start, {"run-1", 0}, 1, {}},
          {Command::Kind::stop, {"run-1", 1}, 2, seconds(1.5)},
          {Command::Kind::stop, {"run-1", 2}, 3, {}},
          {Command::Kind::forget, {"run-9007199254740993", UINT32_MAX}, UINT64_MAX, {}}};
}

std::vector<SentMessage> replies_to_users() {
  std::vector<SentMessage> out;
  auto add = [&out](const std::string& name, const UserReply& reply) {
    out.push_back({"reply to a user: " + name, wire::body_of(reply)});
  };
  for (const auto& [name, phase] : job_phases()) {
    add("200 " + name, {200, "run-1", phase, 3, 4, 0, ""});
    add("201 " + name, {201, "run-1", phase, 0, 0, 0, ""});
  }
  add("200 extremes", {200, "run-1", JobPhase::running, UINT64_MAX, UINT64_MAX, 0, ""});
  for (const int status : {400, 404, 409, 422, 429, 500, 503})
    add(std::to_string(status), {status, "run-1", JobPhase::pending, 1, 2, 3, "a \"reason\"\n"});
  return out;
}

std::vector<SentMessage> replies_to_workers() {
  std::vector<SentMessage> out;
  auto add = [&out](const std::string& name, const HeartbeatReply& reply) {
    out.push_back({"reply to a report: " + name, wire::body_of(reply)});
  };
  add("200", {200, 4711, all_commands(), ""});
  add("200 without orders", {200, UINT64_MAX, {}, ""});
  add("421", {421, 0, {}, "node-2"});
  add("421 to nobody", {421, 0, {}, ""});
  add("503", {503, 4711, all_commands(), ""});
  return out;
}

std::string text_of(const wire::HttpRequest& r) { return r.method + " " + r.target + "\n" + r.body; }

Named<StoreRequest> store_requests() {
  Transaction commit;
  commit.compares = {{"hold/node-0", 4711}, {"job/run-1", 0}, {"live/run-1", UINT64_MAX}};
  commit.writes = {{"job/run-1", Value{{"phase", 2}, {"tasks", 4}}, 0},
                   {"hold/node-0", Value{{"host", "node-0"}}, 12},
                   {"live/run-1", std::nullopt, 0}};
  return {{"get", GetKey{"hold/node-0"}},
          {"get a key with other letters", GetKey{"claim/-/n~_.0 \"%?&=+#\xC3\xB8"}},
          {"list", ListPrefix{"live/", ""}},
          {"list on", ListPrefix{"live/", "live/run 1"}},
          {"commit", commit},
          {"commit nothing", Transaction{}},
          {"lease", GrantLease{millis(12'345)}},
          {"renew", RenewLease{UINT64_MAX}}};
}

Named<CloudRequest> cloud_requests() {
  return {{"catalogue", ListMachineTypes{}},
          {"rent", CreateMachines{"node-0-1", "small", "east", false, 1}},
          {"rent spot machines", CreateMachines{"node-0-2", "large", "west", true, 500}},
          {"delete", DeleteMachines{{"n-000001", "n-000002"}}},
          {"delete nothing", DeleteMachines{}},
          {"list", ListMachines{""}},
          {"list on", ListMachines{"n-000001/+"}}};
}

std::vector<SentMessage> requests() {
  std::vector<SentMessage> out;
  for (const auto& [name, request] : store_requests())
    out.push_back({"request to the state service: " + name, text_of(wire::request_of(request))});
  for (const auto& [name, request] : cloud_requests())
    out.push_back({"request to the cloud: " + name, text_of(wire::request_of(request))});
  const CommandRequest every{"10.0.0.1:9000", 2, 4711, all_commands()};
  const CommandRequest none{"10.0.0.1:9000", UINT64_MAX, UINT64_MAX, {}};
  out.push_back({"request to a worker: orders", text_of(wire::request_of(every))});
  out.push_back({"request to a worker: no orders", text_of(wire::request_of(none))});
  return out;
}

// ---- messages that are received ------------------------------------------------------------------

std::string outcome_of(const StoreResponse& a) {
  using Outcome = StoreResponse::Outcome;
  switch (a.outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::absent:
      return "absent";
    case Outcome::conflict:
      return "conflict";
    case Outcome::refused:
      return "refused";
    case Outcome::unknown:
      break;
  }
  return "lost";
}

std::string outcome_of(const CloudResponse& a) {
  using Outcome = CloudResponse::Outcome;
  switch (a.outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::no_capacity:
      return "no capacity";
    case Outcome::refused:
      return "refused";
    case Outcome::unknown:
      break;
  }
  return "lost";
}

std::string outcome_of(const CommandResponse& a) {
  using Outcome = CommandResponse::Outcome;
  switch (a.outcome) {
    case Outcome::executed:
      return "executed";
    case Outcome::refused:
      return "refused";
    case Outcome::unknown:
      break;
  }
  return "lost";
}

std::string phase_of(const CloudMachine& m) {
  switch (m.phase) {
    case CloudPhase::booting:
      return "booting";
    case CloudPhase::running:
      return "running";
    case CloudPhase::failed:
      break;
  }
  return "failed";
}

std::string describe(const StoreResponse& a) {
  json entries = json::array();
  for (const KeyValue& entry : a.entries) entries.push_back({entry.key, entry.value, entry.revision.value()});
  return json{{"outcome", outcome_of(a)},       {"rows", entries},          {"more", a.more},
              {"revision", a.revision.value()}, {"lease", a.lease.value()}, {"failed", a.failed}}
      .dump();
}

std::string describe(const CloudResponse& a) {
  json types = json::array(), machines = json::array();
  for (const MachineType& t : a.types)
    types.push_back({t.name, t.size.cpu, t.size.gpu, t.size.memory, t.cache_gb, t.fetch_gb_per_s, t.price,
                     t.spot_price, t.boot.count(), t.zones});
  for (const CloudMachine& m : a.machines)
    machines.push_back({m.name, m.address, m.type, m.zone, m.spot, phase_of(m), m.age.count()});
  return json{{"outcome", outcome_of(a)},
              {"types", types},
              {"names", a.names},
              {"machines", machines},
              {"more", a.more}}
      .dump();
}

std::string describe(const CommandResponse& a) {
  return outcome_of(a) + " " + (a.heartbeat ? wire::body_of(*a.heartbeat) : "without a report");
}

/// The parsed value, serialized again, or the reason why it was refused.
template <class T>
std::string describe(const wire::Parsed<T>& parsed) {
  if (const auto* value = std::get_if<T>(&parsed)) return wire::body_of(*value);
  return "refused: " + std::get<wire::FieldError>(parsed).text();
}

std::string read_submission(int /*status*/, const std::string& body) {
  return describe(wire::parse_job_spec(body));
}
std::string read_job_id(int /*status*/, const std::string& body) { return wire::find_job_id(body); }
std::string read_heartbeat(int /*status*/, const std::string& body) {
  return describe(wire::parse_heartbeat(body));
}
std::string read_command_response(int status, const std::string& body) {
  return describe(wire::parse_command_response(status, body));
}

void add_submissions(std::vector<ReceivedBody>& out) {
  for (const auto& [name, spec] : job_specs())
    out.push_back({"submission " + name, 0, wire::body_of(spec), read_submission});
  const json good = json::parse(wire::body_of(full_job()));
  out.push_back({"submission: the id alone", 0, good.dump(), read_job_id});
  for (const auto& [field, value] : good.items()) {
    json without = good;
    without.erase(field);
    out.push_back({"submission without " + field, 0, without.dump(), read_submission});
    json wrong = good;
    wrong[field] = json::object();
    out.push_back({"submission with an object as " + field, 0, wrong.dump(), read_submission});
  }
  for (const char* amount : {"cpus", "cards", "memGb"}) {
    json fine = good;
    fine[amount] = 0.0001234;
    out.push_back(
        {std::string("submission that needs next to no ") + amount, 0, fine.dump(), read_submission});
  }
  for (const char* text : {"", "{", "[]", "null"})
    out.push_back({"submission that is none: " + std::string(text), 0, text, read_submission});
}

void add_heartbeats(std::vector<ReceivedBody>& out) {
  for (const auto& [name, r] : heartbeats())
    out.push_back({"report " + name, 0, wire::body_of(r), read_heartbeat});
  const json good = json::parse(wire::body_of(heartbeats().back().second));
  for (const auto& [field, value] : good.items()) {
    json without = good;
    without.erase(field);
    out.push_back({"report without " + field, 0, without.dump(), read_heartbeat});
  }
  out.push_back({"report with fields of later versions", 0,
                 R"({"helm":"n-1","address":"10.0.0.1:9","hull":"g","berth":"a","driftwood":true,"watch":2,)"
                 R"("tick":8,"baton":4,"warningS":2.5,"new":[1],"shards":[{"shard":"run-1/3","launch":7,)"
                 R"("phase":"ended","cause":"halted","saved":true}]})",
                 read_heartbeat});
}

/// An HTTP response as the program may receive it.
struct HttpResponse {
  const char* name;
  int status;
  const char* body;
};

/// Responses that are parsed for every request to the key-value store and to the cloud.
constexpr HttpResponse kCommonResponses[] = {
    {"nothing", 200, ""},
    {"no JSON", 200, "nonsense"},
    {"an empty object", 200, "{}"},
    {"not found", 404, R"({"epoch":431})"},
    {"not found, no body", 404, ""},
    {"bad", 400, R"({"error":"too large"})"},
    {"no lease", 400, R"({"error":"no such lease"})"},
    {"conflict", 409, R"({"failed":["hold/node-0","job/run-1"],"epoch":9})"},
    {"too many", 429, "{}"},
    {"unavailable", 503, R"({"error":"trouble"})"},
    {"no capacity", 503, R"({"error":"no capacity"})"},
    {"failure", 500, ""},
};

/// Responses that are parsed for every request to the key-value store.
constexpr HttpResponse kStoreResponses[] = {
    {"a row", 200, R"({"path":"hold/node-0","v":{"host":"node-0","incarnation":"life-1"},"stamp":7})"},
    {"a row with a bad stamp", 200, R"({"path":"k","v":1,"stamp":-7})"},
    {"a row without a value", 200, R"({"path":"k","stamp":7})"},
    {"rows", 200,
     R"({"rows":[{"path":"k/1","v":null,"stamp":2},{"path":"k/2","v":[1,2.5],"stamp":18446744073709551615}],)"
     R"("more":true,"epoch":9})"},
    {"rows without more", 200, R"({"rows":[],"epoch":9})"},
    {"rows that are none", 200, R"({"rows":7,"epoch":9})"},
    {"a revision", 200, R"({"epoch":10})"},
    {"a lease", 200, R"({"mooring":12})"},
};

/// Responses that are parsed for every request to the cloud.
constexpr HttpResponse kCloudResponses[] = {
    {"a catalogue", 200,
     R"({"hulls":[{"label":"small","cpus":8,"cards":0,"memGb":64.0005,"cacheGb":50,"fetchGbPerS":0.8,)"
     R"("hourly":0.5,"marketPrice":0.12,"readyS":6.5,"berths":["east","west"]},{"label":"cards","cpus":96.5,)"
     R"("cards":8,"memGb":1000,"cacheGb":0,"fetchGbPerS":1,"hourly":30,"marketPrice":null,"readyS":0,)"
     R"("berths":[]}]})"},
    {"an unfinished catalogue", 200, R"({"hulls":[{"label":"small"}]})"},
    {"names", 200, R"({"helms":["n-1","n-2"]})"},
    {"machines", 200,
     R"({"helms":[{"uid":"n-1","address":"10.0.0.1:9","hull":"small","berth":"east","driftwood":true,)"
     R"("phase":"running","ageS":12.5},{"uid":"n-2","address":null,"hull":"small","berth":"west",)"
     R"("phase":"starting","ageS":0},{"uid":"n-3","hull":"small","berth":"west","phase":"failed","ageS":1}],)"
     R"("more":true})"},
    {"a machine in an unknown phase", 200,
     R"({"helms":[{"uid":"n-1","hull":"small","berth":"east","phase":"melting","ageS":1}]})"},
};

ReceivedBody store_case(const std::string& request_name, const StoreRequest& request,
                        const HttpResponse& response) {
  auto read = [request](int status, const std::string& body) {
    return describe(wire::parse_store_response(request, status, body));
  };
  return {"answer of the state service to " + request_name + ": " + response.name, response.status,
          response.body, read};
}

void add_store_responses(std::vector<ReceivedBody>& out) {
  for (const auto& [name, request] : store_requests()) {
    for (const HttpResponse& response : kCommonResponses) out.push_back(store_case(name, request, response));
    for (const HttpResponse& response : kStoreResponses) out.push_back(store_case(name, request, response));
  }
}

ReceivedBody cloud_case(const std::string& request_name, const CloudRequest& request,
                        const HttpResponse& response) {
  auto read = [request](int status, const std::string& body) {
    return describe(wire::parse_cloud_response(request, status, body));
  };
  return {"answer of the cloud to " + request_name + ": " + response.name, response.status, response.body,
          read};
}

void add_cloud_responses(std::vector<ReceivedBody>& out) {
  for (const auto& [name, request] : cloud_requests()) {
    for (const HttpResponse& response : kCommonResponses) out.push_back(cloud_case(name, request, response));
    for (const HttpResponse& response : kCloudResponses) out.push_back(cloud_case(name, request, response));
  }
}

void add_command_responses(std::vector<ReceivedBody>& out) {
  const std::string heartbeat = wire::body_of(heartbeats().back().second);
  for (const int status : {200, 400, 404, 409, 429, 500, 503})
    for (const auto& [name, body] : Named<std::string>{{"a report", heartbeat}, {"no report", "{}"}})
      out.push_back({"answer of a worker: " + std::to_string(status) + " with " + name, status, body,
                     read_command_response});
}

}  // namespace

std::vector<SentMessage> sent_bodies() {
  std::vector<SentMessage> out;
  for (const auto& [name, spec] : job_specs()) out.push_back({"submission " + name, wire::body_of(spec)});
  for (const auto& [name, r] : heartbeats()) out.push_back({"report " + name, wire::body_of(r)});
  for (const auto& kind : {replies_to_users(), replies_to_workers(), requests()})
    out.insert(out.end(), kind.begin(), kind.end());
  return out;
}

std::vector<SentMessage> admin_bodies() {
  sim::HeldShard held;
  held.add_job();
  held.shard.quota.load({{"t", {8000, 0}}}, 1);
  held.state.routes["b"] = {};
  Scheduler scheduler(held.state, held.fleet);
  const ContractNet net(held.state, scheduler, {[] {}});
  return {{"policy", Policy::to_json({}).dump()},
          {"parts", overview::shards(held.state).dump()},
          {"machines", overview::machines(held.state).dump()},
          {"jobs", overview::jobs(held.state).dump()},
          {"negotiations", overview::negotiations(net).dump()}};
}

std::vector<ReceivedBody> received_bodies() {
  std::vector<ReceivedBody> out;
  add_submissions(out);
  add_heartbeats(out);
  add_store_responses(out);
  add_cloud_responses(out);
  add_command_responses(out);
  return out;
}

}  // namespace bendtide::recorded
