// Stand-ins for the second review: the state service, the cloud, workers, users and the links between
// controllers, as PROTOCOL describes them, and the controllers as real processes. Everything listens on
// loopback and on the real clock. One mutex protects all of it; each server and each worker has threads of
// its own.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace world {

using nlohmann::json;

/// Seconds since the start of the program.
double now();
void sleep_s(double seconds);

struct Request {
  std::string method;
  std::string target;
  std::string body;
};
struct Response {
  int status =
      0;  ///< 0: none arrived in time, or the connection failed. A handler closes the connection with 0.
  std::string body;
};

/// Sends one request on a connection of its own.
Response http_call(int port, const Request& request, double timeout_s);

/// An HTTP server on 127.0.0.1, with a thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit Server(Handler handler);
  int port() const { return port_; }

 private:
  void accept_connections() const;
  void serve(int fd) const;
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

/// Forwards connections to a port on loopback. While it is cut, bytes are held, and are delivered in order
/// when the cut ends.
class Link {
 public:
  explicit Link(int target);
  int port() const { return port_; }
  std::atomic<bool> cut{false};

 private:
  void accept_connections();
  void pump(int from, int to);
  int target_;
  int fd_ = -1;
  int port_ = 0;
};

struct TeamSettings {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
};

struct HullSettings {
  std::string label;
  double cpus = 0;
  double mem_gb = 0;
  double fetch_gb_per_s = 1;
  double hourly = 1;
  double ready_s = 20;
  std::vector<std::string> berths;
};

/// The settings of a deployment, as in the settings file of DEPLOY.
struct Deployment {
  std::vector<std::string> domains = {"bkk-a", "bkk-a", "bkk-a"};  ///< of each controller
  std::vector<std::string> zones = {"bkk-a"};
  std::vector<TeamSettings> teams;
  std::vector<HullSettings> hulls;
  double report_s = 1.5;
  double lease_s = 12;
  double cancel_s = 42;
  double state_rps = 200;
  double write_rps = 60;
  double value_kb = 16;
  int txn_ops = 12;
  double cloud_rps = 2;
  double list_lag_s = 10;
  int sockets = 800;
  double boot_s = 2;  ///< how long a rented machine takes to come up
  /// How many machines the cloud rents; further requests are refused with "no capacity".
  int rentable = 1000;
  int spot_rentable = 1000;  ///< how many of these may be spot machines
};

/// Allows `rate` amounts a second, in bursts worth `burst_s` seconds.
class Bucket {
 public:
  Bucket(double rate, double burst_s) : rate_(rate), limit_(rate * burst_s), level_(limit_) {}
  bool take(double amount);

 private:
  double rate_;
  double limit_;
  double level_;
  double at_ = 0;
};

class World;

/// The state service. Each controller has a port of its own, so that it can be cut off or refused alone.
class StateService {
 public:
  explicit StateService(World& world);
  int port(int controller) const;
  void set_outage(bool on);  ///< every controller gets 503; afterwards every lease has its full time again
  std::vector<std::unique_ptr<Link>> links;  ///< by controller
  /// Called for each transaction before it is executed. Returns an answer to give instead, if any.
  std::function<std::optional<Response>(int controller, const json& transaction)> intercept;
  std::function<std::optional<Response>(int controller, const Request& request)> intercept_any;

 private:
  struct Entry {
    json value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double ends_at = 0;
  };
  Response serve(int controller, const Request& request);
  Response read(const std::string& target);
  Response list(const std::string& target);
  Response multi(const json& transaction);
  void expire();

  World& world_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t epoch_ = 0;
  std::uint64_t next_lease_ = 1;
  bool outage_ = false;
  Bucket requests_;
  Bucket writes_;
};

/// One machine and its worker.
class Machine {
 public:
  Machine(World& world, std::string name, const HullSettings& hull, std::string zone, bool spot,
          double up_at);
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const HullSettings& hull() const { return hull_; }
  std::string address() const;
  bool spot() const { return spot_; }
  bool is_up() const;
  bool is_dead() const { return dead_at_ >= 0; }
  double rented_at() const { return rented_at_; }
  double dead_at() const { return dead_at_; }
  void die();  ///< it stops with all that is on it, without a word
  double free_cpus() const;
  bool holds(const std::string& job) const;  ///< some task of the job is on it, fetching or running
  std::size_t tasks_on_it() const;
  std::atomic<bool> fails_tasks{false};
  int failures() const { return failures_; }  ///< number of tasks that failed on it

 private:
  struct Task {
    std::string phase;  ///< pulling, running, flushing, ended
    std::string cause;
    double ends_at = 0;  ///< of the phase
  };
  using Key = std::pair<std::string, std::uint64_t>;  ///< task and attempt
  void run();
  void advance();
  void lose_tasks();
  void send_report();
  json report();
  Response on_orders(const Request& request);
  void execute(const json& orders, const std::string& by);
  Task start(const std::string& task);
  void stop(const Key& key, Task& task, double grace_s);
  void next_node(double delay_s);
  void end_on_machine(const Key& key, Task& task);

