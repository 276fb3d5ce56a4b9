// The core at the size of a large deployment, measured in counts: what one event costs must not grow with the
// number of machines and jobs. Counted are allocations, which repeat exactly, and calls to the key-value
// store.

#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "core/controller/controller.h"
#include "sim/simulated_cluster.h"

namespace {
std::size_t allocations = 0;
}

[[gnu::noinline]] void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  ++allocations;
  return std::malloc(size);
}
[[gnu::noinline]] void* operator new(std::size_t size) {
  if (void* p = operator new(size, std::nothrow)) return p;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* p) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, std::size_t) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, const std::nothrow_t&) noexcept { std::free(p); }

namespace bendtide::sim {
namespace {

constexpr std::uint32_t kTasksOfAMachine = 4;

/// One controller with machines that run arrays; its key-value store and cloud respond at once.
class LargeController {
 public:
  explicit LargeController(int machines)
      : settings_(settings()),
        store_(settings_),
        cloud_({{"type", {8000, 0, 64000}, 50, 0.8, 0.5, 0.1, seconds(30), {"east", "west"}}},
               machines == 0 ? 2000 : 0, [](SimulatedCloud::Machine&) {}),
        core_(std::make_unique<Controller>(settings_, "life", 1)) {
    pass(3);
    for (int i = 0; i < machines; ++i) machines_.push_back("n-" + std::to_string(1000 + i));
    for (int round = 0; round < 3; ++round) {
      send_all_heartbeats();
      pass(2);
    }
    for (int i = 0; i * 10 < machines; ++i) submit(i, 10 * kTasksOfAMachine);
    for (int round = 0; round < 4; ++round) {
      pass(2);
      send_all_heartbeats();
    }
  }

  std::size_t running() const {
    std::size_t n = 0;
    for (const auto& [name, tasks] : tasks_) n += tasks.size();
    return n;
  }
  std::size_t store_calls() const { return store_calls_; }
  std::size_t too_large() const { return store_.too_large(); }
  std::size_t cloud_calls() const { return cloud_calls_; }
  std::size_t deleted() const { return deleted_; }
  std::size_t machines_created() { return cloud_.machines().size(); }
  /// Shards that know what is on all their machines.
  std::size_t reconciled_shards() const {
    std::size_t n = 0;
    for (const auto& [name, shard] : core_->state().shards)
      n += shard.ready() && shard.all_reconciled() && !shard.has_unreconciled_jobs ? 1 : 0;
    return n;
  }
  /// Another process in place of this one.
  void restart() { core_ = std::make_unique<Controller>(settings_, "next life", 2); }

  void submit(int number, std::uint32_t tasks) {
    JobSpec spec;
    spec.id = "run-" + std::to_string(100000 + number);
    spec.team = "team";
    spec.job_class = "class";
    spec.tasks = tasks;
    spec.task_resources = {2000, 0, 4000};
    spec.image = "image";
    spec.image_gb = 1;
    spec.estimated_task_duration = seconds(1000);
    const std::uint64_t request = ++request_;
    event([&] { core_->on_submit(request, spec); });
  }
  Heartbeat heartbeat_of(const std::string& name) {
    Heartbeat r;
    r.machine = name;
    r.address = name + ":1";
    r.type = "type";
    r.zone = zone_of(name);
    r.incarnation = 1;
    r.sequence_number = ++sequence_;
    r.fencing_token = token_[name];
    r.tasks = tasks_[name];
    return r;
  }
  void send_heartbeat(const std::string& name) {
    const Heartbeat r = heartbeat_of(name);
    sender_ = name;
    const std::uint64_t request = ++request_;
    event([&] { core_->on_heartbeat(request, r); });
  }
  void send_all_heartbeats() {
    for (const std::string& name : machines_) send_heartbeat(name);
  }
  void poll(int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    const std::uint64_t request = ++request_;
    event([&] { core_->on_poll(request, id); });
  }
  /// The HTTP status of a response to a poll that arrives just before the process hangs for a while.
  int poll_status_after(Micros hang, int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    core_->set_clocks(now_, now_ + seconds(1'000'000));
    core_->on_poll(++request_, id);
    int status = 0;
    for (const Action& action : core_->take_actions(now_ + hang))
      if (const auto* response = std::get_if<AnswerUser>(&action)) status = response->reply.status;
    return status;
  }
  /// Lets seconds go by.
  void pass(int span) {
    for (int i = 0; i < span * 20; ++i) {
      now_ += millis(50);
      event([&] { core_->tick(); });
    }
  }
  template <class F>
  std::size_t allocations_of(int times, F&& what) {
    const std::size_t before = allocations;
    for (int i = 0; i < times; ++i) what(i);
    return (allocations - before) / static_cast<std::size_t>(times);
  }
  std::string cut_zone;  ///< whose machines take no commands
  /// Every third machine is in the other zone.
  static std::string zone_of(const std::string& name) {
    return std::stoi(name.substr(2)) % 3 == 0 ? "west" : "east";
  }
  const std::string& machine(int i) const {
    return machines_[static_cast<std::size_t>(i) % machines_.size()];
  }

