#include "worker_fleet.h"

#include <nlohmann/json.hpp>

#include "wire/names.h"

namespace bendtide::lab {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr Micros kPollInterval = millis(20);
constexpr Micros kHeartbeatTimeout = Settings::kHeartbeatTimeout;
constexpr Micros kUnreachableDelay = seconds(3);  ///< longer than any controller waits for a response
constexpr int kAddressesPerBlock = 250;
constexpr int kMachinesAtStart = 6;
constexpr std::uint64_t kPlantedTokenOffset = 1'000'000;  ///< exceeds all fencing tokens of the controllers
constexpr double kDelayedCommandShare = 0.2;
constexpr double kDuplicatedHeartbeatShare = 0.3;

std::vector<MachineType> machine_types() {
  const MachineType small{"small", {8000, 0, 64000}, 50, 4, 0.5, 0.12, seconds(2), {"east", "west"}};
  const MachineType large{"large", {16000, 0, 64000}, 50, 4, 0.8, 0.2, seconds(3), {"east", "west"}};
  return {small, large};
}

}  // namespace

WorkerFleet::WorkerFleet(Laboratory& lab)
    : lab_(lab),
      cloud_(machine_types(), lab.plan.max_machines,
             [this](sim::SimulatedCloud::Machine& m) { start_machine(m); }),
      cloud_server_(lab.loop, lab.address(Laboratory::cloud_port()),
                    [this](http::Message request) { return serve_cloud(std::move(request)); }) {}

void WorkerFleet::start() {
  lab_.loop.spawn(cloud_server_.run());
  for (int i = 0; i < kMachinesAtStart; ++i)
    cloud_.add("small", i % 2 == 0 ? "east" : "west", false, lab_.now());
}

void WorkerFleet::start_machine(sim::SimulatedCloud::Machine& machine) {
  // Addresses are never reused, so that a late message can't reach another machine.
  const int number = next_address_++;
  machine.address = "127.1." + std::to_string(number / kAddressesPerBlock) + "." +
                    std::to_string(number % kAddressesPerBlock + 1) + ":" +
                    std::to_string(lab_.plan.base_port + Laboratory::worker_port());
  lab_.loop.spawn(boot(machine.name));
}