  World& world_;
  std::string name_;
  HullSettings hull_;
  std::string zone_;
  bool spot_;
  double rented_at_;
  double up_at_;
  double dead_at_ = -1;
  std::unique_ptr<Server> server_;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t watch_ = 1;
  std::uint64_t tick_ = 0;
  std::uint64_t baton_ = 0;
  double baton_counted_at_ = -1000;
  double lease_from_ = 0;
  double reported_at_ = -1000;
  double next_report_at_ = 0;
  double may_report_at_ = 0;
  bool changed_ = true;
  bool in_flight_ = false;
  int node_ = 0;
  int failures_ = 0;
};

/// The cloud and its machines.
class Cloud {
 public:
  explicit Cloud(World& world);
  int port() const { return server_->port(); }
  /// Adds a machine that is up at the start.
  Machine& add_running(const std::string& hull, const std::string& zone, int number);
  Machine* find(const std::string& name);
  std::vector<Machine*> machines();
  void start_serving();
  bool outage = false;

 private:
  Response serve(const Request& request);
  Response rent(const json& body);
  Response list(const std::string& target);
  const HullSettings* hull(const std::string& label) const;

  World& world_;
  std::unique_ptr<Server> server_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, double> gone_at_;
  std::map<std::string, std::string> rented_;  ///< answers by charter
  int next_number_ = 0;
  int rented_count_ = 0;
  int spot_count_ = 0;
  Bucket calls_;
};

/// A controller: one process of the program under test.
class Controller {
 public:
  Controller(World& world, int index);
  ~Controller() { kill(); }
  const std::string& host() const { return host_; }
  int api_port() const { return api_port_; }
  int internal_port() const { return internal_port_; }
  void write_settings() const;
  void start();
  void kill();
  void pause() const;
  void resume() const;
  bool running() const { return pid_ > 0; }
  /// Cuts it from the state service and from the other controllers, but not from users and workers.
  void cut_from_state_and_peers(bool on);

 private:
  World& world_;
  int index_;
  std::string host_;
  int api_port_;
  int internal_port_;
  pid_t pid_ = -1;
};

/// A job as a user submits it, and how long its tasks really run.
struct Job {
  json body;
  double run_s = 1;
};

/// What a user sent and was told.
struct Answer {
  int status = 0;
  std::string phase;
  json body;
  double sent_at = 0;
  double at = 0;
};

class World {
 public:
  World(Deployment deployment, const std::string& program, const std::string& folder,
        const std::string& record);
  ~World();
  void start();  ///< starts all controllers
  bool wait_until_healthy(double timeout_s);

  /// Writes one line to the record.
  void note(const std::string& line);

  // ---- users
  static json job_body(int number, const std::string& team, const std::string& shape, int tasks, double cpus);
  Answer submit(int controller, const Job& job);
  /// Submits until the job is accepted or `timeout_s` is over.
  bool submit_until_accepted(int controller, const Job& job, double timeout_s);
  Answer poll(int controller, const std::string& job);
  Answer cancel(int controller, const std::string& job);
  bool cancel_until_confirmed(int controller, const std::string& job, double timeout_s);

  // ---- what is on machines
  bool is_on_a_machine(const std::string& job);
  std::size_t tasks_on_machines(const std::string& job);
  /// Waits until the condition holds; false if it does not in time. The condition is called with the lock
  /// held.
  bool wait_for(const std::function<bool()>& condition, double timeout_s);
  double cpus_used_by_team(const std::string& team);

  /// A `run` that a worker received.
  struct Start {
    std::string task;
    std::string machine;
    std::string by;       ///< "reply" or "orders"
    double asked_at = 0;  ///< when the report that it answers was sent; of `orders`: when it arrived
    double at = 0;
  };
  std::vector<Start> starts;
  std::set<std::string> completed;  ///< tasks whose result is kept
  std::map<std::string, std::set<std::string>>
      on_machines;  ///< machines by task, from the image's arrival on
  std::map<std::string, Job> jobs;

  Deployment deployment;
  std::string program;
  std::string folder;
  std::recursive_mutex mutex;
  std::mt19937_64 random{std::random_device{}()};
  std::unique_ptr<StateService> state;
  std::unique_ptr<Cloud> cloud;
  std::vector<std::unique_ptr<Controller>> controllers;
  /// The links between controllers, by sender and receiver.
  std::map<std::pair<int, int>, std::unique_ptr<Link>> peer_links;

 private:
  Answer ask(int controller, const std::string& method, const std::string& target, const std::string& body,
             double timeout_s);
  std::ofstream record_;
  std::mutex record_mutex_;
};

/// The arguments of a case, from its command line: PROGRAM FOLDER RECORD TROUBLE.
struct Arguments {
  std::string program;
  std::string folder;
  std::string record;
  bool trouble = true;
};
Arguments parse(int argc, char** argv);

/// Ends the case with 0 (the rule held), 1 (it was broken) or 2 (the case could not run), and all processes
/// with it.
[[noreturn]] void finish(World& world, int status, const std::string& why);

}  // namespace world
