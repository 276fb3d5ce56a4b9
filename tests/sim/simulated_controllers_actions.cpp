// Performs the actions that the controllers' cores produce.

#include <cstdio>

#include "codec/codec.h"
#include "sim/simulated_controllers.h"
#include "wire/cloud_protocol.h"
#include "wire/store_protocol.h"
#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

constexpr Micros kStoreTimeout = seconds(1);
constexpr Micros kCloudTimeout = seconds(5);
constexpr Micros kWorkerTimeout = millis(1500);
constexpr double kLateTransactionProbability = 0.3;
constexpr double kLateStoreResponseProbability = 0.3;
/// Time to serve one request while FaultKind::store_slow is in effect, multiplied by the slowness factor.
constexpr double kStoreServiceTimeMicros = 5000;

/// Returns the shard that a log line reports as acquired; empty if it reports something else.
std::string acquired_shard(const LogLine& line) {
  const std::string field = "shard=";
  const std::size_t begin = line.text.find(field);
  if (!line.text.ends_with(" shard acquired") || begin == std::string::npos) return {};
  return line.text.substr(begin + field.size(), line.text.find(' ', begin) - begin - field.size());
}

}  // namespace

// ---- calls with a response or a timeout ---------------------------------------------------------

template <class Response>
void SimulatedControllers::call(Call<Response> call) {
  auto shared = std::make_shared<Call<Response>>(std::move(call));
  network_.send_to_host(shared->host->name, shared->to, [this, shared] {
    const double slowness = environment_.faults.store_slowness;
    if (shared->to != kStoreAddress || slowness <= 1) return serve(shared);
    const Micros service_time{static_cast<std::int64_t>(kStoreServiceTimeMicros * slowness)};
    environment_.simulation.schedule_after(service_time, [this, shared] { serve(shared); });
  });
  environment_.simulation.schedule_after(shared->timeout, [this, shared] { complete(shared, Response{}); });
}

template <class Response>
void SimulatedControllers::serve(const SharedCall<Response>& call) {
  Simulation& simulation = environment_.simulation;
  const Response response = call->serve();
  auto respond = [this, call, response] {
    network_.send(call->to, call->host->name, [this, call, response] { complete(call, response); });
  };
  const bool late = call->to == kStoreAddress &&
                    simulation.now() < environment_.faults.store_responses_late_until &&
                    simulation.random_fraction() <= kLateStoreResponseProbability;
  if (!late) return respond();
  environment_.evidence.add(Evidence::store_response_delayed);
  simulation.schedule_after(millis(30 + simulation.random_index(900)), respond);
}

template <class Response>
void SimulatedControllers::complete(const SharedCall<Response>& call, const Response& response) {
  if (std::exchange(call->completed, true)) return;
  deliver(*call->host, call->incarnation,
          [call, response](Controller& core) { call->complete(core, response); });
}

// ---- calls to the key-value store ---------------------------------------------------------------

void SimulatedControllers::perform(ControllerHost& host, const StoreCall& action) {
  Simulation& simulation = environment_.simulation;
  const bool late = std::holds_alternative<Transaction>(action.request) &&
                    simulation.now() < environment_.faults.transactions_late_until &&
                    !environment_.faults.store_outage &&
                    simulation.random_fraction() < kLateTransactionProbability;
  if (late) return execute_transaction_late(host, action);
  call<StoreResponse>(
      {&host, host.incarnation, kStoreAddress, kStoreTimeout,
       [this, request = action.request, name = host.name] { return serve_store(name, request); },
       [id = action.call](Controller& core, const StoreResponse& response) {
         core.on_store_response(id, response);
       }});
}

void SimulatedControllers::execute_transaction_late(ControllerHost& host, const StoreCall& action) {
  Simulation& simulation = environment_.simulation;
  environment_.evidence.add(Evidence::transaction_executed_late);
  simulation.schedule_after(seconds(2 + simulation.random_fraction() * 10),
                            [this, http = wire::request_of(action.request)] {
                              environment_.store.handle(http, environment_.simulation.now());
                            });
  simulation.schedule_after(kStoreTimeout, [this, &host, incarnation = host.incarnation, id = action.call] {
    deliver(host, incarnation, [id](Controller& core) { core.on_store_response(id, StoreResponse{}); });
  });
}

