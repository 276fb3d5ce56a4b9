// One simulated day: controllers' cores, stand-ins, a network that cuts and delays, users and troubles; on a
// virtual clock, and the same every time for the same seed.
#pragma once

#include "core/controller/controller.h"
#include "sim/services.h"

namespace bendtide::sim {

/// A planted fault, for seeing that the checkers see.
enum class PlantedDefect {
  none,
  start_twice,       ///< a start order goes to a second machine as well
  ignore_quota,      ///< every limit that the controllers know of is ten times the real one
  start_anywhere,    ///< a start order for a job bound to a zone goes to the other zone
  keep_cancelled,    ///< stop commands are lost
  deny_jobs,         ///< polls for accepted jobs are answered 404
  confirm_anything,  ///< polls for unknown jobs are answered 200
  call_done_early,   ///< running jobs are called done
  take_back,         ///< jobs that are done are called running
  start_nothing,     ///< start commands are lost
  starve_team,       ///< start commands for one team's jobs are lost
  starve_large,      ///< start commands for large jobs are lost
  ignore_one,        ///< polls for one job get no answer
  start_cancelled,   ///< where a task is told to stop, it is started once more
  accept_unfit       ///< submissions that can never run are called accepted
};

/// Kinds of trouble; those of a day are drawn from all, or it has one kind only.
enum class FaultKind {
  crash,
  crash_all,
  lose_state,            ///< one controller
  lose_workers,          ///< one controller
  lose_peers,            ///< one controller
  lose_state_and_peers,  ///< one controller, which still has its workers
  state_outage,
  state_slow,
  state_flicker,
  machine_dies,
  machine_hangs,
  machine_sick,
  machine_cut,
  machine_deaf,      ///< its heartbeats arrive, but neither answers nor commands reach it
  machine_restarts,  ///< back at once, with nothing on it
  cloud_outage,
  zones_apart,
  peers_refuse,
  controller_freezes,   ///< stands still, perhaps between a decision and its sending, while its clock runs on
  state_refuses,        ///< one controller, with 503
  zone_cut,             ///< from everything
  machine_hangs_on,     ///< for less or for more than its lease
  machines_boot_badly,  ///< late or never, for a while
  late_transactions,    ///< a share gets no answer, and is carried out 2 to 12 s later, after newer ones
  late_reports,         ///< copies of a share arrive from 2 s to well over a lease later
  machines_mute,        ///< they reach no controller, while commands reach them
  cancel_now,           ///< users call off jobs that run, all at once; their machines hang meanwhile
  meet_ends,            ///< users cancel, ask and submit again as the last task of their job ends
  state_answers_late,   ///< a share of the key-value store's answers comes up to a second after the request
                        ///< was served
  count
};

/// A trouble at a set moment. The rest of a day's are drawn.
struct ScheduledFault {
  Micros at{0};
  FaultKind kind = FaultKind::crash;
  Micros span = seconds(10);  ///< how long it lasts; for a crash, until the process is back
  int node = 0;       ///< of the kinds that strike one controller; kLeader: the one with most machines
  int count = 1;      ///< machines with most tasks, or jobs
  bool hold = false;  ///< a cut holds what is sent back and delivers it at its end
};
constexpr int kLeader = -1;

struct FaultScenario {
  std::uint64_t seed = 1;
  bool troubles = true;
  PlantedDefect planted_defect = PlantedDefect::none;
  Micros trouble_from = seconds(20);
  Micros trouble_until = seconds(150);
  Micros end = seconds(330);
  int jobs = 24;
  bool rush = false;            ///< all jobs come at once
  bool hasty_users = false;     ///< small jobs, asked about everywhere, submitted again and cancelled at once
  std::vector<FaultKind> only;  ///< the kinds that it has; none: all
  std::vector<ScheduledFault> faults;  ///< if there are any, they are all that happens
  bool zone_bound = false;             ///< every array has a rule of zones
  bool long_tasks = false;             ///< of a minute or two, in arrays of a few tasks and more
  bool odd_requests = false;           ///< users submit what can never run
  bool tight_limits = false;           ///< teams are at their limit for most of the day
  /// All kinds, a controller in each zone, and late copies of calls to the key-value store; without, as days
  /// were before there was any of this.
  bool wide = true;
  bool slow_reports = false;  ///< so that a deaf machine is heard before it counts as silent
  bool deaf_for_good = false;
  bool small_values = false;   ///< the key-value store takes little at once
  bool operators_ask = false;  ///< operators read every page of the administration API now and then
  bool verbose = false;        ///< prints the controllers' logs and the troubles
};

Settings settings_for(const FaultScenario& plan = {});

class SimulatedCluster {
 public:
  /// Called with every action of a controller, right before it is performed.
  using ActionObserver = std::function<void(const std::string& host, const Action& action)>;

  explicit SimulatedCluster(const FaultScenario& plan);
  void observe(ActionObserver observer) { observer_ = std::move(observer); }
  void play();

