#include "wire/worker_protocol.h"

#include <charconv>

#include "wire/names.h"
#include "wire/user_protocol.h"

namespace bendtide::wire {

using nlohmann::json;
using namespace names;

namespace {

const EnumNames<TaskPhase> kTaskPhases = {{"pulling", TaskPhase::fetching},
                                          {"running", TaskPhase::running},
                                          {"flushing", TaskPhase::saving},
                                          {"ended", TaskPhase::exited}};
const EnumNames<ExitCause> kCauses = {
    {"done", ExitCause::done},    {"halted", ExitCause::stopped},
    {"error", ExitCause::failed}, {"full", ExitCause::insufficient_resources},
    {"in_use", ExitCause::busy},  {"unknown", ExitCause::unknown}};
const EnumNames<Command::Kind> kVerbs = {
    {"run", Command::Kind::start}, {"kill", Command::Kind::stop}, {"clear", Command::Kind::forget}};

/// Returns the name of a task: the id of its job, a slash, and its index in the job.
std::string task_name(const TaskId& task) { return task.job + "/" + std::to_string(task.index); }

TaskId read_task_id(const ObjectReader& reader, const char* field) {
  const std::string text = reader.name(field);
  const auto slash = text.find('/');
  if (slash == std::string::npos || !is_job_id(std::string_view(text).substr(0, slash)))
    throw FieldError{field, "not a task"};
  TaskId task;
  task.job = text.substr(0, slash);
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + slash + 1, end, task.index);
  if (error != std::errc{} || rest != end) throw FieldError{field, "not a task"};
  return task;
}

TaskStatus read_task_status(const ObjectReader& reader) {
  TaskStatus status;
  status.task = read_task_id(reader, kTask);
  status.attempt = reader.count(kAttempt);
  status.phase = reader.one_of(kPhase, kTaskPhases);
  if (status.phase == TaskPhase::exited) status.cause = reader.one_of(kCause, kCauses);
  return status;
}

Heartbeat read_heartbeat(const ObjectReader& reader) {
  Heartbeat heartbeat;
  heartbeat.machine = reader.name(kMachine);
  heartbeat.address = reader.name(kAddress);
  heartbeat.type = reader.name(kMachineType);
  heartbeat.zone = reader.name(kZone);
  heartbeat.spot = reader.flag_or(kSpot, false);
  heartbeat.incarnation = reader.count(kIncarnation);
  heartbeat.sequence_number = reader.count(kSequenceNumber);
  heartbeat.fencing_token = reader.count(kFencingToken);
  heartbeat.preemption_notice = reader.optional_duration(kPreemptionNotice);
  for (const json& task : reader.list(kTasks))
    heartbeat.tasks.push_back(read_task_status(ObjectReader(task)));
  return heartbeat;
}

json to_json(const std::vector<Command>& commands) {
  json list = json::array();
  for (const Command& command : commands) {
    json entry = {{kVerb, name_of(command.kind, kVerbs)},
                  {kTask, task_name(command.task)},
                  {kAttempt, command.attempt}};
    if (command.kind == Command::Kind::stop) entry[kGracePeriod] = in_seconds(command.grace);
    list.push_back(std::move(entry));
  }
  return list;
}

json to_json(const TaskStatus& status) {
  json entry = {{kTask, task_name(status.task)},
                {kAttempt, status.attempt},
                {kPhase, name_of(status.phase, kTaskPhases)}};
  if (status.phase == TaskPhase::exited) entry[kCause] = name_of(status.cause, kCauses);
  return entry;
}

}  // namespace

Parsed<Heartbeat> parse_heartbeat(std::string_view body) {
  return parse_with<Heartbeat>([&] {
    const json value = parse_json(body);
    return read_heartbeat(ObjectReader(value));
  });
}

std::string body_of(const Heartbeat& heartbeat) {
  json tasks = json::array();
  for (const TaskStatus& status : heartbeat.tasks) tasks.push_back(to_json(status));
  json value = {{kMachine, heartbeat.machine},
                {kAddress, heartbeat.address},
                {kMachineType, heartbeat.type},
                {kZone, heartbeat.zone},
                {kSpot, heartbeat.spot},
                {kIncarnation, heartbeat.incarnation},
                {kSequenceNumber, heartbeat.sequence_number},
                {kFencingToken, heartbeat.fencing_token.value()},
                {kTasks, std::move(tasks)}};
  if (heartbeat.preemption_notice) value[kPreemptionNotice] = in_seconds(*heartbeat.preemption_notice);
  return value.dump();
}

std::string body_of(const HeartbeatReply& reply) {
  if (reply.status == 200)
    return json{{kFencingToken, reply.fencing_token.value()}, {kCommands, to_json(reply.commands)}}.dump();
  if (!reply.redirect.empty()) return json{{kRedirect, reply.redirect}}.dump();
  return "{}";
}

HttpRequest request_of(const CommandRequest& request) {
  const json body = {{kFencingToken, request.fencing_token.value()},
                     {kIncarnation, request.incarnation},
                     {kCommands, to_json(request.commands)}};
  return {"POST", kCommandsPath, body.dump()};
}

CommandResponse parse_command_response(int status, std::string_view body) {
  CommandResponse response;
  if (status == 409 || status == 400) response.outcome = CommandResponse::Outcome::refused;
  auto parsed = parse_heartbeat(body);
  if (auto* heartbeat = std::get_if<Heartbeat>(&parsed)) {
    response.heartbeat = std::move(*heartbeat);
    if (status == 200) response.outcome = CommandResponse::Outcome::executed;
  }
  return response;
}

}  // namespace bendtide::wire