StoreResponse SimulatedControllers::serve_store(const std::string& host, const StoreRequest& request) {
  if (environment_.faults.refused_hosts.contains(host)) return wire::parse_store_response(request, 503, "{}");
  const wire::HttpRequest http = wire::request_of(request);
  if (environment_.scenario.has_extended_faults)
    network_.duplicate_randomly(
        [this, http] { environment_.store.handle(http, environment_.simulation.now()); });
  const Response response = environment_.store.handle(http, environment_.simulation.now());
  return wire::parse_store_response(request, response.status, response.body);
}

// ---- calls to the cloud and to workers ----------------------------------------------------------

void SimulatedControllers::perform(ControllerHost& host, const CloudCall& action) {
  call<CloudResponse>({&host, host.incarnation, kCloudAddress, kCloudTimeout,
                       [this, request = action.request] {
                         const Response response = machines_.cloud().handle(wire::request_of(request),
                                                                            environment_.simulation.now());
                         return wire::parse_cloud_response(request, response.status, response.body);
                       },
                       [id = action.call](Controller& core, const CloudResponse& response) {
                         core.on_cloud_response(id, response);
                       }});
}

void SimulatedControllers::perform(ControllerHost& host, const WorkerCall& action) {
  report_starts_to_checker(action.request.commands);
  const std::string& address = action.request.address;
  const std::string machine = address.substr(0, address.find(':'));
  CommandRequest delivered = action.request;
  delivered.commands = environment_.defects.commands_to_deliver(std::move(delivered.commands));
  call<CommandResponse>({&host, host.incarnation, machine, kWorkerTimeout,
                         [this, sender = host.name, machine, body = wire::request_of(delivered).body] {
                           return serve_commands(sender, machine, body);
                         },
                         [id = action.call](Controller& core, const CommandResponse& response) {
                           core.on_command_response(id, response);
                         }});
}

CommandResponse SimulatedControllers::serve_commands(const std::string& sender, const std::string& machine,
                                                     const std::string& body) {
  SimulatedWorker* worker = machines_.running_worker(machine);
  if (worker == nullptr || worker->unreachable_inbound) return {};
  network_.duplicate_randomly([this, machine, body] {
    if (SimulatedWorker* current = machines_.running_worker(machine))
      current->handle_commands(body, environment_.simulation.now());
  });
  const Response response = worker->handle_commands(body, environment_.simulation.now());
  if (environment_.scenario.late_start_copies && response.status == 200)
    environment_.late_start_copies.record(machine, body, sender, shard_led_by(sender, machine));
  return wire::parse_command_response(response.status, response.body);
}

std::string SimulatedControllers::shard_led_by(const std::string& host, const std::string& machine) {
  const ControllerHost* sender = find(host);
  if (sender == nullptr || !sender->is_up()) return {};
  for (const auto& [name, shard] : sender->core->state().shards)
    if (shard.machines.contains(machine)) return name;
  return {};
}

// ---- peer messages, replies and log lines -------------------------------------------------------

void SimulatedControllers::perform(ControllerHost& host, const PeerSend& action) {
  ControllerHost* peer = find(action.host);
  if (peer == nullptr) return;
  const std::string frame = codec::encode({host.name, action.message});
  network_.send(host.name, peer->name, [this, peer, frame] {
    const codec::Decoded decoded = codec::decode(frame);
    if (decoded.state != codec::Decoded::State::complete)
      throw std::logic_error("cannot decode the encoded peer message");
    deliver(*peer, peer->incarnation, [envelope = decoded.envelope](Controller& core) {
      core.on_peer(envelope.sender, envelope.message);
    });
  });
}

void SimulatedControllers::perform(ControllerHost& host, const AnswerUser& action) {
  const auto request = host.user_requests.extract(action.request);
  if (request) request.mapped()(action.reply);
}

void SimulatedControllers::perform(ControllerHost& host, const AnswerHeartbeat& action) {
  const auto heartbeat = host.heartbeats.extract(action.request);
  if (heartbeat) heartbeat.mapped()(action.reply);
}

void SimulatedControllers::perform(ControllerHost&, const AnswerAdmin&) {}

void SimulatedControllers::perform(ControllerHost& host, const LogLine& action) {
  environment_.evidence.add_from_log(action);
  const std::string acquired = acquired_shard(action);
  if (!acquired.empty()) environment_.late_start_copies.on_leader_changed(acquired);
  if (environment_.scenario.verbose)
    std::printf("%9.3f %s %s\n", in_seconds(environment_.simulation.now()), host.name.c_str(),
                action.text.c_str());
}

}  // namespace bendtide::sim