 private:
  static Settings settings() {
    Settings s = settings_for();
    s.host = "node-0";
    s.zone = "east";
    s.teams = {{"team", {100'000'000, 0}, {100'000'000, 0}}};
    s.store_requests_per_s = s.store_writes_per_s = 1e6;
    s.sockets = 3000;
    return s;
  }
  template <class F>
  void event(F&& f) {
    core_->set_clocks(now_, now_ + seconds(1'000'000));
    f();
    for (auto actions = core_->take_actions(now_); !actions.empty(); actions = core_->take_actions(now_))
      for (Action& action : actions) perform(action);
  }
  void execute(const std::string& name, FencingToken fencing_token, const std::vector<Command>& commands) {
    token_[name] = std::max(token_[name], fencing_token);
    std::vector<TaskStatus>& tasks = tasks_[name];
    for (const Command& command : commands)
      if (command.kind == Command::Kind::start &&
          std::none_of(tasks.begin(), tasks.end(),
                       [&](const TaskStatus& task) { return task.attempt == command.attempt; }))
        tasks.push_back({command.task, command.attempt, TaskPhase::running, {}});
  }
  void perform(Action& action) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      ++store_calls_;
      const Response r = store_.handle(wire::request_of(call->request), now_);
      core_->on_store_response(call->call, wire::parse_store_response(call->request, r.status, r.body));
    } else if (auto* cloud_call = std::get_if<CloudCall>(&action)) {
      ++cloud_calls_;
      if (auto* deletion = std::get_if<DeleteMachines>(&cloud_call->request))
        deleted_ += deletion->machines.size();
      const Response r = cloud_.handle(wire::request_of(cloud_call->request), now_);
      core_->on_cloud_response(cloud_call->call,
                               wire::parse_cloud_response(cloud_call->request, r.status, r.body));
    } else if (auto* reply = std::get_if<AnswerHeartbeat>(&action)) {
      if (reply->reply.status == 200) execute(sender_, reply->reply.fencing_token, reply->reply.commands);
    } else if (auto* pushed = std::get_if<WorkerCall>(&action)) {
      const std::string name = pushed->request.address.substr(0, pushed->request.address.find(':'));
      if (zone_of(name) == cut_zone) return core_->on_command_response(pushed->call, {});
      execute(name, pushed->request.fencing_token, pushed->request.commands);
      core_->on_command_response(pushed->call, {CommandResponse::Outcome::executed, heartbeat_of(name)});
    }
  }

  Settings settings_;
  SimulatedKeyValueStore store_;
  SimulatedCloud cloud_;
  std::unique_ptr<Controller> core_;
  Micros now_{seconds(1)};
  std::vector<std::string> machines_;
  std::map<std::string, std::vector<TaskStatus>> tasks_;
  std::map<std::string, FencingToken> token_;
  std::string sender_;
  std::uint64_t request_ = 0, sequence_ = 0;
  std::size_t store_calls_ = 0, cloud_calls_ = 0, deleted_ = 0;
};

