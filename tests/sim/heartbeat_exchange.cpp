#include "sim/heartbeat_exchange.h"

#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

constexpr Micros kReplyTimeout = seconds(4);
/// The time until a worker that cannot reach any controller sees its heartbeat fail.
constexpr Micros kNoRouteErrorDelay = millis(500);
constexpr double kLateCopyProbability = 0.4;
constexpr Micros kMinCopyDelay = seconds(2);
/// The largest addition to kMinCopyDelay, in worker leases.
constexpr double kMaxExtraCopyDelayInLeases = 1.6;

}  // namespace

void HeartbeatExchange::send(SimulatedCloud::Machine& machine) {
  Simulation& simulation = environment_.simulation;
  SimulatedWorker& worker = *machine.worker;
  const auto& hosts = controllers_.hosts();
  if (worker.target_controller.empty())
    worker.target_controller = hosts[worker.next_controller++ % hosts.size()]->name;
  const std::string target = worker.target_controller;
  const std::string body = worker.begin_heartbeat(simulation.now());
  const Heartbeat heartbeat{machine.name, worker.heartbeat_number(), body};
  send_copies(body);
  if (worker.unreachable_outbound) {
    environment_.evidence.add(Evidence::heartbeat_lost);
    return simulation.schedule_after(kNoRouteErrorDelay, [this, heartbeat] { fail(heartbeat); });
  }
  simulation.schedule_after(kReplyTimeout, [this, heartbeat] { fail(heartbeat); });
  if (ControllerHost* host = controllers_.find(target))
    network_.send(machine.name, target, [this, host, heartbeat] { receive(*host, heartbeat); });
}

void HeartbeatExchange::send_copies(const std::string& body) {
  Simulation& simulation = environment_.simulation;
  network_.duplicate_randomly([this, body] { deliver_copy(body); });
  const bool copy_late = simulation.now() < environment_.faults.heartbeats_duplicated_until &&
                         simulation.random_fraction() < kLateCopyProbability;
  if (!copy_late) return;
  environment_.evidence.add(Evidence::heartbeat_duplicated);
  const auto lease = static_cast<double>(environment_.settings.worker_lease.count());
  const Micros extra_delay{
      static_cast<std::int64_t>(lease * kMaxExtraCopyDelayInLeases * simulation.random_fraction())};
  simulation.schedule_after(kMinCopyDelay + extra_delay, [this, body] { deliver_copy(body); });
}

void HeartbeatExchange::deliver_copy(const std::string& body) {
  controllers_.deliver_heartbeat(controllers_.random_host(), body, nullptr);
}

void HeartbeatExchange::receive(ControllerHost& host, const Heartbeat& heartbeat) {
  if (!host.is_up()) return fail(heartbeat);
  controllers_.deliver_heartbeat(host, heartbeat.body, [this, &host, heartbeat](const HeartbeatReply& reply) {
    respond(host, heartbeat, reply);
  });
}

void HeartbeatExchange::respond(const ControllerHost& host, const Heartbeat& heartbeat,
                                const HeartbeatReply& reply) {
  const PlantedDefects& defects = environment_.defects;
  HeartbeatReply sent = reply;
  sent.commands = defects.commands_to_deliver(std::move(sent.commands));
  for (Command& command : defects.added(reply.commands)) sent.commands.push_back(std::move(command));
  controllers_.report_starts_to_checker(sent.commands);
  defects.start_elsewhere(reply, heartbeat.machine, machines_.cloud(), environment_.simulation.now());
  network_.send(host.name, heartbeat.machine,
                [this, heartbeat, status = sent.status, body = wire::body_of(sent)] {
                  deliver_reply(heartbeat, status, body);
                });
}

void HeartbeatExchange::deliver_reply(const Heartbeat& heartbeat, int status, const std::string& body) {
  SimulatedWorker* worker = awaiting_worker(heartbeat);
  if (worker != nullptr && !worker->unreachable_inbound)
    worker->on_heartbeat_response(status, body, environment_.simulation.now());
}

void HeartbeatExchange::fail(const Heartbeat& heartbeat) {
  if (SimulatedWorker* worker = awaiting_worker(heartbeat))
    worker->on_heartbeat_failure(environment_.simulation.now());
}

SimulatedWorker* HeartbeatExchange::awaiting_worker(const Heartbeat& heartbeat) {
  SimulatedWorker* worker = machines_.running_worker(heartbeat.machine);
  const bool awaits = worker != nullptr && worker->heartbeat_in_flight() &&
                      worker->heartbeat_number() == heartbeat.number && !worker->hanging;
  return awaits ? worker : nullptr;
}

}  // namespace bendtide::sim
