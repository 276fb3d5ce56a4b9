#include "wire/user_protocol.h"

#include "wire/names.h"

namespace bendtide::wire {

using nlohmann::json;
using namespace names;

namespace {

constexpr std::uint64_t kMaxTasks = 100'000;
constexpr std::size_t kMaxMachineTypes = 256;
constexpr std::size_t kMaxJobIdBytes = 64;

const EnumNames<Shape> kShapes = {{"sweep", Shape::array}, {"daemon", Shape::service}};
const EnumNames<Priority> kPriorities = {{"prod", Priority::production},
                                         {"high", Priority::high},
                                         {"normal", Priority::normal},
                                         {"idle", Priority::low}};
const EnumNames<JobPhase> kJobPhases = {{"pending", JobPhase::pending},
                                        {"running", JobPhase::running},
                                        {"done", JobPhase::done},
                                        {"cancelled", JobPhase::cancelled}};

std::string read_job_id(const ObjectReader& reader) {
  std::string id = reader.name(kUid);
  if (!is_job_id(id)) throw FieldError{kUid, "not a job id"};
  return id;
}

std::uint32_t read_task_count(const ObjectReader& reader) {
  const std::uint64_t tasks = reader.count(kTasks);
  if (tasks < 1 || tasks > kMaxTasks) throw FieldError{kTasks, "out of range"};
  return static_cast<std::uint32_t>(tasks);
}

Resources read_task_resources(const ObjectReader& reader) {
  const Resources each = reader.resources(Rounding::up);
  if (each.cpu <= 0) throw FieldError{kCpus, "out of range"};
  return each;
}

/// Returns the machine types that the job may run on; empty if the field is missing, which allows all types.
std::vector<std::string> read_machine_types(const ObjectReader& reader) {
  const json* names = reader.find(kMachineTypes);
  if (names == nullptr) return {};
  if (!names->is_array() || names->size() > kMaxMachineTypes)
    throw FieldError{kMachineTypes, "must be a list of names"};
  std::vector<std::string> types;
  for (const json& name : *names) {
    if (!name.is_string() || name.get_ref<const std::string&>().size() > kMaxNameBytes)
      throw FieldError{kMachineTypes, "must be a list of names"};
    types.push_back(name.get<std::string>());
  }
  if (types.empty()) throw FieldError{kMachineTypes, "empty"};
  return types;
}

JobSpec read_job_spec(const ObjectReader& reader) {
  JobSpec spec;
  spec.id = read_job_id(reader);
  spec.job_class = reader.name(kJobClass);
  spec.team = reader.name(kTeam);
  spec.shape = reader.one_of(kShape, kShapes);
  spec.priority = reader.one_of(kPriority, kPriorities);
  spec.tasks = read_task_count(reader);
  spec.task_resources = read_task_resources(reader);
  spec.types = read_machine_types(reader);
  spec.zone = reader.optional_name(kZone);
  spec.one_zone = reader.flag_or(kOneZone, false);
  spec.spread = reader.flag_or(kSpread, false);
  spec.spot = reader.flag_or(kSpot, false);
  spec.image = reader.name(kImage);
  spec.image_gb = reader.amount(kImageGb);
  spec.estimated_task_duration = reader.duration(kEstimate);
  spec.checkpoint_interval = reader.duration(kCheckpoint);
  spec.save_duration = reader.duration(kSave);
  spec.deadline = reader.optional_duration(kDeadline);
  return spec;
}

double from_thousandths(std::int64_t amount) { return static_cast<double>(amount) / 1000.0; }

}  // namespace

bool is_job_id(std::string_view id) {
  const std::string_view prefix = kJobIdPrefix;
  if (!id.starts_with(prefix) || id.size() <= prefix.size() || id.size() > kMaxJobIdBytes) return false;
  return id.find_first_not_of("0123456789", prefix.size()) == std::string_view::npos;
}

Parsed<JobSpec> parse_job_spec(std::string_view body) {
  return parse_with<JobSpec>([&] {
    const json value = parse_json(body);
    return read_job_spec(ObjectReader(value));
  });
}

std::string find_job_id(std::string_view body) {
  auto parsed = parse_with<std::string>([&] {
    const json value = parse_json(body);
    return read_job_id(ObjectReader(value));
  });
  auto* id = std::get_if<std::string>(&parsed);
  return id == nullptr ? std::string{} : std::move(*id);
}

std::string body_of(const UserReply& reply) {
  if (reply.status != 200 && reply.status != 201) return json{{kError, reply.error}}.dump();
  const json value = {{kUid, reply.id},
                      {kPhase, name_of(reply.phase, kJobPhases)},
                      {kDone, reply.done},
                      {kRunning, reply.running}};
  return value.dump();
}

std::string body_of(const JobSpec& spec) {
  const json value = {{kUid, spec.id},
                      {kJobClass, spec.job_class},
                      {kTeam, spec.team},
                      {kShape, name_of(spec.shape, kShapes)},
                      {kPriority, name_of(spec.priority, kPriorities)},
                      {kTasks, spec.tasks},
                      {kCpus, from_thousandths(spec.task_resources.cpu)},
                      {kGpus, from_thousandths(spec.task_resources.gpu)},
                      {kMemory, from_thousandths(spec.task_resources.memory)},
                      {kImage, spec.image},
                      {kImageGb, spec.image_gb},
                      {kMachineTypes, spec.types.empty() ? json() : json(spec.types)},
                      {kZone, spec.zone ? json(*spec.zone) : json()},
                      {kOneZone, spec.one_zone},
                      {kSpread, spec.spread},
                      {kSpot, spec.spot},
                      {kEstimate, in_seconds(spec.estimated_task_duration)},
                      {kCheckpoint, in_seconds(spec.checkpoint_interval)},
                      {kSave, in_seconds(spec.save_duration)},
                      {kDeadline, spec.deadline ? json(in_seconds(*spec.deadline)) : json()}};
  return value.dump();
}

}  // namespace bendtide::wire
