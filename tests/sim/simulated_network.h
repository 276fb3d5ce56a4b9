// The network of a simulated cluster: latencies, cuts between two hosts, and duplicates.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sim/environment.h"
#include "sim/simulated_machines.h"

namespace bendtide::sim {

class SimulatedNetwork {
 public:
  using Delivery = std::function<void()>;

  SimulatedNetwork(Environment& environment, SimulatedMachines& machines)
      : environment_(environment), machines_(machines) {}

  /// Delivers a message after a latency. While the two hosts are cut from each other it is lost, or held
  /// until the end of the cut.
  void send(const std::string& from, const std::string& to, Delivery delivery);
  /// The same to a host that may be a machine: one that hangs receives the message once it goes on.
  void send_to_host(const std::string& from, const std::string& to, Delivery delivery);
  /// Now and then a message arrives a second time, up to 40 s later, whatever has become of both ends.
  void duplicate_sometimes(Delivery delivery);

  /// Cuts two hosts from each other, in both directions, unless they are already. A cut that holds delivers
  /// at its end what was sent during it.
  void cut(const std::string& one, const std::string& other, bool hold, Micros duration);
  bool has_cuts() const { return !cuts_.empty(); }

 private:
  struct Cut {
    bool hold = false;
    std::vector<Delivery> held;
  };
  using Link = std::pair<std::string, std::string>;

  void end_cut(const Link& link);
  void deliver_when_awake(const std::string& to, const Delivery& delivery);

  Environment& environment_;
  SimulatedMachines& machines_;
  std::map<Link, Cut> cuts_;
};

}  // namespace bendtide::sim
