// The simulated cloud and workers: each machine boots a worker that serves direct commands at an address of
// its own and sends heartbeats to the controllers' ports for users.
#pragma once

#include <array>
#include <memory>

#include "http_call.h"
#include "http_server.h"
#include "laboratory.h"

namespace bendtide::lab {

/// Owns the machines. Those that were killed or deleted keep their servers, which answer 503.
class WorkerFleet {
 public:
  explicit WorkerFleet(Laboratory& lab);
  void run();

  void set_cloud_outage(bool on) { cloud_.set_outage(on); }
  /// Names of machines that are up.
  std::vector<std::string> up();
  /// Null if the machine is gone, dead or not up yet.
  sim::SimulatedWorker* worker(const std::string& machine);
  void kill(const std::string& machine);
  /// Cuts a controller from the heartbeats of all machines.
  void set_cut(int controller, bool on) { cut_.at(static_cast<std::size_t>(controller)) = on; }
  /// A share of the heartbeats arrives once more, seconds later.
  void set_late_heartbeats(bool on) { late_heartbeats_ = on; }
  /// Direct commands are held for up to this long before they are executed.
  void set_late_commands(Micros max_delay) { late_commands_ = max_delay; }

 private:
  io::Task<HttpReply> serve_cloud(http::Message request);
  io::Task<HttpReply> serve_commands(std::string machine, http::Message request);
  void bring_up(sim::SimulatedCloud::Machine& machine);
  io::Task<> boot(std::string machine);
  io::Task<> run_worker(std::string machine);
  io::Task<> send_heartbeat(std::string machine);
  io::Task<> repeat_heartbeat_late(std::string body);
  static int target_controller(sim::SimulatedWorker& worker);
  void record_commands(const std::string& machine, const std::string& body, const char* how);
  /// The body that reaches the worker, changed by the planted defect if that concerns it.
  std::string with_planted_defect(const std::string& machine, const std::string& body);
  void start_elsewhere(const std::string& machine, const nlohmann::json& message);

  Laboratory& lab_;
  sim::SimulatedCloud cloud_;
  HttpServer cloud_server_;
  std::vector<std::unique_ptr<HttpServer>> command_servers_;  ///< of all machines that ever were up
  int next_address_ = 0;
  std::array<bool, kControllerCount> cut_{};
  bool late_heartbeats_ = false;
  Micros late_commands_{0};
};

}  // namespace bendtide::lab
