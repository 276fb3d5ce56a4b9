// The heartbeats of simulated workers: sent over the simulated network, answered by controllers.
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

  /// Lets the worker of a machine that is up send a heartbeat.
  void send(SimulatedCloud::Machine& machine);

 private:
  /// One heartbeat under way.
  struct Heartbeat {
    std::string machine;
    std::uint64_t number = 0;
    std::string body;
  };
  void send_copies(const std::string& body);
  void deliver_copy(const std::string& body);
  void receive(ControllerHost& host, const Heartbeat& heartbeat);
  void respond(const ControllerHost& host, const Heartbeat& heartbeat, const HeartbeatReply& reply);
  void deliver_answer(const Heartbeat& heartbeat, int status, const std::string& body);
  void fail(const Heartbeat& heartbeat);
  /// The worker if it still awaits the answer to this heartbeat and does not hang; null otherwise.
  SimulatedWorker* awaiting_worker(const Heartbeat& heartbeat);

  Environment& environment_;
  SimulatedMachines& machines_;
  SimulatedNetwork& network_;
  SimulatedControllers& controllers_;
};

}  // namespace bendtide::sim
