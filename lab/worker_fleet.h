// The cloud's and the workers' stand-ins: machines come up as workers, each with a port of its own for direct
// commands, and report to the controllers' ports for users.
#pragma once

#include <array>
#include <memory>

#include "http_call.h"
#include "http_server.h"
#include "laboratory.h"

namespace bendtide::lab {

class WorkerFleet {
 public:
  explicit WorkerFleet(Laboratory& lab);
  void run();

  void set_cloud_outage(bool on) { cloud_.set_outage(on); }
  /// Names of machines that are up.
  std::vector<std::string> up();
  /// Null if the machine is gone or not up.
  sim::SimulatedWorker* worker(const std::string& machine);
  void kill(const std::string& machine);
  /// Whether the way between a machine and a controller is cut, both ways.
  void set_cut(int controller, bool on) { cut_.at(static_cast<std::size_t>(controller)) = on; }
  /// A share of the heartbeats arrives once more, seconds later.
  void set_late_reports(bool on) { late_reports_ = on; }
  /// Direct commands are held for up to this long before they are executed.
  void set_late_commands(Micros most) { late_commands_ = most; }

 private:
  io::Task<HttpReply> serve_cloud(http::Message request);
  io::Task<HttpReply> serve_commands(std::string machine, http::Message request);
  void bring_up(sim::SimulatedCloud::Machine& machine);
  io::Task<> boot(std::string machine);
  io::Task<> live(std::string machine);
  io::Task<> report(std::string machine);
  io::Task<> repeat_report(std::string body);
  static int controller_to_report_to(sim::SimulatedWorker& worker);
  void record_orders(const std::string& machine, const std::string& body, const char* how);
  /// What the worker gets to read, with the planted fault if there is one.
  std::string with_planted_fault(const std::string& machine, const std::string& body);
  void start_elsewhere(const std::string& machine, const nlohmann::json& message);

  Laboratory& lab_;
  sim::SimulatedCloud cloud_;
  HttpServer cloud_server_;
  std::vector<std::unique_ptr<HttpServer>> desks_;  ///< of all machines that ever came up
  int next_address_ = 0;
  std::array<bool, kControllers> cut_{};
  bool late_reports_ = false;
  Micros late_commands_{0};
};

}  // namespace bendtide::lab
