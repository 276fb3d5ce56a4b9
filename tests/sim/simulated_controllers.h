// The controllers of a simulated cluster. Starts, crashes and pauses their processes, delivers events to
// their cores, and performs the resulting actions over the simulated network.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/controller/controller.h"
#include "sim/environment.h"
#include "sim/simulated_machines.h"
#include "sim/simulated_network.h"

namespace bendtide::sim {

/// A host that runs a controller process. The process may be down until it is restarted.
struct ControllerHost {
  std::string name;
  std::string zone = "east";
  double clock_drift = 0;  ///< of the steady clock, as a fraction of the virtual time; positive: runs fast
  Micros clock_offset{0};  ///< value of the steady clock at virtual time zero

  std::unique_ptr<Controller> core;  ///< null while the process is down
  std::uint64_t incarnation = 0;     ///< number of the latest process, unique across all hosts
  Micros paused_until{0};            ///< no event is delivered and no action performed before this time
  /// The process pauses for this long between handling the next event and performing its actions. Zero: it
  /// does not pause.
  Micros next_pause{0};
  std::uint64_t next_request = 1;
  // Requests that the current process has not answered yet, by request number.
  std::map<std::uint64_t, std::function<void(const UserReply&)>> user_requests;
  std::map<std::uint64_t, std::function<void(const HeartbeatReply&)>> heartbeats;

  bool is_up() const { return core != nullptr; }
};

class SimulatedControllers {
 public:
  static constexpr int kCount = 3;
  /// Called with each action of a controller immediately before it is performed.
  using ActionObserver = std::function<void(const std::string& host, const Action& action)>;
  /// Delivers one event to the core of a controller.
  using Event = std::function<void(Controller&)>;
  /// Delivers a user's request, which has the given request number, to the core of a controller.
  using UserRequest = std::function<void(Controller&, std::uint64_t request)>;
  /// Called exactly once: with the reply, or with null if the process is down or does not reply within two
  /// seconds.
  using UserReaction = std::function<void(const UserReply*)>;
  using HeartbeatReaction = std::function<void(const HeartbeatReply&)>;

  SimulatedControllers(Environment& environment, SimulatedMachines& machines, SimulatedNetwork& network);

  void set_action_observer(ActionObserver observer) { observer_ = std::move(observer); }
  /// Schedules the first start of each controller at a random time within the first second.
  void start_all();
  /// Crashes the process and restarts it after `restart_after`. Does nothing if the process is down.
  void crash(ControllerHost& host, Micros restart_after);

  std::vector<std::unique_ptr<ControllerHost>>& hosts() { return hosts_; }
  const std::vector<std::unique_ptr<ControllerHost>>& hosts() const { return hosts_; }
  ControllerHost& random_host() { return *environment_.simulation.random_element(hosts_); }
  /// Returns null if there is no host with that name.
  ControllerHost* find(const std::string& host);
  /// Returns the host whose controller leads the most machines.
  ControllerHost& host_with_most_machines();

  /// Sends a user's request to a controller; `reaction` receives the reply or null.
  void send_user_request(ControllerHost& host, const UserRequest& request, const UserReaction& reaction);
  /// Delivers a heartbeat to a controller. Its reply is dropped if `reaction` is empty.
  void deliver_heartbeat(ControllerHost& host, const std::string& body, HeartbeatReaction reaction);
  void deliver_admin_request(ControllerHost& host, const AdminRequest& request);

  /// Reports the start commands among `commands` to the checker, which detects starts of cancelled jobs.
  void report_starts_to_checker(const std::vector<Command>& commands);
  /// Returns the number of proposals that were awarded.
  std::uint64_t award_count() const;
  /// Returns how often the incrementally updated sums of a shard differed from freshly computed ones.
  std::size_t inconsistent_sum_count() const { return inconsistent_sum_count_; }

 private:
  /// A request from a controller to another host. It completes once, with the response or at the timeout.
  template <class Response>
  struct Call {
    ControllerHost* host;
    std::uint64_t incarnation;
    std::string to;
    Micros timeout;
    std::function<Response()> serve;
    std::function<void(Controller&, const Response&)> complete;
    bool completed = false;
  };
  template <class Response>
  using SharedCall = std::shared_ptr<Call<Response>>;

  void start(ControllerHost& host);
  void tick(ControllerHost& host, std::uint64_t incarnation);
  /// Delivers an event to the process with that incarnation, after a pause if the process is paused. Drops
  /// the event if that process has ended.
  void deliver(ControllerHost& host, std::uint64_t incarnation, const Event& event);
  /// Performs the actions that the core has produced.
  void perform_actions(ControllerHost& host, std::uint64_t incarnation);
  /// Returns the current value of the host's steady clock.
  Micros steady_time(const ControllerHost& host) const;

  void perform(ControllerHost& host, const StoreCall& action);
  void perform(ControllerHost& host, const CloudCall& action);
  void perform(ControllerHost& host, const WorkerCall& action);
  void perform(ControllerHost& host, const PeerSend& action);
  void perform(ControllerHost& host, const AnswerUser& action);
  void perform(ControllerHost& host, const AnswerHeartbeat& action);
  void perform(ControllerHost& host, const AnswerAdmin& action);
  void perform(ControllerHost& host, const LogLine& action);

  /// Times the call out for the controller, and executes the transaction later, after newer ones.
  void execute_transaction_late(ControllerHost& host, const StoreCall& action);
  StoreResponse serve_store(const std::string& host, const StoreRequest& request);
  CommandResponse serve_commands(const std::string& sender, const std::string& machine,
                                 const std::string& body);
  /// Returns the shard of a machine that this controller leads; empty if it leads none with the machine.
  std::string shard_led_by(const std::string& host, const std::string& machine);

  /// Sends a request and schedules its timeout.
  template <class Response>
  void call(Call<Response> call);
  /// Serves a request that has arrived, and sends the response back.
  template <class Response>
  void serve(const SharedCall<Response>& call);
  /// Delivers the response to the controller, unless the call has completed already.
  template <class Response>
  void complete(const SharedCall<Response>& call, const Response& response);

  Environment& environment_;
  SimulatedMachines& machines_;
  SimulatedNetwork& network_;
  ActionObserver observer_;
  std::vector<std::unique_ptr<ControllerHost>> hosts_;
  std::uint64_t started_processes_ = 0;          ///< number of processes started so far
  std::uint64_t awards_by_ended_processes_ = 0;  ///< awards made by processes that have ended
  std::size_t inconsistent_sum_count_ = 0;
};

}  // namespace bendtide::sim
