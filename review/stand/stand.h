// Stand-ins for the state service, the cloud, the workers and the users of a small deployment, on loopback
// and the real clock. The controllers are the project's own program, started as processes of their own.
#pragma once

#include <sys/types.h>

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http_call.h"
#include "http_server.h"
#include "link_proxy.h"
#include "sim/simulated_key_value_store.h"

namespace review {

using bendtide::Micros;
using bendtide::seconds;
using bendtide::io::Task;
using nlohmann::json;

constexpr int kControllers = 3;

/// What a script of the review exits with.
enum Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

struct Team {
  std::string name;
  double cpus = 0;      ///< guaranteed
  double cpus_max = 0;  ///< 0: none
};

/// The deployment: the settings of the controllers and the limits of the services outside.
struct Site {
  std::vector<std::string> zones{"bkk-a"};
  std::vector<std::string> controller_zones{"bkk-a", "bkk-a", "bkk-a"};
  std::vector<Team> teams;
  double report_s = 1.5;
  double lease_s = 12;
  double cancel_s = 42;
  double state_rps = 200;
  double state_write_rps = 60;
  std::size_t value_kb = 16;
  std::size_t txn_ops = 12;
  double cloud_rps = 2;
  double list_lag_s = 10;
  int sockets = 800;
  std::string more_settings;  ///< further tables of the settings file
};

/// A type of machines in the cloud.
struct Hull {
  std::string label;
  double cpus = 16;
  double mem_gb = 64;
  double hourly = 0.77;
  double ready_s = 20;  ///< as published
  double boot_s = 1.5;  ///< what it really takes ("at times machines are up within a second or two")
  int capacity = 0;     ///< ordinary machines of the type that can exist at once, over all zones
  std::vector<std::string> berths{"bkk-a"};
  int spot_capacity = 0;  ///< the same for cheap (spot) machines
};

struct JobState {
  json body;          ///< as submitted
  double run_s = -1;  ///< how long a task runs; negative: until finish_task()
  bool accepted = false;
  Micros accepted_at{0};
  std::string phase;                ///< in the last answer with status 200 or 201
  std::optional<Micros> cancelled;  ///< when an answer told that the job is cancelled
  std::optional<Micros> done;       ///< when an answer told that the job is done
};

/// A task on a machine, from the moment it has its image until it exits or is gone.
struct Run {
  std::string task;
  std::string machine;
  Micros from{0};
  std::optional<Micros> to;
  std::string end;  ///< why it ended
};

class Stand;

/// One machine with its worker (PROTOCOL, "Workers -> controller nodes").
class Worker {
 public:
  Worker(Stand& stand, std::string name, std::string hull, std::string berth, std::string address);
  void start();
  /// Ends the worker, because its machine is deleted or dies.
  void stop(const std::string& why);
  /// Lets the task complete if it runs here.
  void finish_task(const std::string& task);
  bool runs(const std::string& task) const;
  double free_cpus() const;
  std::size_t active_tasks() const;
  const std::string& name() const { return name_; }
  const std::string& hull() const { return hull_; }
  const std::string& berth() const { return berth_; }
  const std::string& address() const { return address_; }
  bool stopped() const { return stopped_; }
  bool spot = false;  ///< a cheap machine
  /// Called with each report before it is sent; may be empty.
  std::function<void(const json&)> on_report;
  bool deaf = false;           ///< answers and direct commands do not reach it
  double command_delay_s = 0;  ///< direct commands are held up this long, unanswered, and then carried out

 private:
  using Key = std::pair<std::string, std::uint64_t>;
  struct Local {
    std::string phase;  // pulling, running, flushing, ended
    std::string cause;
    bool saved = false;
    Micros until{0};  ///< end of the phase; zero: none
    std::size_t run = 0;
  };
  json report();
  Task<> run_clock();
  Task<> run_reports();
  Task<> send_report();
  Task<bendtide::lab::HttpReply> serve(bendtide::http::Message request);
  void execute(const json& orders, const char* channel);
  void run_command(const Key& key);
  void kill_command(const Key& key, double wind_down_s);
  void begin_running(const Key& key, Local& local);
  void end(const Key& key, Local& local, const std::string& cause);
  void begin_session();
  void changed() { changed_ = true; }

