#include "sim/simulated_worker.h"

#include <nlohmann/json.hpp>

#include "wire/names.h"
#include "wire/worker_protocol.h"

namespace bendtide::sim {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr Micros kHeartbeatRetryDelay = seconds(1);
constexpr Micros kMinHeartbeatInterval = millis(500);

}  // namespace

SimulatedWorker::SimulatedWorker(SimulatedCloud::Machine& machine, const MachineType& type,
                                 const Settings& settings, Hooks hooks, Micros now)
    : machine_(machine), type_(type), settings_(settings), hooks_(std::move(hooks)), lease_renewed_at_(now) {}

void SimulatedWorker::report_task_end(const Key& key, const LocalTask& task) const {
  if (task.phase == TaskPhase::running || task.phase == TaskPhase::saving)
    hooks_.checker->task_ended(key.first, machine_.name);
}

Resources SimulatedWorker::free() const {
  Resources left = type_.size;
  for (const auto& [key, task] : tasks_)
    if (task.phase != TaskPhase::exited) left -= hooks_.job(key.first.job)->task_resources;
  return left;
}

std::size_t SimulatedWorker::active_tasks() const {
  return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& entry) {
    return entry.second.phase != TaskPhase::exited;
  }));
}

void SimulatedWorker::stop() {
  for (const auto& [key, task] : tasks_) report_task_end(key, task);
  tasks_.clear();
}

void SimulatedWorker::begin_incarnation(Micros now) {
  stop();
  ++incarnation_;
  lease_renewed_at_ = now;
  changed_since_heartbeat_ = true;
}

// ---- running tasks ------------------------------------------------------------------------------

void SimulatedWorker::advance(Micros now) {
  if (machine_.dead) return;
  if (now - lease_renewed_at_ > settings_.worker_lease) begin_incarnation(now);
  // The lease of a hanging machine still expires. Nothing else happens on the machine.
  if (hanging) return;
  for (auto& [key, task] : tasks_)
    if (task.phase != TaskPhase::exited && now >= task.phase_ends_at) end_phase(key, task, now);
}

void SimulatedWorker::end_phase(const Key& key, LocalTask& task, Micros now) {
  changed_since_heartbeat_ = true;
  if (task.phase == TaskPhase::fetching) return begin_running(key, task, now);
  hooks_.checker->task_ended(key.first, machine_.name);
  const bool done = task.phase == TaskPhase::running;
  if (done) hooks_.checker->task_completed(key.first);
  task = {TaskPhase::exited, done ? ExitCause::done : ExitCause::stopped, now};
}

void SimulatedWorker::begin_running(const Key& key, LocalTask& task, Micros now) {
  cached_images_.insert(hooks_.job(key.first.job)->image);
  task.phase = TaskPhase::running;
  // Results are kept: a task that has already completed is done immediately if it is started again.
  task.phase_ends_at = hooks_.checker->is_completed(key.first) ? now : now + hooks_.run_time(key.first);
  hooks_.checker->task_started(key.first, machine_.name, machine_.type, machine_.zone, machine_.spot, now);
  if (!fails_tasks) return;
  hooks_.checker->task_ended(key.first, machine_.name);
  task = {TaskPhase::exited, ExitCause::failed, now};
  ++failed_tasks;
}

// ---- heartbeats ---------------------------------------------------------------------------------

Heartbeat SimulatedWorker::status() {
  Heartbeat heartbeat;
  heartbeat.machine = machine_.name;
  heartbeat.address = machine_.address;
  heartbeat.type = machine_.type;
  heartbeat.zone = machine_.zone;
  heartbeat.spot = machine_.spot;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence_number = ++sequence_number_;
  heartbeat.fencing_token = token_;
  for (const auto& [key, task] : tasks_)
    heartbeat.tasks.push_back({key.first, key.second, task.phase, task.cause});
  return heartbeat;
}

bool SimulatedWorker::heartbeat_due(Micros now) const {
  if (hanging || machine_.dead || heartbeat_in_flight_ || now < retry_at_) return false;
  const Micros pause = now - heartbeat_began_at_;
  return pause >= settings_.heartbeat_interval ||
         (changed_since_heartbeat_ && pause >= kMinHeartbeatInterval);
}

std::string SimulatedWorker::begin_heartbeat(Micros now) {
  heartbeat_in_flight_ = true;
  changed_since_heartbeat_ = false;
  heartbeat_began_at_ = now;
  incarnation_at_heartbeat_ = incarnation_;
  ++heartbeat_number_;
  return wire::body_of(status());
}

