// Checks that stored data and wire formats are unchanged, byte for byte: compares what the current sources
// write and read with the files in tests/recorded (see recorded_cases.h).

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <stdexcept>

#include "core/controller/controller.h"
#include "recorded_cases.h"
#include "sim/simulated_cluster.h"
#include "wire/store_protocol.h"

namespace bendtide::recorded {
namespace {

using nlohmann::json;

std::ifstream open_recorded(const std::string& file) {
  std::ifstream in(std::string(BENDTIDE_RECORDED_FOLDER) + "/" + file);
  if (!in) throw std::runtime_error("cannot read the recorded file " + file);
  return in;
}

json recorded_json(const std::string& file) {
  std::ifstream in = open_recorded(file);
  return json::parse(in);
}

/// One list of a recorded file. Throws if it is empty, because a test without cases would check nothing.
json recorded_list(const std::string& file, const char* list) {
  json out = recorded_json(file).at(list);
  if (out.empty()) throw std::runtime_error(file + " has an empty list " + list);
  return out;
}

std::string text(const json& entry, const char* field) { return entry.at(field).get<std::string>(); }

std::vector<SentMessage> recorded_frames() {
  std::ifstream in = open_recorded("peer_messages.txt");
  std::vector<SentMessage> out;
  for (std::string line; std::getline(in, line);) {
    const auto colon = line.find(": ");
    out.push_back({line.substr(0, colon), from_hex(line.substr(colon + 2))});
  }
  return out;
}

void expect_same(const std::vector<SentMessage>& built, const std::vector<SentMessage>& recorded) {
  ASSERT_EQ(built.size(), recorded.size());
  for (std::size_t i = 0; i < built.size(); ++i) {
    EXPECT_EQ(built[i].name, recorded[i].name);
    EXPECT_EQ(built[i].bytes, recorded[i].bytes) << recorded[i].name;
  }
}

std::vector<SentMessage> written_rows(const json& entries) {
  std::vector<SentMessage> out;
  for (const json& entry : entries) out.push_back({text(entry, "name"), text(entry, "bytes")});
  return out;
}

// ---- records -------------------------------------------------------------------------------------

TEST(RecordedRecords, SerializationIsUnchanged) {
  const json recorded = recorded_list("records.json", "written");
  const std::vector<StoredRecord> built = stored_records();
  ASSERT_EQ(built.size(), recorded.size());
  for (std::size_t i = 0; i < built.size(); ++i) {
    EXPECT_EQ(built[i].name, text(recorded[i], "name"));
    EXPECT_EQ(built[i].key, text(recorded[i], "key")) << built[i].name;
    EXPECT_EQ(built[i].value, text(recorded[i], "value")) << built[i].name;
  }
}

TEST(RecordedRecords, RoundTripIsUnchanged) {
  for (const json& entry : recorded_list("records.json", "written"))
    EXPECT_EQ(round_trip_record(text(entry, "key"), text(entry, "value")), text(entry, "value"))
        << text(entry, "name");
}

TEST(RecordedRecords, UnreadableRecordsAreRejected) {
  for (const json& entry : recorded_list("records.json", "unreadable"))
    EXPECT_EQ(round_trip_record(text(entry, "key"), text(entry, "value")), std::nullopt)
        << text(entry, "name");
}

// ---- messages between controllers ----------------------------------------------------------------

TEST(RecordedFrames, EncodingIsUnchanged) { expect_same(peer_frames(), recorded_frames()); }

TEST(RecordedFrames, RoundTripIsUnchanged) {
  for (const SentMessage& frame : recorded_frames())
    EXPECT_EQ(round_trip_frame(frame.bytes), frame.bytes) << frame.name;
}

TEST(RecordedFrames, CoverEveryKindOfMessage) {
  EXPECT_EQ(peer_message_kinds(recorded_frames()), peer_message_kinds());
}

// ---- bodies --------------------------------------------------------------------------------------

TEST(RecordedBodies, SerializationIsUnchanged) {
  expect_same(sent_bodies(), written_rows(recorded_list("wire.json", "written")));
}

TEST(RecordedBodies, AdminSerializationIsUnchanged) {
  expect_same(admin_bodies(), written_rows(recorded_list("wire.json", "administration")));
}

TEST(RecordedBodies, ParsingIsUnchanged) {
  const json recorded = recorded_list("wire.json", "understood");
  const std::vector<ReceivedBody> built = received_bodies();
  ASSERT_EQ(built.size(), recorded.size());
  for (std::size_t i = 0; i < built.size(); ++i) {
    const json& entry = recorded[i];
    ASSERT_EQ(built[i].name, text(entry, "name"));
    EXPECT_EQ(built[i].body, text(entry, "body")) << built[i].name;
    EXPECT_EQ(built[i].read(entry.at("status").get<int>(), text(entry, "body")), text(entry, "read_as"))
        << built[i].name;
  }
}

// ---- store snapshot ------------------------------------------------------------------------------

/// The records of the store snapshot whose keys begin with `prefix`. Throws if there are none.
std::vector<json> recorded_rows(const std::string& prefix) {
  std::vector<json> out;
  for (const json& entry : recorded_list("store.json", "rows"))
    if (text(entry, "key").starts_with(prefix)) out.push_back(entry);
  if (out.empty()) throw std::runtime_error("store.json has no record with the prefix " + prefix);
  return out;
}

TEST(RecordedStore, CoversEveryKindOfRecord) {
  for (const char* prefix :
       {"hold/", "room/", "live/", "job/", "done/", "award/", "claim/-/", "claim/node-0/", "catalogue"})
    EXPECT_NO_THROW(recorded_rows(prefix)) << prefix;
}

TEST(RecordedStore, RoundTripIsUnchanged) {
  for (const json& entry : recorded_rows("")) {
    const std::string value = entry.at("value").dump();
    EXPECT_EQ(round_trip_record(text(entry, "key"), value), value) << text(entry, "key");
  }
}

TEST(RecordedStore, SimulatedStoreRestoresSnapshot) {
  const json recorded = recorded_json("store.json");
  sim::SimulatedKeyValueStore state(sim::settings_for());
  state.restore(recorded, Micros{0});
  EXPECT_EQ(state.snapshot(), recorded);
}

/// A controller that starts alone with the recorded store. No peer, no cloud and no worker responds to it.
class ShardTakeover : public testing::Test {
 protected:
  static Settings settings() {
    Settings s = sim::settings_for();
    s.host = "node-0";
    s.zone = "east";
    s.peers = {{"node-1", "east", "node-1"}, {"node-2", "west", "node-2"}};
    return s;
  }