  Stand& stand_;
  std::string name_, hull_, berth_, address_;
  std::uint64_t watch_ = 1;
  std::uint64_t tick_ = 0;
  std::uint64_t baton_ = 0;
  Micros lease_from_{0};
  Micros last_report_at_{-1'000'000'000};
  Micros next_report_at_{0};
  Micros token_change_reported_at_{-1'000'000'000};
  bool changed_ = true;
  bool in_flight_ = false;
  bool stopped_ = false;
  int node_ = 0;
  double pause_s_ = 1;
  std::map<Key, Local> tasks_;
  std::unique_ptr<bendtide::lab::HttpServer> server_;
};

struct Answer {
  int status = 0;  ///< 0: none in time
  json body;
  std::string phase() const { return body.is_object() ? body.value("phase", "") : ""; }
};

class Stand {
 public:
  Stand(int argc, char** argv, Site site, std::vector<Hull> hulls);
  ~Stand();

  /// Whether the disruption takes place (TROUBLE is not 0).
  bool trouble() const { return trouble_; }
  /// Runs the scenario and returns its verdict.
  int run(const std::function<Task<int>()>& scenario);

  Micros now() const { return loop.now() - started_at_; }
  double now_s() const { return bendtide::in_seconds(now()); }
  void record(const std::string& line);
  Task<> sleep(double s);
  double random(double low, double high);

  // ---- controllers
  void write_settings(const Site& site, const std::string& name);
  /// Starts controller `i` with the settings file set `name`.
  void start_controller(int i, const std::string& name = "first");
  void kill_controller(int i);
  void signal_controller(int i, int signal);
  bool controller_runs(int i);
  /// Waits until all controllers answer GET /healthz with 200; false if they don't in time.
  Task<bool> wait_healthy(double limit_s);
  static std::string host(int i) { return "helm-" + std::to_string(i); }
  std::string api(int i) const { return "127.0.0.1:" + std::to_string(base_port_ + i); }

  // ---- state service
  /// Lowers the limits, without notice.
  void set_state_limits(std::size_t value_kb, std::size_t txn_ops, double write_rps);
  /// Cuts controller `i` from the state service, and from the other controllers; packets are held.
  void cut_from_state(int i, bool on);
  void cut_from_peers(int i, bool on);
  /// Called before each request; a status other than 0 is the answer, and the request is not executed.
  std::function<int(int controller, const std::string& target, const std::string& body)> state_fault;
  /// Called after each request that was executed, with its status.
  std::function<void(int controller, const std::string& target, const std::string& body, int status)>
      state_done;
  /// Called for each transaction: true if it gets no answer and is carried out late, by carry_out().
  std::function<bool(int controller, const std::string& body)> late_write;
  /// Called for each transaction: true if it is carried out at once and its answer is lost.
  std::function<bool(int controller, const std::string& body)> lost_answer;
  /// Carries out the transaction that was held back as number `number`, counted from 0.
  void carry_out(std::size_t number);
  struct LateWrite {
    int controller = 0;
    std::string body;
    Micros sent_at{0};
    bool carried_out = false;
  };
  std::vector<LateWrite> late_writes;

  // ---- cloud and machines
  Worker& add_machine(const std::string& hull, const std::string& berth);
  std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }
  Worker* worker_of(const std::string& task);
  void finish_task(const std::string& task);
  int refused_rentals = 0;

  // ---- jobs and users
  JobState& job(const std::string& uid) { return jobs_[uid]; }
  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  std::vector<Run> runs;
  std::size_t running(const std::string& uid) const;
  std::size_t completed(const std::string& uid) const;
  double usage(const std::string& team) const;
  /// A whole job with the usual values of the small deployments.
  static json job_body(const std::string& uid, const std::string& shape, const std::string& team, int tasks,
                       double cpus);
  Task<Answer> call(int controller, std::string method, std::string target, std::string body, double limit_s);
  /// Submits as PROTOCOL says (retries for 60 s), to one controller. Returns whether it was accepted.
  Task<bool> submit(std::string uid, int controller);
  Task<Answer> poll(std::string uid, int controller);
  /// Asks to cancel once.
  Task<Answer> cancel_once(std::string uid, int controller);
  /// Repeats the request until it gets an answer, for `limit_s`; with controllers[0], then the others.
  Task<bool> cancel(std::string uid, int controller, double limit_s);
  /// Waits until `condition` holds; false after `limit_s`.
  Task<bool> wait_for(std::function<bool()> condition, double limit_s);

  bendtide::io::Loop loop;

 private:
  friend class Worker;
  std::string folder_;
  std::string record_path_;
  Site site_;
  std::vector<Hull> hulls_;
  bool trouble_ = true;
  Micros started_at_{0};
  std::FILE* record_ = nullptr;
  std::mt19937_64 random_;
  int base_port_ = 0;
  std::string program_;
  std::array<pid_t, kControllers> pids_{};
  std::unique_ptr<bendtide::sim::SimulatedKeyValueStore> store_;
  std::vector<std::unique_ptr<bendtide::lab::HttpServer>> servers_;
  std::vector<std::unique_ptr<bendtide::lab::LinkProxy>> state_links_;
  std::map<std::pair<int, int>, std::unique_ptr<bendtide::lab::LinkProxy>> peer_links_;
  std::size_t value_bytes_ = 0;
  std::size_t txn_ops_ = 0;
  std::unique_ptr<bendtide::TokenBucket> lower_writes_;
  std::map<std::string, int> refused_transactions_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Worker>> gone_;
  struct Helm {
    std::string hull, berth, address;
    bool spot = false;
    Micros rented_at{0};
    bool up = false;
  };
  std::map<std::string, Helm> helms_;
  std::map<std::string, std::string> charters_;
  int next_helm_ = 1;
  std::map<std::string, JobState> jobs_;

  const Hull* hull(const std::string& label) const;
  std::string rent(const std::string& hull, const std::string& berth, bool spot);
  Task<> boot(std::string helm, double boot_s);
  Task<bendtide::lab::HttpReply> serve_state(int controller, bendtide::http::Message request);
  Task<bendtide::lab::HttpReply> serve_cloud(bendtide::http::Message request);
  void find_ports();
  int port(int offset) const { return base_port_ + offset; }
  std::string at(int offset) const { return "127.0.0.1:" + std::to_string(port(offset)); }
};

}  // namespace review