// Machines behind a network cut were once decommissioned as idle, and at its end as silent, if the heartbeats
// of others came first.
TEST(CutZone, ItsMachinesAreKeptDuringAndAfterTheCut) {
  for (const bool restarted : {false, true}) {
    LargeController state(60);
    for (int i = 0; i < 70; ++i) {
      state.pass(1);
      state.send_all_heartbeats();
    }
    auto send_heartbeats_of_zone = [&](const std::string& zone, int first, int last) {
      for (int i = first; i < last; ++i)
        if (LargeController::zone_of(state.machine(i)) == zone) state.send_heartbeat(state.machine(i));
    };
    state.cut_zone = "west";
    for (int i = 0; i < 45; ++i) {
      state.pass(1);
      if (i == 30 && restarted) state.restart();
      send_heartbeats_of_zone("east", 0, 60);
    }
    state.cut_zone.clear();
    // The cut is over, and the heartbeats of most of the zone's workers come before those of the others.
    send_heartbeats_of_zone("west", 0, 40);
    state.pass(1);
    send_heartbeats_of_zone("west", 0, 40);
    state.pass(3);
    EXPECT_EQ(state.deleted(), 0u) << restarted;
  }
}

// The lease may have expired, and another leader may have acted meanwhile.
TEST(Hang, APollIsNotAnsweredFromStateThatMayBeOutOfDate) {
  LargeController state(30);
  EXPECT_EQ(state.poll_status_after(millis(10), 0), 200);
  EXPECT_EQ(state.poll_status_after(seconds(5), 0), 503);
}

// Half again as many machines as in the largest deployment.
constexpr int kSmall = 30, kLarge = 1700;

TEST(Size, AllocationsOfOneEventDoNotGrowWithTheNumberOfMachines) {
  LargeController small(kSmall), large(kLarge);
  ASSERT_EQ(small.running(), kSmall * kTasksOfAMachine);
  ASSERT_EQ(large.running(), kLarge * kTasksOfAMachine);
  const std::size_t heartbeat_small =
      small.allocations_of(30, [&](int i) { small.send_heartbeat(small.machine(i)); });
  const std::size_t heartbeat_large =
      large.allocations_of(30, [&](int i) { large.send_heartbeat(large.machine(i)); });
  EXPECT_LE(heartbeat_large, heartbeat_small * 3 / 2) << heartbeat_small;
  const std::size_t poll_small = small.allocations_of(3, [&](int i) { small.poll(i); });
  const std::size_t poll_large = large.allocations_of(3, [&](int i) { large.poll(i); });
  EXPECT_LE(poll_large, poll_small * 3 / 2) << poll_small;
}

TEST(Size, ManyMachinesAndJobsAreRecordedInFewStoreCalls) {
  LargeController large(kLarge);
  // 1,700 machines in blocks of a value's size and 170 jobs, with the regular reading of twenty seconds.
  EXPECT_LE(large.store_calls(), 500u);
  EXPECT_EQ(large.too_large(), 0u);
}

// A restarted process reads everything once, and sends every machine its fencing token without waiting for
// heartbeats.
TEST(Size, AFailoverReadsInFewStoreCalls) {
  LargeController large(kLarge);
  const std::size_t before = large.store_calls();
  large.restart();
  large.pass(3);
  EXPECT_EQ(large.reconciled_shards(), 1u);
  EXPECT_LE(large.store_calls() - before, 40u);
}

// A pass visits every job that waits, and the machines only as far as they have free capacity.
TEST(Size, AllocationsOfAPassGrowNoFasterThanTheWaitingJobs) {
  LargeController large(kLarge);
  auto of_a_pass = [&](int first, int jobs) {
    for (int i = 0; i < jobs; ++i) large.submit(first + i, 40);
    large.pass(1);
    return large.allocations_of(1, [&](int) { large.pass(1); });
  };
  const std::size_t few = of_a_pass(10'000, 20), many = of_a_pass(20'000, 180);
  // Ten times as many jobs wait.
  EXPECT_LE(many, few * 12) << few;
}

// Machines for thousands of waiting tasks are created in calls of the largest size, not one by one.
TEST(Size, HundredsOfMachinesAreCreatedInFewCloudCalls) {
  LargeController large(0);
  for (int i = 0; i < 100; ++i) large.submit(10'000 + i, 40);
  large.pass(30);
  EXPECT_GE(large.machines_created(), 900u);
  EXPECT_LE(large.cloud_calls(), 40u);
  // Nothing can be on them while they boot: another leader need not reconcile them.
  large.restart();
  large.pass(3);
  EXPECT_EQ(large.reconciled_shards(), 1u);
}

}  // namespace
}  // namespace bendtide::sim
