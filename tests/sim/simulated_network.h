// The network of a simulated cluster: latencies, partitions between pairs of hosts, and duplicate messages.
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
  /// Delivers one message to its recipient.
  using Delivery = std::function<void()>;

  SimulatedNetwork(Environment& environment, SimulatedMachines& machines)
      : environment_(environment), machines_(machines) {}

  /// Delivers a message after a random latency. While the two hosts are partitioned, the message is lost or,
  /// if the partition holds messages, delivered after the partition ends.
  void send(const std::string& from, const std::string& to, Delivery delivery);
  /// Like send(), for a recipient that may be a machine. A hanging machine receives the message only after
  /// it has stopped hanging.
  void send_to_host(const std::string& from, const std::string& to, Delivery delivery);
  /// With a small probability, delivers a message a second time, 0.5 to 40.5 s later, whether or not its
  /// sender and recipient are still up. Delivers nothing in scenarios without faults.
  void duplicate_randomly(Delivery delivery);

  /// Partitions two hosts from each other in both directions, unless they are partitioned already. If `hold`
  /// is true, messages sent during the partition are delivered when it ends; otherwise they are lost.
  void partition(const std::string& one, const std::string& other, bool hold, Micros duration);
  /// Returns whether any two hosts are partitioned from each other.
  bool has_partitions() const { return !partitions_.empty(); }

 private:
  struct Partition {
    bool hold = false;
    std::vector<Delivery> held;  ///< in the order in which the messages were sent
  };
  using Link = std::pair<std::string, std::string>;

  void end_partition(const Link& link);
  /// Delivers a message, waiting until the recipient does not hang.
  void deliver_when_responsive(const std::string& to, const Delivery& delivery);

  Environment& environment_;
  SimulatedMachines& machines_;
  std::map<Link, Partition> partitions_;
};

}  // namespace bendtide::sim