io::Task<> WorkerFleet::boot(std::string machine) {
  co_await lab_.loop.sleep(lab_.random_duration(0.5, 3));
  const auto found = cloud_.machines().find(machine);
  if (found == cloud_.machines().end() || found->second.dead) co_return;
  sim::SimulatedWorker::Hooks hooks;
  hooks.checker = &lab_.checker;
  hooks.job = [this](const std::string& id) {
    const auto spec = lab_.job_specs.find(id);
    return spec == lab_.job_specs.end() ? nullptr : &spec->second;
  };
  hooks.run_time = [this](const TaskId& task) {
    const JobSpec& spec = lab_.job_specs.at(task.job);
    return spec.shape == Shape::service ? seconds(100'000) : spec.estimated_task_duration;
  };
  found->second.worker = std::make_unique<sim::SimulatedWorker>(
      found->second, *cloud_.type(found->second.type), lab_.settings, std::move(hooks), lab_.now());
  command_servers_.push_back(std::make_unique<HttpServer>(
      lab_.loop, found->second.address,
      [this, machine](http::Message request) { return serve_commands(machine, std::move(request)); }));
  lab_.loop.spawn(command_servers_.back()->run());
  lab_.history.add(machine + ": booted");
  co_await run_worker(machine);
}

std::vector<std::string> WorkerFleet::running_machines() {
  std::vector<std::string> names;
  for (const auto& [name, machine] : cloud_.machines())
    if (machine.worker && !machine.dead) names.push_back(name);
  return names;
}

sim::SimulatedWorker* WorkerFleet::worker(const std::string& machine) {
  const auto found = cloud_.machines().find(machine);
  const bool is_up = found != cloud_.machines().end() && found->second.worker && !found->second.dead;
  return is_up ? found->second.worker.get() : nullptr;
}

void WorkerFleet::kill(const std::string& machine) {
  const auto found = cloud_.machines().find(machine);
  if (found == cloud_.machines().end() || found->second.dead) return;
  lab_.history.add(machine + ": killed");
  sim::SimulatedCloud::kill(found->second);
}

io::Task<HttpReply> WorkerFleet::serve_cloud(http::Message request) {
  const wire::HttpRequest call{request.method, request.target, request.body};
  const sim::Response response = cloud_.handle(call, lab_.now());
  co_return HttpReply{response.status, response.body};
}

// ---- direct commands -----------------------------------------------------------------------------

io::Task<HttpReply> WorkerFleet::serve_commands(std::string machine, http::Message request) {
  if (max_command_delay_ > Micros{0} && lab_.random_fraction() < kDelayedCommandShare)
    co_await lab_.loop.sleep(lab_.random_duration(0, in_seconds(max_command_delay_)));
  sim::SimulatedWorker* receiver = worker(machine);
  while (receiver != nullptr && receiver->hanging) {
    co_await lab_.loop.sleep(kPollInterval);
    receiver = worker(machine);
  }
  if (receiver == nullptr || receiver->unreachable_inbound) {
    co_await lab_.loop.sleep(kUnreachableDelay);
    co_return HttpReply{503, "{}"};
  }
  const std::string body = with_planted_defect(machine, request.body);
  const sim::Response response = receiver->handle_commands(body, lab_.now());
  if (response.status == 200) record_commands(machine, body, "direct request");
  if (response.status == 200 && lab_.plan.late_start_copies)
    lab_.late_start_copies.record(machine, body, "", "");
  co_return HttpReply{response.status, response.body};
}

void WorkerFleet::record_commands(const std::string& machine, const std::string& body, const char* channel) {
  const json message = json::parse(body, nullptr, false);
  if (!message.is_object() || !message.contains(kCommands)) return;
  for (const json& command : message.at(kCommands))
    lab_.history.add(command.at(kTask).get<std::string>() + " attempt " + command.at(kAttempt).dump() +
                     ": command " + command.at(kVerb).get<std::string>() + " delivered to " + machine +
                     " by " + channel + " with token " + message.value(kFencingToken, json(nullptr)).dump());
}

std::string WorkerFleet::with_planted_defect(const std::string& machine, const std::string& body) {
  const PlantedDefect planted = lab_.plan.planted_defect;
  const char* dropped = nullptr;  // the verb of the commands to be removed
  if (planted == PlantedDefect::keep_cancelled) dropped = "kill";
  if (planted == PlantedDefect::start_nothing) dropped = "run";
  if (dropped == nullptr && planted != PlantedDefect::start_twice) return body;
  json message = json::parse(body, nullptr, false);
  if (!message.is_object() || !message.contains(kCommands)) return body;
  json kept = json::array();
  for (const json& command : message.at(kCommands))
    if (dropped == nullptr || command.at(kVerb) != dropped) kept.push_back(command);
  message[kCommands] = kept;
  if (planted == PlantedDefect::start_twice) execute_on_another_machine(machine, message);
  return message.dump();
}

void WorkerFleet::execute_on_another_machine(const std::string& machine, const json& message) {
  for (const std::string& other : running_machines()) {
    if (other == machine) continue;
    json copy = message;
    copy[kFencingToken] = message.value(kFencingToken, std::uint64_t{0}) + kPlantedTokenOffset;
    copy[kIncarnation] = 1;
    worker(other)->handle_commands(copy.dump(), lab_.now());
    return;
  }
}

// ---- heartbeats -------------------------------------------------------------------------------------

io::Task<> WorkerFleet::run_worker(std::string machine) {
  while (sim::SimulatedWorker* self = worker(machine)) {
    self->advance(lab_.now());
    if (self->heartbeat_due(lab_.now())) lab_.loop.spawn(send_heartbeat(machine));
    co_await lab_.loop.sleep(kPollInterval);
  }
}

int WorkerFleet::target_controller(sim::SimulatedWorker& worker) {
  if (worker.target_controller.empty())
    worker.target_controller =
        Laboratory::host_name(static_cast<int>(worker.next_controller++ % kControllerCount));
  for (int i = 0; i < kControllerCount; ++i)
    if (Laboratory::host_name(i) == worker.target_controller) return i;
  return 0;
}

io::Task<> WorkerFleet::send_heartbeat(std::string machine) {
  sim::SimulatedWorker* self = worker(machine);
  const int controller = target_controller(*self);
  const std::string body = self->begin_heartbeat(lab_.now());
  const std::uint64_t number = self->heartbeat_number();
  const Micros sent_at = lab_.now();
  io::HttpClient::Result result;
  if (self->unreachable_outbound || heartbeats_blocked_.at(static_cast<std::size_t>(controller))) {
    co_await lab_.loop.sleep(seconds(1));
  } else {
    if (late_duplicate_heartbeats_ && lab_.random_fraction() < kDuplicatedHeartbeatShare)
      lab_.loop.spawn(send_late_duplicate(body));
    HttpCall call{lab_.address(Laboratory::user_port(controller)), "POST", kHeartbeatPath, body,
                  kHeartbeatTimeout};
    result = co_await perform(lab_.loop, std::move(call));
  }
  self = worker(machine);
  while (self != nullptr && self->hanging) {
    co_await lab_.loop.sleep(kPollInterval);
    self = worker(machine);
  }
  if (self == nullptr || !self->heartbeat_in_flight() || self->heartbeat_number() != number) co_return;
  const bool in_time = lab_.now() - sent_at < kHeartbeatTimeout;
  if (result.status == 0 || !in_time || self->unreachable_inbound) {
    self->on_heartbeat_failure(lab_.now());
    co_return;
  }
  const std::string response = result.status == 200 ? with_planted_defect(machine, result.body) : result.body;
  if (result.status == 200) record_commands(machine, response, "heartbeat response");
  self->on_heartbeat_response(result.status, response, lab_.now());
}

io::Task<> WorkerFleet::send_late_duplicate(std::string body) {
  co_await lab_.loop.sleep(lab_.random_duration(2, in_seconds(lab_.settings.worker_lease) * 1.6));
  const int controller = lab_.random_index(kControllerCount);
  HttpCall call{lab_.address(Laboratory::user_port(controller)), "POST", kHeartbeatPath, std::move(body),
                kHeartbeatTimeout};
  co_await perform(lab_.loop, std::move(call));
}

}  // namespace bendtide::lab
