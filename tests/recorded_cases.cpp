#include "recorded_cases.h"

#include <limits>
#include <set>

#include "codec/codec.h"
#include "core/model/policy.h"
#include "core/model/records.h"
#include "recorded_values.h"

namespace bendtide::recorded {

namespace {

constexpr auto kMin64 = std::numeric_limits<std::int64_t>::min();
constexpr auto kMax64 = std::numeric_limits<std::int64_t>::max();

records::LiveJob live_job(const JobSpec& spec) { return {"node-1", spec, Micros{1'000'012'345'678}}; }

/// The finished tasks of one chunk with `tasks` tasks, of which every `step`th is finished.
records::DoneBits done_chunk(const std::string& job, std::uint32_t chunk, std::size_t tasks,
                             std::size_t step) {
  records::DoneBits out{job, chunk, std::vector<bool>(tasks)};
  for (std::size_t i = 0; i < tasks; i += step) out.bits[i] = true;
  return out;
}

std::vector<StoredRecord> lease_and_quota_records() {
  using namespace records;
  QuotaAllocation quota_shares;
  quota_shares.quota_shares = {
      {"blue", {16000, 0}}, {"green", {-1, 2500}}, {"vast", {kNoLimit.cpu, kNoLimit.gpu}}};
  return {
      {"hold", lease_key("node-0"), to_json(LeaseRecord{"node-0", "life-1"}).dump()},
      {"hold by another host", lease_key("node-0"), to_json(LeaseRecord{"node-2", ""}).dump()},
      {"hold of a leader that accepts returned tasks", lease_key("node-0"),
       to_json(LeaseRecord{"node-0", "life-1", true}).dump()},
      {"room", quota_key("node-0"), to_json(quota_shares).dump()},
      {"room without teams", quota_key("node-1"), to_json(QuotaAllocation{}).dump()},
  };
}

std::vector<StoredRecord> job_records() {
  using namespace records;
  std::vector<StoredRecord> out;
  for (const auto& [name, phase] : job_phases())
    out.push_back({"job " + name, final_job_key("run-7"), to_json(FinalJob{phase, 300}).dump()});
  out.push_back(
      {"job of most tasks", final_job_key("run-8"), to_json(FinalJob{JobPhase::done, UINT32_MAX}).dump()});
  for (const auto& [name, spec] : job_specs())
    out.push_back({"live " + name, live_key(spec.id), to_json(live_job(spec)).dump()});
  const JobSpec spec = job_specs().front().second;
  const Award one{"node-1", {{0, 1}}, live_job(spec)};
  const Award many{"node-1", {{0, 4}, {17, 1}, {99'990, 10}}, live_job(spec)};
  const Award none{"node-1", {}, live_job(spec)};
  out.push_back({"award", award_key("node-0", spec.id, 1), to_json(one).dump()});
  out.push_back({"award of several ranges", award_key("node-0", spec.id, 4711), to_json(many).dump()});
  out.push_back({"award of nothing", award_key("node-0", spec.id, UINT64_MAX), to_json(none).dump()});
  return out;
}

std::vector<StoredRecord> done_records() {
  using namespace records;
  auto record = [](const char* name, std::uint32_t slot, const std::vector<DoneBits>& done) {
    return StoredRecord{name, done_key("node-0", slot), to_json(done).dump()};
  };
  return {
      record("done nothing", 0, {}),
      record("done one task", 1, {done_chunk("run-1", 0, 1, 1)}),
      record("done no task", 2, {{"run-1", 0, std::vector<bool>(8)}}),
      record("done bits that fill no digit", 3, {done_chunk("run-1", 0, 7, 3)}),
      record("done every digit", 4,
             {{"run-1", 0,
               std::vector<bool>{false, false, false, true, true, false, true, true, true, true, true, true,
                                 false, true, false, true}}}),
      record("done several chunks", 5,
             {done_chunk("run-1", 0, kTasksPerChunk, 1), done_chunk("run-1", 1, kTasksPerChunk, 5),
              done_chunk("run-1", 24, 1696, 2)}),
      record("done of several jobs", 6, {done_chunk("run-1", 0, 12, 2), done_chunk("run-23", 3, 9, 4)}),
  };
}

std::vector<StoredRecord> machine_and_policy_records() {
  using namespace records;
  const std::vector<OwnedMachine> two{
      {"n-000001", "small", "east", false, "10.0.0.1:9000", Micros{1'000'000'000'000}},
      {"n-000002", "large", "west", true, "", Micros{0}}};
  Policy changed;
  changed.idle_return_s = 1;
  changed.silence_reports = 1.5;
  changed.call_again_s = 600;
  changed.close_bids = 0;
  changed.call_rounds = 1;
  changed.spot_machines = false;
  return {
      {"claim", ownership_key("node-0", 0), to_json(two).dump()},
      {"claim of nothing", ownership_key("node-0", 12), to_json(std::vector<OwnedMachine>{}).dump()},
      {"claim of a machine of this home", home_shard_key("node-0"), Value("node-2").dump()},
      {"catalogue", kCatalogueKey, to_json(machine_types()).dump()},
      {"catalogue without types", kCatalogueKey, to_json(std::vector<MachineType>{}).dump()},
      {"policy", kPolicyKey, Policy::to_json({}).dump()},
      {"policy changed in every field", kPolicyKey, Policy::to_json(changed).dump()},
  };
}

// ---- round trips of records ----------------------------------------------------------------------

template <class Record>
std::optional<std::string> serialize(const records::ReadResult<Record>& record) {
  if (!record) return std::nullopt;
  return records::to_json(*record).dump();
}

std::optional<std::string> round_trip_policy(const Value& value) {
  Policy policy;
  if (policy.apply(value)) return std::nullopt;
  return Policy::to_json(policy).dump();
}

std::optional<std::string> round_trip_owned_machines(const std::string& key, const Value& value) {
  if (records::split_key(key).at(1) != records::kHomeShardSegment)
    return serialize(records::read_owned_machines(value));
  if (!value.is_string()) return std::nullopt;
  return Value(value.get<std::string>()).dump();
}

// ---- messages between controllers ----------------------------------------------------------------

using NamedMessages = std::vector<std::pair<std::string, PeerMessage>>;

NamedMessages job_messages() {
  NamedMessages out = {{"poll", JobQuery{0, JobQuery::Kind::poll, "run-1", false, {}}},
                       {"poll worth a read", JobQuery{1, JobQuery::Kind::poll, "run-1", true, {}}},
                       {"cancel", JobQuery{UINT64_MAX, JobQuery::Kind::cancel, "run-22", false, {}}}};
  for (const auto& [name, spec] : job_specs())
    out.emplace_back("submit " + name, JobQuery{7, JobQuery::Kind::submit, spec.id, false, spec});
  for (const auto& [name, phase] : job_phases())
    out.emplace_back("reply " + name, JobReply{7, 200, phase, 127, 128});
  out.emplace_back("reply extremes", JobReply{UINT64_MAX, UINT32_MAX, JobPhase::done, UINT64_MAX, 1u << 14u});
  out.emplace_back("reply default", JobReply{});
  out.emplace_back("ended", JobEndNotice{"run-1"});
  return out;
}

NamedMessages negotiation_messages() {
  CallForProposals call;
  call.id = 4711;
  call.from_shard = "node-0";
  call.job = "run-1";
  call.team = "blue";
  call.tasks = 100'000;
  call.task_resources = {2500, 1000, 64'000'000};
  call.types = {"small", "large"};
  call.zone = "east";
  call.spot = true;
  call.image = "registry/image:1";
  call.spare_quota = {-5, 0};
  NamedMessages out = {{"call default", CallForProposals{}}, {"call", call}};
  call.id = UINT64_MAX;
  call.round = 3;
  call.disclosed = true;
  call.task_resources = {kMax64, kMin64, 0};
  for (const auto& [name, priority] : priorities()) {
    call.priority = priority;
    call.time_to_deadline = call.time_to_deadline == Micros{0} ? seconds(-3) : Micros{kMax64};
    out.emplace_back("call disclosed " + name, call);
  }
  out.emplace_back("proposal", Proposal{9, 3, "node-1", 12, seconds(2), 730, 4711, {8000, 0}});
  out.emplace_back("proposal refused", Proposal{9, 1, "node-1", 0, {}, 0, 0, {}});
  out.emplace_back(
      "proposal extremes",
      Proposal{
          UINT64_MAX, UINT32_MAX, "", UINT32_MAX, Micros{kMin64}, UINT32_MAX, UINT64_MAX, {kMin64, kMax64}});
  out.emplace_back("awarded", AwardNotice{"node-1"});
  out.emplace_back("progress", ProgressNotice{"node-0"});
  out.emplace_back("lend", QuotaTransferRequest{"node-0", "node-1", "green", {1, 2}, seconds(3)});
  out.emplace_back("lend extremes", QuotaTransferRequest{"", "", "", {kMax64, kMin64}, Micros{kMax64}});
  return out;
}

NamedMessages leader_messages() {
  UnreachableMachine machine{"n-1", seconds(3), seconds(4), {}};
  for (const auto& [name, phase] : task_phases())
    machine.tasks.push_back({{"run-" + std::to_string(machine.tasks.size()), UINT32_MAX},
                             UINT64_MAX - machine.tasks.size(),
                             phase,
                             ExitCause::none});
  const UnreachableMachine idle{"n-2", Micros{kMin64}, Micros{kMax64}, {}};
  return {{"hand back", FailbackRequest{"node-2"}},
          {"hand back a part with a long name", FailbackRequest{std::string(300, 'p')}},
          {"hand back a part with other letters", FailbackRequest{"n\xC3\xB8"
                                                                  "de\n"}},
          {"scarce", CapacityExhausted{"large", "east", true}},
          {"scarce default", CapacityExhausted{}},
          {"wellbeing", PeerHealth{true, 3}},
          {"wellbeing extremes", PeerHealth{false, UINT32_MAX}},
          {"resign", LeaseTransfer{"node-1", 4711, false, {}}},
          {"resign with silent machines", LeaseTransfer{"node-1", UINT64_MAX, true, {machine, idle}}}};
}

}  // namespace

std::vector<StoredRecord> stored_records() {
  std::vector<StoredRecord> out;
  for (const auto& kind :
       {lease_and_quota_records(), job_records(), done_records(), machine_and_policy_records()})
    out.insert(out.end(), kind.begin(), kind.end());
  return out;
}

std::vector<StoredRecord> unreadable_records() {
  return {
      {"hold without its process", "hold/node-0", R"({"host":"node-0"})"},
      {"room of words", "room/node-0", R"({"shares":{"blue":["a","b"]}})"},
      {"job in an unknown phase", "job/run-1", R"({"phase":4,"tasks":1})"},
      {"job without tasks", "job/run-1", R"({"phase":2})"},
      {"live without a job", "live/run-1", R"({"accepted":1,"part":"node-0"})"},
      {"award without ranges", "award/node-0/run-1/1", R"({"owner":"node-1"})"},
      {"done with a digit too large", "done/node-0/0", R"([["run-1",0,"0g"]])"},
      {"done in capitals", "done/node-0/0", R"([["run-1",0,"0F"]])"},
      {"claim without a time", "claim/node-0/0", R"([["n-1","small","east",false,""]])"},
      {"claim of a number", "claim/-/node-0", "7"},
      {"catalogue without sizes", "catalogue", R"([{"name":"small"}])"},
      {"policy with an unknown field", "policy", R"({"unknown":1})"},
      {"policy out of range", "policy", R"({"call_rounds":4})"},
      {"a key of no record", "other/node-0", "{}"},
  };
}

std::optional<std::string> round_trip_record(const std::string& key, const std::string& value) {
  const Value v = Value::parse(value);
  const std::string kind = records::split_key(key).front();
  if (kind == "hold") return serialize(records::read_lease_record(v));
  if (kind == "room") return serialize(records::read_quota_allocation(v));
  if (kind == "job") return serialize(records::read_final_job(v));
  if (kind == "live") return serialize(records::read_live_job(v));
  if (kind == "award") return serialize(records::read_award(v));
  if (kind == "done") return serialize(records::read_done_bits(v));
  if (kind == "claim") return round_trip_owned_machines(key, v);
  if (kind == "catalogue") return serialize(records::read_catalogue(v));
  if (kind == "policy") return round_trip_policy(v);
  return std::nullopt;
}

std::vector<SentMessage> peer_frames() {
  std::vector<SentMessage> out;
  for (const auto& kind : {job_messages(), negotiation_messages(), leader_messages()})
    for (const auto& [name, message] : kind) out.push_back({name, codec::encode({"node-0", message})});
  out.push_back({"frame of a nameless sender", codec::encode({"", AwardNotice{}})});
  return out;
}

std::size_t peer_message_kinds() { return std::variant_size_v<PeerMessage>; }

std::size_t peer_message_kinds(const std::vector<SentMessage>& frames) {
  std::set<std::size_t> kinds;
  for (const SentMessage& frame : frames) kinds.insert(codec::decode(frame.bytes).envelope.message.index());
  return kinds.size();
}

std::optional<std::string> round_trip_frame(const std::string& frame) {
  const codec::Decoded decoded = codec::decode(frame);
  if (decoded.state != codec::Decoded::State::complete || decoded.consumed != frame.size())
    return std::nullopt;
  return codec::encode(decoded.envelope);
}

std::string to_hex(const std::string& bytes) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string out;
  for (char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    out += digits[byte >> 4];
    out += digits[byte & 15];
  }
  return out;
}

std::string from_hex(const std::string& hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return out;
}

}  // namespace bendtide::recorded
