// The controllers of a simulated cluster: their processes start, crash and pause, events are delivered to
// their cores, and the actions that these lead to are performed over the simulated network.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/controller/controller.h"
#include "sim/environment.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_network.h"

namespace bendtide::sim {

/// One host that runs a controller, or will again once its process is restarted.
struct ControllerHost {
  std::string name;
  std::string zone = "east";
  // Its steady clock: how much faster it runs than the virtual clock, and its value at the start.
  double clock_drift = 0;
  Micros clock_offset{0};

  std::unique_ptr<Controller> core;  ///< null while the process is down
  std::uint64_t incarnation = 0;     ///< number of the process, unique among all hosts
  Micros paused_until{0};
  Micros pauses_for{0};  ///< in the middle of the next event; zero: does not
  std::uint64_t next_request = 1;
  // Requests that the present process has not answered yet.
  std::map<std::uint64_t, std::function<void(const UserReply&)>> user_requests;
  std::map<std::uint64_t, std::function<void(const HeartbeatReply&)>> heartbeats;

  bool is_up() const { return core != nullptr; }
};

class SimulatedControllers {
 public:
  static constexpr int kCount = 3;
  /// Called with every action of a controller, right before it is performed.
  using ActionObserver = std::function<void(const std::string& host, const Action& action)>;
  using Event = std::function<void(Controller&)>;
  /// A request of a user: which event to deliver, given the number of the request.
  using UserRequest = std::function<void(Controller&, std::uint64_t request)>;
  /// Called once: with the reply, or with null if there is none within two seconds.
  using UserReaction = std::function<void(const UserReply*)>;
  using HeartbeatReaction = std::function<void(const HeartbeatReply&)>;

  SimulatedControllers(Environment& environment, SimulatedMachines& machines, SimulatedNetwork& network);

  void observe(ActionObserver observer) { observer_ = std::move(observer); }
  /// Schedules the first start of every controller.
  void start_all();
  /// Ends the process, which is started again after `restart_after`.
  void crash(ControllerHost& host, Micros restart_after);

  std::vector<std::unique_ptr<ControllerHost>>& hosts() { return hosts_; }
  const std::vector<std::unique_ptr<ControllerHost>>& hosts() const { return hosts_; }
  ControllerHost& random_host() { return *environment_.simulation.pick_from(hosts_); }
  /// Null if there is no host of that name.
  ControllerHost* find(const std::string& host);
  /// The one that leads shards with most machines.
  ControllerHost& busiest();

  void send_user_request(ControllerHost& host, const UserRequest& request, const UserReaction& reaction);
  /// Delivers a heartbeat to a controller; without a reaction its answer is dropped.
  void deliver_heartbeat(ControllerHost& host, const std::string& body, HeartbeatReaction reaction);
  void deliver_admin_request(ControllerHost& host, const AdminRequest& request);

  /// Counts commanded starts of cancelled jobs.
  void record_starts(const std::vector<Command>& commands);
  /// How many proposals were awarded.
  std::uint64_t awards() const;
  /// How often a shard's sums differed from what they sum up.
  std::size_t inconsistent_sums() const { return inconsistent_sums_; }

 private:
  /// A request of a controller to another host, which is answered or times out.
  template <class Response>
  struct Call {
    ControllerHost* host;
    std::uint64_t incarnation;
    std::string to;
    Micros timeout;
    std::function<Response()> serve;
    std::function<void(Controller&, const Response&)> conclude;
    bool concluded = false;
  };
  template <class Response>
  using SharedCall = std::shared_ptr<Call<Response>>;

  void start(ControllerHost& host);
  void tick(ControllerHost& host, std::uint64_t incarnation);
  /// Delivers an event to the process with that incarnation, once it is not paused.
  void deliver(ControllerHost& host, std::uint64_t incarnation, const Event& event);
  void perform_actions(ControllerHost& host, std::uint64_t incarnation);
  Micros steady_time(const ControllerHost& host) const;

  void perform(ControllerHost& host, const StoreCall& action);
  void perform(ControllerHost& host, const CloudCall& action);
  void perform(ControllerHost& host, const WorkerCall& action);
  void perform(ControllerHost& host, const PeerSend& action);
  void perform(ControllerHost& host, const AnswerUser& action);
  void perform(ControllerHost& host, const AnswerHeartbeat& action);
  void perform(ControllerHost& host, const AnswerAdmin& action);
  void perform(ControllerHost& host, const LogLine& action);

  void execute_late(ControllerHost& host, const StoreCall& action);
  StoreResponse serve_store(const std::string& host, const StoreRequest& request);
  CommandResponse serve_commands(const std::string& machine, const std::string& body);

  template <class Response>
  void call(Call<Response> call);
  template <class Response>
  void serve(const SharedCall<Response>& call);
  template <class Response>
  void conclude(const SharedCall<Response>& call, const Response& response);

  Environment& environment_;
  SimulatedMachines& machines_;
  SimulatedNetwork& network_;
  ActionObserver observer_;
  std::vector<std::unique_ptr<ControllerHost>> hosts_;
  std::uint64_t started_ = 0;
  std::uint64_t awards_of_ended_ = 0;  ///< by processes that have ended
  std::size_t inconsistent_sums_ = 0;
};

}  // namespace bendtide::sim