  /// Runs the controller for 60 s: until the recorded leases have expired, all shards are acquired, and all
  /// jobs are loaded.
  void SetUp() override {
    state_.restore(recorded_json("store.json"), now_);
    for (const Micros end = now_ + seconds(60); now_ < end;) step();
  }

  void step() {
    now_ += millis(20);
    controller_.set_clocks(now_, now_ + seconds(1'000'000));
    controller_.tick();
    perform_all();
  }

  void perform_all() {
    for (auto actions = controller_.take_actions(now_); !actions.empty();
         actions = controller_.take_actions(now_))
      for (Action& action : actions) perform(action);
  }

  void perform(const Action& action) {
    if (const auto* call = std::get_if<StoreCall>(&action)) {
      const sim::Response r = state_.handle(wire::request_of(call->request), now_);
      controller_.on_store_response(call->call, wire::parse_store_response(call->request, r.status, r.body));
    }
    if (const auto* call = std::get_if<CloudCall>(&action))
      controller_.on_cloud_response(call->call, CloudResponse{});
    if (const auto* call = std::get_if<WorkerCall>(&action))
      controller_.on_command_response(call->call, CommandResponse{});
    if (const auto* answer = std::get_if<AnswerUser>(&action)) reply_ = answer->reply;
    if (const auto* answer = std::get_if<AnswerAdmin>(&action)) overview_ = answer->body;
    if (const auto* line = std::get_if<LogLine>(&action))
      if (line->level == LogLevel::error) errors_.push_back(line->text);
  }

  /// The reply to a user's poll of a job. Waits up to 2 s for it; default-constructed if there is none.
  UserReply poll(const std::string& job) {
    reply_.reset();
    controller_.on_poll(++requests_, job);
    perform_all();
    for (int i = 0; i < 100 && !reply_; ++i) step();
    return reply_.value_or(UserReply{});
  }

