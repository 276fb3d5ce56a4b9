#include "worker_fleet.h"

#include <nlohmann/json.hpp>

#include "wire/names.h"

namespace bendtide::lab {

using nlohmann::json;
using namespace wire::names;

namespace {

constexpr Micros kStep = millis(20);
constexpr Micros kReportWithin = Settings::kWorkerPatience;
constexpr Micros kUnreachable = seconds(3);  ///< longer than any controller waits for an answer
constexpr int kAddressesInBlock = 250;
constexpr int kMachinesAtStart = 6;
constexpr std::uint64_t kHigherToken = 1'000'000;  ///< than any that a controller holds
constexpr double kShareOfLateCommands = 0.2;
constexpr double kShareOfLateReports = 0.3;

std::vector<MachineType> machine_types() {
  const MachineType small{"small", {8000, 0, 64000}, 50, 4, 0.5, 0.12, seconds(2), {"east", "west"}};
  const MachineType large{"large", {16000, 0, 64000}, 50, 4, 0.8, 0.2, seconds(3), {"east", "west"}};
  return {small, large};
}

}  // namespace

WorkerFleet::WorkerFleet(Laboratory& lab)
    : lab_(lab),
      cloud_(machine_types(), lab.plan.machines, [this](sim::SimulatedCloud::Machine& m) { bring_up(m); }),
      cloud_server_(lab.loop, lab.address(Laboratory::cloud_port()),
                    [this](http::Message request) { return serve_cloud(std::move(request)); }) {}

void WorkerFleet::run() {
  lab_.loop.spawn(cloud_server_.run());
  for (int i = 0; i < kMachinesAtStart; ++i)
    cloud_.add("small", i % 2 == 0 ? "east" : "west", false, lab_.now());
}

void WorkerFleet::bring_up(sim::SimulatedCloud::Machine& machine) {
  // Each has an address of its own, so that what is sent late reaches no other.
  const int number = next_address_++;
  machine.address = "127.1." + std::to_string(number / kAddressesInBlock) + "." +
                    std::to_string(number % kAddressesInBlock + 1) + ":" +
                    std::to_string(lab_.plan.base_port + Laboratory::worker_port());
  lab_.loop.spawn(boot(machine.name));
}

io::Task<> WorkerFleet::boot(std::string machine) {
  co_await lab_.loop.sleep(lab_.between(0.5, 3));
  const auto found = cloud_.machines().find(machine);
  if (found == cloud_.machines().end() || found->second.dead) co_return;
  sim::SimulatedWorker::Hooks hooks;
  hooks.checker = &lab_.checker;
  hooks.job = [this](const std::string& id) {
    const auto spec = lab_.specs.find(id);
    return spec == lab_.specs.end() ? nullptr : &spec->second;
  };
  hooks.run_time = [this](const TaskId& task) {
    const JobSpec& spec = lab_.specs.at(task.job);
    return spec.shape == Shape::service ? seconds(100'000) : spec.estimate;
  };
  found->second.worker = std::make_unique<sim::SimulatedWorker>(
      found->second, *cloud_.type(found->second.type), lab_.settings, std::move(hooks), lab_.now());
  desks_.push_back(std::make_unique<HttpServer>(
      lab_.loop, found->second.address,
      [this, machine](http::Message request) { return serve_commands(machine, std::move(request)); }));
  lab_.loop.spawn(desks_.back()->run());
  lab_.history.add(machine + ": is up");
  co_await live(machine);
}

std::vector<std::string> WorkerFleet::up() {
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
  lab_.history.add(machine + ": dies");
  sim::SimulatedCloud::kill(found->second);
}

io::Task<HttpReply> WorkerFleet::serve_cloud(http::Message request) {
  const wire::HttpRequest call{request.method, request.target, request.body};
  const sim::Response response = cloud_.handle(call, lab_.now());
  co_return HttpReply{response.status, response.body};
}

// ---- direct commands -----------------------------------------------------------------------------

io::Task<HttpReply> WorkerFleet::serve_commands(std::string machine, http::Message request) {
  if (late_commands_ > Micros{0} && lab_.chance() < kShareOfLateCommands)
    co_await lab_.loop.sleep(lab_.between(0, in_seconds(late_commands_)));
  sim::SimulatedWorker* reached = worker(machine);
  while (reached != nullptr && reached->hanging) {
    co_await lab_.loop.sleep(kStep);
    reached = worker(machine);
  }
  if (reached == nullptr || reached->unreachable_inbound) {
    co_await lab_.loop.sleep(kUnreachable);
    co_return HttpReply{503, "{}"};
  }
  const std::string body = with_planted_fault(machine, request.body);
  const sim::Response response = reached->handle_commands(body, lab_.now());
  if (response.status == 200) record_orders(machine, body, "directly");
  co_return HttpReply{response.status, response.body};
}

void WorkerFleet::record_orders(const std::string& machine, const std::string& body, const char* how) {
  const json message = json::parse(body, nullptr, false);
  if (!message.is_object() || !message.contains(kCommandList)) return;
  for (const json& order : message.at(kCommandList))
    lab_.history.add(order.at(kTask).get<std::string>() + " attempt " + order.at(kAttempt).dump() + ": " +
                     machine + " is told " + how + " to " + order.at(kVerb).get<std::string>() +
                     " under token " + message.value(kToken, json(nullptr)).dump());
}

std::string WorkerFleet::with_planted_fault(const std::string& machine, const std::string& body) {
  const PlantedFault planted = lab_.plan.planted;
  const char* dropped = planted == PlantedFault::keep_cancelled  ? "kill"
                        : planted == PlantedFault::start_nothing ? "run"
                                                                 : nullptr;
  if (dropped == nullptr && planted != PlantedFault::start_twice) return body;
  json message = json::parse(body, nullptr, false);
  if (!message.is_object() || !message.contains(kCommandList)) return body;
  json kept = json::array();
  for (const json& order : message.at(kCommandList))
    if (dropped == nullptr || order.at(kVerb) != dropped) kept.push_back(order);
  message[kCommandList] = kept;
  if (planted == PlantedFault::start_twice) start_elsewhere(machine, message);
  return message.dump();
}

/// Shows another machine the same commands, under a fencing token that it must accept.
void WorkerFleet::start_elsewhere(const std::string& machine, const json& message) {
  for (const std::string& other : up()) {
    if (other == machine) continue;
    json copy = message;
    copy[kToken] = message.value(kToken, std::uint64_t{0}) + kHigherToken;
    copy[kSession] = 1;
    worker(other)->handle_commands(copy.dump(), lab_.now());
    return;
  }
}

// ---- heartbeats -------------------------------------------------------------------------------------

io::Task<> WorkerFleet::live(std::string machine) {
  while (sim::SimulatedWorker* self = worker(machine)) {
    self->advance(lab_.now());
    if (self->heartbeat_due(lab_.now())) lab_.loop.spawn(report(machine));
    co_await lab_.loop.sleep(kStep);
  }
}

int WorkerFleet::controller_to_report_to(sim::SimulatedWorker& worker) {
  if (worker.target.empty())
    worker.target = Laboratory::host(static_cast<int>(worker.next_controller++ % kControllers));
  for (int i = 0; i < kControllers; ++i)
    if (Laboratory::host(i) == worker.target) return i;
  return 0;
}

io::Task<> WorkerFleet::report(std::string machine) {
  sim::SimulatedWorker* self = worker(machine);
  const int controller = controller_to_report_to(*self);
  const std::string body = self->begin_heartbeat(lab_.now());
  const std::uint64_t number = self->heartbeat_number();
  const Micros sent_at = lab_.now();
  io::HttpClient::Result result;
  if (self->unreachable_outbound || cut_.at(static_cast<std::size_t>(controller))) {
    co_await lab_.loop.sleep(seconds(1));
  } else {
    if (late_reports_ && lab_.chance() < kShareOfLateReports) lab_.loop.spawn(repeat_report(body));
    HttpCall call{lab_.address(Laboratory::user_port(controller)), "POST", kCheckin, body, kReportWithin};
    result = co_await perform(lab_.loop, std::move(call));
  }
  self = worker(machine);
  while (self != nullptr && self->hanging) {
    co_await lab_.loop.sleep(kStep);
    self = worker(machine);
  }
  if (self == nullptr || !self->awaits_answer() || self->heartbeat_number() != number) co_return;
  const bool in_time = lab_.now() - sent_at < kReportWithin;
  if (result.status == 0 || !in_time || self->unreachable_inbound) {
    self->heartbeat_failed(lab_.now());
    co_return;
  }
  const std::string answer = result.status == 200 ? with_planted_fault(machine, result.body) : result.body;
  if (result.status == 200) record_orders(machine, answer, "by an answer");
  self->heartbeat_answered(result.status, answer, lab_.now());
}

/// A copy of a heartbeat, which comes late and to any controller.
io::Task<> WorkerFleet::repeat_report(std::string body) {
  co_await lab_.loop.sleep(lab_.between(2, in_seconds(lab_.settings.worker_lease) * 1.6));
  const int controller = lab_.pick(kControllers);
  HttpCall call{lab_.address(Laboratory::user_port(controller)), "POST", kCheckin, std::move(body),
                kReportWithin};
  co_await perform(lab_.loop, std::move(call));
}

}  // namespace bendtide::lab