  const Checker& checker() const { return checker_; }
  /// What should have been reached by the end of the day and was not.
  std::vector<std::string> unfinished() const;
  const StateService& state() const { return state_; }
  std::uint64_t awards() const;
  /// Jobs that have waited for room for a while, and for which no machine is to be rented yet.
  std::set<std::string> passed_over() const;
  /// Machines that nothing reaches, still there at the end.
  std::size_t deaf_machines();
  /// The most tasks that failed on one machine.
  std::size_t most_failures() const { return most_failures_; }
  /// How often something happened that a meeting is about, by name.
  std::size_t seen(const std::string& what) const {
    auto it = seen_.find(what);
    return it == seen_.end() ? 0 : it->second;
  }
  /// How often a shard's sums differed from what they stand for.
  std::size_t wrong_sums() const { return wrong_sums_; }

 private:
  struct Node {
    std::string host;
    std::unique_ptr<Controller> core;
    bool up = false;
    std::uint64_t life = 0;
    double drift = 0;
    Micros offset{0};
    std::uint64_t next_request = 1;
    std::string zone = "east";
    Micros frozen_until{0};
    Micros freezes_for{0};  ///< in the middle of the next event
    std::map<std::uint64_t, std::function<void(const UserReply&)>> users;
    std::map<std::uint64_t, std::function<void(const HeartbeatReply&)>> workers;
  };
  struct User {
    JobSpec spec;
    Micros submit_at{0};
    std::optional<Micros> cancel_at;
    bool accepted = false;
    bool over = false;
    bool cancelling = false;
    bool end_met = false;
    bool hurried = false;
    std::optional<JobPhase> last;
  };

  void at(Micros when, std::function<void()> what) {
    events_.emplace(std::pair(when, ++order_), std::move(what));
  }
  void after(Micros span, std::function<void()> what) { at(now_ + span, std::move(what)); }
  std::string a_machine();
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }

  // The network.
  void send(const std::string& from, const std::string& to, std::function<void()> deliver);
  void deliver(const std::string& to, std::function<void()> what, const std::string& from);
  void when_awake(const std::string& to, const std::function<void()>& what);
  void cut(const std::string& a, const std::string& b, bool hold, Micros span);
  bool is_cut(const std::string& a, const std::string& b) const;

  // Controllers.
  void start(Node& node);
  void crash(Node& node, Micros back_in);
  void on_node(Node& node, std::uint64_t life, const std::function<void(Controller&)>& event);
  Micros steady(const Node& node) const;        ///< its own clock
  void finish(Node& node, std::uint64_t life);  ///< performs what the last event led to
  void perform(Node& node, Action action);
  void count_starts(const std::vector<Command>& orders);
  void tick(Node& node, std::uint64_t life);
  /// A call over the network with an answer or a time-out.
  template <class Answer>
  void call(Node& node, const std::string& to, Micros within, std::function<Answer()> serve,
            std::function<void(Controller&, const Answer&)> done);

  /// Orders as a planted fault lets them through.
  template <class WithOrders>
  WithOrders with_planted_defect(WithOrders message) const;

  // Workers and users.
  void boot(Cloud::Machine& machine);
  void machines_step();
  void report(Cloud::Machine& machine);
  using Question = std::function<void(Controller&, std::uint64_t)>;
  using Reaction = std::function<void(const UserReply*)>;
  void submit(User& user, Micros since);
  void poll(User& user);
  void cancel(User& user);
  void hurry(User& user);
  void look_closely(User& user);
  void ask(const Question& question, const Reaction& answer);
  void ask_at(Node& node, const Question& question, const Reaction& answer);
  Node& node_for_user();
  void ask_about_nothing();
  void ask_as_operator();
  void trouble();
  void start(FaultKind kind);
  void inject(FaultKind kind, const ScheduledFault* planned);
  Node& leader();
  std::vector<std::string> busiest_machines(int count);
  void cancel_some(int count, Micros machines_hang);
  void meet_ends();
  void look_for_neglect();
  void calm();
  /// Some messages come a second time, much later, whatever has become of both ends.
  void copy_later(std::function<void()> deliver);
  void make_users();

  FaultScenario plan_;
  ActionObserver observer_;
  Settings settings_;
  std::mt19937_64 random_;
  Micros now_{0};
  std::uint64_t order_ = 0;
  std::multimap<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
  Checker checker_;
  StateService state_;
  Cloud cloud_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<User>> users_;
  std::map<std::string, JobSpec> specs_;
  struct Cut {
    bool hold;
    std::vector<std::function<void()>> parked;
  };
  std::map<std::pair<std::string, std::string>, Cut> cuts_;
  double state_slowness_ = 1;
  std::set<std::string> refused_hosts_;  ///< by the key-value store
  Micros boots_badly_until_{0};
  Micros transactions_late_until_{0};
  Micros reports_late_until_{0};
  Micros ends_met_until_{0};
  Micros answers_late_until_{0};
  bool state_out_ = false;
  std::map<std::string, std::size_t> seen_;
  std::size_t most_failures_ = 0;
  std::size_t wrong_sums_ = 0;
  std::uint64_t lives_ = 0;
  std::uint64_t awards_ = 0;
};

}  // namespace bendtide::sim
