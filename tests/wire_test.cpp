#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "wire/cloud_protocol.h"
#include "wire/store_protocol.h"
#include "wire/user_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide::wire {
namespace {

using nlohmann::json;

/// Returns a valid job specification, with an additional unknown field.
json valid_job() {
  return json::parse(R"({"uid":"run-12","jobclass":"c","crew":"t","shape":"sweep","rank":"high","shards":4,
    "cpus":2.5,"cards":0,"memGb":8.0,"payload":"img","pullGb":1.5,"hulls":["small"],"berth":null,"oneZone":false,
    "apart":true,"driftwood":true,"expectS":30.0,"snapshotS":5.0,"stowS":1.0,"dueS":90.0,"something":"new"})");
}

TEST(JobSpecParser, RoundTripsValidSpec) {
  const auto parsed = parse_job_spec(valid_job().dump());
  const auto* s = std::get_if<JobSpec>(&parsed);
  ASSERT_NE(s, nullptr) << std::get<FieldError>(parsed).text();
  EXPECT_EQ(s->task_resources, (Resources{2500, 0, 8000}));
  EXPECT_EQ(s->deadline, seconds(90));
  EXPECT_FALSE(s->zone);
  EXPECT_EQ(std::get<JobSpec>(parse_job_spec(body_of(*s))), *s);
}

TEST(JobSpecParser, FindsJobIdInInvalidSpec) {
  json job = valid_job();
  job.erase("crew");
  EXPECT_EQ(find_job_id(job.dump()), "run-12");
  EXPECT_EQ(find_job_id(R"({"uid":"job-12"})"), "");
  EXPECT_EQ(find_job_id("[]"), "");
  EXPECT_EQ(find_job_id(R"({"uid":"run-12")"), "");
}

struct InvalidField {
  const char* field;
  json value;
};

TEST(JobSpecParser, RejectsInvalidFieldByName) {
  const std::vector<InvalidField> cases = {{"uid", "job-12"},
                                           {"uid", "run-"},
                                           {"uid", 12},
                                           {"uid", "run-1/2"},
                                           {"crew", nullptr},
                                           {"crew", ""},
                                           {"shape", "gang"},
                                           {"rank", "urgent"},
                                           {"shards", 0},
                                           {"shards", -1},
                                           {"shards", 100'001},
                                           {"shards", 1.5},
                                           {"shards", "4"},
                                           {"cpus", 0},
                                           {"cpus", -1},
                                           {"cpus", "2"},
                                           {"cpus", 1e300},
                                           {"memGb", nullptr},
                                           {"hulls", "small"},
                                           {"hulls", json::array()},
                                           {"hulls", {1, 2}},
                                           {"berth", 5},
                                           {"oneZone", "yes"},
                                           {"driftwood", 1},
                                           {"payload", json()},
                                           {"pullGb", -0.5},
                                           {"expectS", -1},
                                           {"dueS", "soon"},
                                           {"snapshotS", json::object()},
                                           {"payload", std::string(5000, 'x')}};
  for (const InvalidField& c : cases) {
    json job = valid_job();
    job[c.field] = c.value;
    const auto parsed = parse_job_spec(job.dump());
    const auto* error = std::get_if<FieldError>(&parsed);
    ASSERT_NE(error, nullptr) << c.field << " = " << c.value;
    EXPECT_EQ(error->field, c.field) << error->text();
    EXPECT_TRUE(error->text().starts_with(c.field)) << error->text();
  }
  for (const char* text : {"", "{", "[]", "3", "null", "\"x\"", "{\"uid\":\"run-1\"}", "[[[[[[[["})
    EXPECT_TRUE(std::holds_alternative<FieldError>(parse_job_spec(text))) << text;
}

TEST(JobSpecParser, ErrorTextNamesFieldAndProblem) {
  auto error_of = [](const std::string& body) {
    const auto parsed = parse_job_spec(body);
    return std::get<FieldError>(parsed).text();
  };
  json job = valid_job();
  job["cpus"] = 0;
  EXPECT_EQ(error_of(job.dump()), "cpus: out of range");
  job.erase("cpus");
  EXPECT_EQ(error_of(job.dump()), "cpus: missing");
  EXPECT_EQ(error_of("{"), "not JSON");
  EXPECT_EQ(error_of("[]"), "not an object");
}

TEST(HeartbeatParser, RoundTripsValidHeartbeatAndRejectsInvalidFields) {
  const std::string text =
      R"({"helm":"n-1","address":"10.0.0.1:9","hull":"g","berth":"a","driftwood":true,"watch":2,"tick":8,"baton":4,
      "warningS":2.5,"shards":[{"shard":"run-1/3","launch":7,"phase":"ended","cause":"halted","saved":true},
      {"shard":"run-2/0","launch":1,"phase":"pulling"}]})";
  const auto parsed = parse_heartbeat(text);
  const auto* r = std::get_if<Heartbeat>(&parsed);
  ASSERT_NE(r, nullptr) << std::get<FieldError>(parsed).text();
  EXPECT_EQ(r->tasks.at(0).cause, ExitCause::stopped);
  EXPECT_EQ(r->tasks.at(1).task, (TaskId{"run-2", 0}));
  EXPECT_EQ(body_of(std::get<Heartbeat>(parse_heartbeat(body_of(*r)))), body_of(*r));
  for (const char* field : {"helm", "watch", "tick", "baton", "shards"}) {
    json broken = json::parse(text);
    broken[field] = json::object();
    EXPECT_TRUE(std::holds_alternative<FieldError>(parse_heartbeat(broken.dump()))) << field;
  }
  for (const char* task : {"run-1", "run-1/", "run-1/x", "run-1/-1", "run-1/99999999999", "x/1"}) {
    json broken = json::parse(text);
    broken["shards"][0]["shard"] = task;
    EXPECT_TRUE(std::holds_alternative<FieldError>(parse_heartbeat(broken.dump()))) << task;
  }
}

