#include "sim/heartbeat_exchange.h"

#include "wire/worker_protocol.h"

namespace bendtide::sim {

namespace {

constexpr Micros kPatience = seconds(4);
constexpr Micros kNoRouteAfter = millis(500);
constexpr double kShareOfLateCopies = 0.4;
constexpr double kLatestCopy = 1.6;  ///< worker leases after the least delay
constexpr Micros kMinCopyDelay = seconds(2);

}  // namespace

void HeartbeatExchange::send(SimulatedCloud::Machine& machine) {
  Simulation& simulation = environment_.simulation;
  SimulatedWorker& worker = *machine.worker;
  const auto& hosts = controllers_.hosts();
  if (worker.target.empty()) worker.target = hosts[worker.next_controller++ % hosts.size()]->name;
  const std::string target = worker.target;
  const std::string body = worker.begin_heartbeat(simulation.now());
  const Heartbeat heartbeat{machine.name, worker.heartbeat_number(), body};
  send_copies(body);
  if (worker.unreachable_outbound) {
    environment_.evidence.add(Evidence::heartbeat_lost);
    return simulation.after(kNoRouteAfter, [this, heartbeat] { fail(heartbeat); });
  }
  simulation.after(kPatience, [this, heartbeat] { fail(heartbeat); });
  if (ControllerHost* host = controllers_.find(target))
    network_.send(machine.name, target, [this, host, heartbeat] { receive(*host, heartbeat); });
}

void HeartbeatExchange::send_copies(const std::string& body) {
  Simulation& simulation = environment_.simulation;
  network_.duplicate_sometimes([this, body] { deliver_copy(body); });
  const bool copied = simulation.now() < environment_.faults.heartbeats_duplicated_until &&
                      simulation.chance() < kShareOfLateCopies;
  if (!copied) return;
  environment_.evidence.add(Evidence::heartbeat_duplicated);
  const auto lease = static_cast<double>(environment_.settings.worker_lease.count());
  const Micros spread{static_cast<std::int64_t>(lease * kLatestCopy * simulation.chance())};
  simulation.after(kMinCopyDelay + spread, [this, body] { deliver_copy(body); });
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
  sent.commands = defects.delivered(std::move(sent.commands));
  for (Command& command : defects.added(reply.commands)) sent.commands.push_back(std::move(command));
  controllers_.record_starts(sent.commands);
  defects.start_elsewhere(reply, heartbeat.machine, machines_.cloud(), environment_.simulation.now());
  network_.send(host.name, heartbeat.machine,
                [this, heartbeat, status = sent.status, body = wire::body_of(sent)] {
                  deliver_answer(heartbeat, status, body);
                });
}

void HeartbeatExchange::deliver_answer(const Heartbeat& heartbeat, int status, const std::string& body) {
  SimulatedWorker* worker = awaiting_worker(heartbeat);
  if (worker != nullptr && !worker->unreachable_inbound)
    worker->heartbeat_answered(status, body, environment_.simulation.now());
}

void HeartbeatExchange::fail(const Heartbeat& heartbeat) {
  if (SimulatedWorker* worker = awaiting_worker(heartbeat))
    worker->heartbeat_failed(environment_.simulation.now());
}

SimulatedWorker* HeartbeatExchange::awaiting_worker(const Heartbeat& heartbeat) {
  SimulatedWorker* worker = machines_.running_worker(heartbeat.machine);
  const bool awaits = worker != nullptr && worker->awaits_answer() &&
                      worker->heartbeat_number() == heartbeat.number && !worker->hanging;
  return awaits ? worker : nullptr;
}

}  // namespace bendtide::sim
