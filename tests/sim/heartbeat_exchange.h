// Sends the heartbeats of simulated workers to controllers, and their replies back, over the simulated
// network.
#pragma once

#include "sim/environment.h"
#include "sim/simulated_controllers.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_network.h"

namespace bendtide::sim {

class HeartbeatExchange {
 public:
  HeartbeatExchange(Environment& environment, SimulatedMachines& machines, SimulatedNetwork& network,
                    SimulatedControllers& controllers)
      : environment_(environment), machines_(machines), network_(network), controllers_(controllers) {}

  /// Sends a heartbeat of the worker on a machine that is up.
  void send(SimulatedCloud::Machine& machine);

 private:
  /// A heartbeat whose reply the worker awaits.
  struct Heartbeat {
    std::string machine;
    std::uint64_t number = 0;
    std::string body;
  };
  /// Sometimes schedules late duplicates of a heartbeat, more often during FaultKind::late_heartbeats.
  void send_copies(const std::string& body);
  /// Delivers a duplicate to a random controller, whose reply is dropped.
  void deliver_copy(const std::string& body);
  void receive(ControllerHost& host, const Heartbeat& heartbeat);
  /// Sends the reply to the machine, with the planted defects applied.
  void respond(const ControllerHost& host, const Heartbeat& heartbeat, const HeartbeatReply& reply);
  void deliver_reply(const Heartbeat& heartbeat, int status, const std::string& body);
  /// Reports to the worker that the heartbeat got no reply.
  void fail(const Heartbeat& heartbeat);
  /// The worker, if it still awaits the reply to this heartbeat and does not hang; null otherwise.
  SimulatedWorker* awaiting_worker(const Heartbeat& heartbeat);

  Environment& environment_;
  SimulatedMachines& machines_;
  SimulatedNetwork& network_;
  SimulatedControllers& controllers_;
};

}  // namespace bendtide::sim