TEST(StoreResponseParser, MapsStatusAndBodyToOutcome) {
  using Outcome = StoreResponse::Outcome;
  struct Case {
    StoreRequest request;
    int status;
    const char* body;
    Outcome outcome;
  };
  const GetKey get{"k"};
  const Transaction transaction{{}, {{"k", Value(1), 0}}};
  const std::vector<Case> cases = {
      {get, 200, R"({"path":"k","v":{"a":1},"stamp":7})", Outcome::ok},
      {get, 200, R"({"path":"k","v":{"a":1},"stamp":-7})", Outcome::unknown},
      {get, 200, "nonsense", Outcome::unknown},
      {get, 404, R"({"epoch":431})", Outcome::absent},
      {get, 429, "", Outcome::refused},
      {get, 503, "", Outcome::refused},
      {transaction, 503, "", Outcome::unknown},
      {get, 500, "", Outcome::unknown},
      {ListPrefix{"k/", ""}, 200, R"({"rows":[{"path":"k/1","v":1,"stamp":2}],"more":false,"epoch":9})",
       Outcome::ok},
      {ListPrefix{"k/", ""}, 200, R"({"rows":7,"epoch":9})", Outcome::unknown},
      {transaction, 200, R"({"epoch":10})", Outcome::ok},
      {transaction, 200, "{}", Outcome::unknown},
      {transaction, 409, R"({"failed":["k"],"epoch":9})", Outcome::conflict},
      {transaction, 400, R"({"error":"no such lease"})", Outcome::absent},
      {transaction, 400, R"({"error":"too large"})", Outcome::refused},
      {RenewLease{3}, 404, "", Outcome::absent},
      {RenewLease{3}, 200, "{}", Outcome::ok},
  };
  for (const Case& c : cases)
    EXPECT_EQ(parse_store_response(c.request, c.status, c.body).outcome, c.outcome)
        << c.status << " " << c.body;
}

TEST(CloudResponseParser, MapsStatusAndBodyToOutcome) {
  using Outcome = CloudResponse::Outcome;
  const CreateMachines create{"c", "t", "z", false, 1};
  EXPECT_EQ(parse_cloud_response(create, 200, R"({"helms":["n-1"]})").outcome, Outcome::ok);
  EXPECT_EQ(parse_cloud_response(create, 200, R"({"helms":[1]})").outcome, Outcome::unknown);
  EXPECT_EQ(parse_cloud_response(create, 503, R"({"error":"no capacity"})").outcome, Outcome::no_capacity);
  EXPECT_EQ(parse_cloud_response(create, 503, R"({"error":"trouble"})").outcome, Outcome::refused);
  EXPECT_EQ(parse_cloud_response(create, 429, "").outcome, Outcome::refused);
  EXPECT_EQ(parse_cloud_response(DeleteMachines{{"n-1"}}, 200, "").outcome, Outcome::ok);
  EXPECT_EQ(parse_cloud_response(DeleteMachines{{"n-1"}}, 500, "").outcome, Outcome::unknown);
}

TEST(CommandResponseParser, RequiresWorkerStatusUnlessRefused) {
  using Outcome = CommandResponse::Outcome;
  EXPECT_EQ(parse_command_response(200, "{}").outcome, Outcome::unknown);
  EXPECT_EQ(parse_command_response(409, "{}").outcome, Outcome::refused);
  Heartbeat r;
  r.machine = r.address = r.type = r.zone = "x";
  EXPECT_EQ(parse_command_response(200, body_of(r)).outcome, Outcome::executed);
}

}  // namespace
}  // namespace bendtide::wire