  /// The values of one field in all entries of an administrators' overview.
  std::set<std::string> listed(AdminRequest::Kind what, const char* field) {
    controller_.on_admin(++requests_, {what, {}});
    perform_all();
    std::set<std::string> out;
    for (const json& entry : overview_) out.insert(text(entry, field));
    return out;
  }

  Micros now_ = seconds(1000);
  sim::SimulatedKeyValueStore state_{settings()};
  Controller controller_{settings(), "new-incarnation", 1};
  std::uint64_t requests_ = 0;
  std::optional<UserReply> reply_;
  json overview_;
  std::vector<std::string> errors_;
};

/// The job id in the key of a record.
std::string job_of(const json& entry) {
  const std::string key = text(entry, "key");
  return key.substr(key.find('/') + 1);
}

/// Adds the indices of the tasks whose bits are set. The lowest bit of the first digit stands for the first
/// task.
void add_tasks_of_bitmap(const std::string& hex, std::set<std::size_t>& tasks) {
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const int digit = std::stoi(hex.substr(i, 1), nullptr, 16);
    for (std::size_t bit = 0; bit < 4; ++bit)
      if ((digit >> bit & 1) != 0) tasks.insert(4 * i + bit);
  }
}

/// The number of finished tasks of a job whose tasks fit in one chunk. Counts a task once, even if the done
/// records of several shards contain it.
std::size_t recorded_finished_tasks(const std::string& job) {
  std::set<std::size_t> tasks;
  for (const json& entry : recorded_rows("done/"))
    for (const json& bitmap : entry.at("value"))
      if (bitmap.at(0) == job) add_tasks_of_bitmap(bitmap.at(2).get<std::string>(), tasks);
  return tasks.size();
}

TEST_F(ShardTakeover, LogsNoError) { EXPECT_EQ(errors_, std::vector<std::string>{}); }

TEST_F(ShardTakeover, PollsFindEveryLiveJob) {
  for (const json& entry : recorded_rows("live/")) {
    const UserReply reply = poll(job_of(entry));
    EXPECT_EQ(reply.status, 200) << job_of(entry);
    EXPECT_FALSE(is_final(reply.phase)) << job_of(entry);
  }
}

TEST_F(ShardTakeover, LoadsEveryLiveJob) {
  const std::set<std::string> jobs = listed(AdminRequest::Kind::jobs, "job");
  for (const json& entry : recorded_rows("live/")) EXPECT_TRUE(jobs.contains(job_of(entry))) << job_of(entry);
}

TEST_F(ShardTakeover, LoadsFinishedTasks) {
  std::size_t total_finished = 0;
  for (const json& entry : recorded_rows("live/")) {
    const std::size_t finished = recorded_finished_tasks(job_of(entry));
    EXPECT_EQ(poll(job_of(entry)).done, finished) << job_of(entry);
    total_finished += finished;
  }
  EXPECT_GT(total_finished, 0u);
}

TEST_F(ShardTakeover, PreservesFinalStates) {
  for (const json& entry : recorded_rows("job/")) {
    const UserReply reply = poll(job_of(entry));
    EXPECT_EQ(reply.status, 200) << job_of(entry);
    EXPECT_TRUE(is_final(reply.phase)) << job_of(entry);
    EXPECT_EQ(static_cast<int>(reply.phase), entry.at("value").at("phase").get<int>()) << job_of(entry);
  }
}

TEST_F(ShardTakeover, LoadsEveryOwnedMachine) {
  const std::set<std::string> machines = listed(AdminRequest::Kind::machines, "machine");
  for (const json& entry : recorded_rows("claim/")) {
    if (!entry.at("value").is_array()) continue;
    for (const json& machine : entry.at("value"))
      EXPECT_TRUE(machines.contains(machine.at(0).get<std::string>())) << machine;
  }
}

TEST_F(ShardTakeover, UnknownJobIsNotFound) { EXPECT_EQ(poll("run-999999999").status, 404); }

}  // namespace
}  // namespace bendtide::recorded