void SimulatedWorker::on_heartbeat_failure(Micros now) {
  heartbeat_in_flight_ = false;
  target_controller.clear();
  retry_at_ = now + kHeartbeatRetryDelay;
}

void SimulatedWorker::on_heartbeat_response(int status, const std::string& body, Micros now) {
  if (status != 200) {
    on_heartbeat_failure(now);
    if (status != 421) return;
    const json answer = json::parse(body);
    if (answer.contains(kRedirect)) {
      target_controller = answer.at(kRedirect).get<std::string>();
      retry_at_ = now;
      changed_since_heartbeat_ = true;
    }
    return;
  }
  heartbeat_in_flight_ = false;
  if (incarnation_at_heartbeat_ != incarnation_) return;
  const json answer = json::parse(body);
  const auto token = answer.value(kFencingToken, std::uint64_t{0});
  if (token < token_) return;
  if (token > token_) changed_since_heartbeat_ = true;
  token_ = token;
  lease_renewed_at_ = std::max(lease_renewed_at_, heartbeat_began_at_);
  execute(answer.at(kCommands), now);
}

// ---- commands -----------------------------------------------------------------------------------

Response SimulatedWorker::handle_commands(const std::string& body, Micros now) {
  const json request = json::parse(body);
  const auto token = request.at(kFencingToken).get<std::uint64_t>();
  if (token < token_ || request.at(kIncarnation).get<std::uint64_t>() != incarnation_)
    return {409, wire::body_of(status())};
  if (token > token_) changed_since_heartbeat_ = true;
  token_ = token;
  execute(request.at(kCommands), now);
  return {200, wire::body_of(status())};
}

void SimulatedWorker::execute(const json& commands, Micros now) {
  for (const json& command : commands) {
    const auto name = command.at(kTask).get<std::string>();
    const auto slash = name.find('/');
    const Key key{{name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))},
                  command.at(kAttempt).get<std::uint64_t>()};
    const auto verb = command.at(kVerb).get<std::string>();
    const auto task = tasks_.find(key);
    if (verb == "run") {
      if (task == tasks_.end()) execute_start(key, now);
    } else if (task == tasks_.end()) {
      continue;
    } else if (verb == "clear") {
      if (task->second.phase == TaskPhase::exited) tasks_.erase(task);
    } else if (task->second.phase != TaskPhase::exited) {
      execute_stop(key, task->second, seconds(command.at(kGracePeriod).get<double>()), now);
    }
    changed_since_heartbeat_ = true;
  }
}

void SimulatedWorker::execute_start(const Key& key, Micros now) { tasks_[key] = admit(key.first, now); }

SimulatedWorker::LocalTask SimulatedWorker::admit(const TaskId& task, Micros now) const {
  const JobSpec* job = hooks_.job(task.job);
  if (job == nullptr || task.index >= job->tasks) return {TaskPhase::exited, ExitCause::unknown, now};
  Resources used;
  bool already_present = false;
  for (const auto& [key, other] : tasks_) {
    if (other.phase == TaskPhase::exited) continue;
    used += hooks_.job(key.first.job)->task_resources;
    already_present |= key.first == task;
  }
  if (already_present) return {TaskPhase::exited, ExitCause::busy, now};
  if (!(used + job->task_resources).fits_in(type_.size))
    return {TaskPhase::exited, ExitCause::insufficient_resources, now};
  const bool cached = cached_images_.contains(job->image);
  const Micros fetch_time = cached ? Micros{0} : seconds(job->image_gb / type_.fetch_gb_per_s);
  return {TaskPhase::fetching, ExitCause::none, now + fetch_time};
}

void SimulatedWorker::execute_stop(const Key& key, LocalTask& task, Micros grace, Micros now) {
  const JobSpec* job = hooks_.job(key.first.job);
  const bool can_save =
      task.phase == TaskPhase::running && job->checkpoint_interval.count() > 0 && grace >= job->save_duration;
  if (can_save) {
    task.phase = TaskPhase::saving;
    task.phase_ends_at = now + job->save_duration;
  } else if (task.phase != TaskPhase::saving || grace == Micros{0}) {
    report_task_end(key, task);
    task = {TaskPhase::exited, ExitCause::stopped, now};
  }
}

}  // namespace bendtide::sim
