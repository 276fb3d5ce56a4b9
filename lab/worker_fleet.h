// The simulated cloud and its machines. Each machine runs a worker that accepts direct commands at an address
// of its own and sends heartbeats to the controllers' user ports.
#pragma once

#include <array>
#include <memory>

#include "http_call.h"
#include "http_server.h"
#include "laboratory.h"

namespace bendtide::lab {

/// Owns the machines. After a machine is killed or deleted, its command server still runs and responds 503.
class WorkerFleet {
 public:
  explicit WorkerFleet(Laboratory& lab);
  /// Starts the cloud's API and the first machines.
  void start();

  void set_cloud_outage(bool on) { cloud_.set_outage(on); }
  /// Names of the machines whose workers run.
  std::vector<std::string> running_machines();
  /// Null if the machine is deleted, killed or still booting.
  sim::SimulatedWorker* worker(const std::string& machine);
  void kill(const std::string& machine);
  /// While set, no machine's heartbeats reach the controller.
  void set_heartbeats_blocked(int controller, bool on) {
    heartbeats_blocked_.at(static_cast<std::size_t>(controller)) = on;
  }
  /// While set, a share of the heartbeats is sent a second time, seconds later and to a random controller.
  void set_late_duplicate_heartbeats(bool on) { late_duplicate_heartbeats_ = on; }
  /// A share of the direct commands is executed after a random delay of up to `max_delay`; 0: no delays.
  void set_max_command_delay(Micros max_delay) { max_command_delay_ = max_delay; }

 private:
  io::Task<HttpReply> serve_cloud(http::Message request);
  io::Task<HttpReply> serve_commands(std::string machine, http::Message request);
  /// Assigns an address to a new machine and boots it.
  void start_machine(sim::SimulatedCloud::Machine& machine);
  io::Task<> boot(std::string machine);
  /// Runs until the machine is killed or deleted.
  io::Task<> run_worker(std::string machine);
  io::Task<> send_heartbeat(std::string machine);
  /// Sends a copy of a heartbeat to a random controller, seconds after the original.
  io::Task<> send_late_duplicate(std::string body);
  /// The controller that the worker reports to; chosen round-robin if the worker has none.
  static int target_controller(sim::SimulatedWorker& worker);
  /// Adds the commands in `body` to the history; `channel` tells how they reached the worker.
  void record_commands(const std::string& machine, const std::string& body, const char* channel);
  /// Returns the body that reaches the worker: `body`, or what the planted defect makes of it.
  std::string with_planted_defect(const std::string& machine, const std::string& body);
  /// Has another machine execute the same commands, with a fencing token high enough to be accepted.
  void execute_on_another_machine(const std::string& machine, const nlohmann::json& message);

  Laboratory& lab_;
  sim::SimulatedCloud cloud_;
  HttpServer cloud_server_;
  std::vector<std::unique_ptr<HttpServer>> command_servers_;  ///< of all machines that ever booted
  int next_address_ = 0;
  std::array<bool, kControllerCount> heartbeats_blocked_{};
  bool late_duplicate_heartbeats_ = false;
  Micros max_command_delay_{0};
};

}  // namespace bendtide::lab
