// Tests that the controller core scales to a large deployment: the cost of one event must not grow with the
// number of machines and jobs. The cost is measured by counting allocations, whose number is the same in
// every run, and calls to the key-value store and the cloud.

#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "core/controller/controller.h"
#include "sim/simulated_cluster.h"

namespace {
std::size_t allocation_count = 0;  ///< number of calls of operator new in this process
}

[[gnu::noinline]] void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  ++allocation_count;
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

constexpr std::uint32_t kTasksPerMachine = 4;

/// A controller with machines that are fully occupied by array jobs. Its key-value store and cloud respond
/// immediately. With zero machines, the cloud has the capacity to create some; otherwise it has none.
class ControllerAtScale {
 public:
  explicit ControllerAtScale(int machines)
      : settings_(settings()),
        store_(settings_),
        cloud_({{"type", {8000, 0, 64000}, 50, 0.8, 0.5, 0.1, seconds(30), {"east", "west"}}},
               machines == 0 ? 2000 : 0, [](SimulatedCloud::Machine&) {}),
        core_(std::make_unique<Controller>(settings_, "life", 1)) {
    advance(3);
    for (int i = 0; i < machines; ++i) machines_.push_back("n-" + std::to_string(1000 + i));
    for (int round = 0; round < 3; ++round) {
      send_all_heartbeats();
      advance(2);
    }
    for (int i = 0; i * 10 < machines; ++i) submit(i, 10 * kTasksPerMachine);
    for (int round = 0; round < 4; ++round) {
      advance(2);
      send_all_heartbeats();
    }
  }

  /// Returns the number of running tasks.
  std::size_t running() const {
    std::size_t n = 0;
    for (const auto& [name, tasks] : tasks_) n += tasks.size();
    return n;
  }
  std::size_t store_calls() const { return store_calls_; }
  /// Returns the number of store requests rejected by a size limit.
  std::size_t oversized_requests() const { return store_.oversized_requests(); }
  std::size_t cloud_calls() const { return cloud_calls_; }
  /// Returns the number of machines that the controller has deleted.
  std::size_t deleted() const { return deleted_; }
  std::size_t machines_created() { return cloud_.machines().size(); }
  /// Returns the number of shards that are ready and have reconciled all their machines and jobs.
  std::size_t reconciled_shards() const {
    std::size_t n = 0;
    for (const auto& [name, shard] : core_->state().shards)
      n += shard.ready() && shard.all_reconciled() && !shard.has_unreconciled_jobs ? 1 : 0;
    return n;
  }
  /// Replaces the controller by a new process that has no state in memory.
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
    const std::uint64_t request = ++request_number_;
    deliver_event([&] { core_->on_submit(request, spec); });
  }
  Heartbeat heartbeat_of(const std::string& name) {
    Heartbeat heartbeat;
    heartbeat.machine = name;
    heartbeat.address = name + ":1";
    heartbeat.type = "type";
    heartbeat.zone = zone_of(name);
    heartbeat.incarnation = 1;
    heartbeat.sequence_number = ++sequence_number_;
    heartbeat.fencing_token = fencing_tokens_[name];
    heartbeat.tasks = tasks_[name];
    return heartbeat;
  }
  void send_heartbeat(const std::string& name) {
    const Heartbeat heartbeat = heartbeat_of(name);
    sender_ = name;
    const std::uint64_t request = ++request_number_;
    deliver_event([&] { core_->on_heartbeat(request, heartbeat); });
  }
  void send_all_heartbeats() {
    for (const std::string& name : machines_) send_heartbeat(name);
  }
  void poll(int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    const std::uint64_t request = ++request_number_;
    deliver_event([&] { core_->on_poll(request, id); });
  }
  /// Returns the HTTP status of the reply to a poll that arrives just before the process pauses for `pause`.
  int poll_status_after_pause(Micros pause, int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    core_->set_clocks(now_, now_ + seconds(1'000'000));
    core_->on_poll(++request_number_, id);
    int status = 0;
    for (const Action& action : core_->take_actions(now_ + pause))
      if (const auto* response = std::get_if<AnswerUser>(&action)) status = response->reply.status;
    return status;
  }
  /// Advances the time by a number of seconds, with a tick of the controller every 50 ms.
  void advance(int seconds_to_pass) {
    for (int i = 0; i < seconds_to_pass * 20; ++i) {
      now_ += millis(50);
      deliver_event([&] { core_->tick(); });
    }
  }
  /// Calls a function `times` times and returns the average number of allocations per call.
  template <class F>
  std::size_t allocations_per_call(int times, F&& function) {
    const std::size_t before = allocation_count;
    for (int i = 0; i < times; ++i) function(i);
    return (allocation_count - before) / static_cast<std::size_t>(times);
  }
  std::string partitioned_zone;  ///< commands to its machines get no response; empty: none
  /// Returns the zone of a machine. Every third machine is in the west zone, the others are in the east zone.
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
  /// Delivers one event to the core, and performs the resulting actions until there are none.
  template <class F>
  void deliver_event(F&& f) {
    core_->set_clocks(now_, now_ + seconds(1'000'000));
    f();
    for (auto actions = core_->take_actions(now_); !actions.empty(); actions = core_->take_actions(now_))
      for (Action& action : actions) perform(action);
  }
  /// Executes commands on a machine: tasks start immediately, and other commands are ignored.
  void execute(const std::string& name, FencingToken fencing_token, const std::vector<Command>& commands) {
    fencing_tokens_[name] = std::max(fencing_tokens_[name], fencing_token);
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
      const Response response = store_.handle(wire::request_of(call->request), now_);
      core_->on_store_response(call->call,
                               wire::parse_store_response(call->request, response.status, response.body));
    } else if (auto* cloud_call = std::get_if<CloudCall>(&action)) {
      ++cloud_calls_;
      if (auto* deletion = std::get_if<DeleteMachines>(&cloud_call->request))
        deleted_ += deletion->machines.size();
      const Response response = cloud_.handle(wire::request_of(cloud_call->request), now_);
      core_->on_cloud_response(
          cloud_call->call, wire::parse_cloud_response(cloud_call->request, response.status, response.body));
    } else if (auto* reply = std::get_if<AnswerHeartbeat>(&action)) {
      if (reply->reply.status == 200) execute(sender_, reply->reply.fencing_token, reply->reply.commands);
    } else if (auto* worker_call = std::get_if<WorkerCall>(&action)) {
      const std::string name = worker_call->request.address.substr(0, worker_call->request.address.find(':'));
      if (zone_of(name) == partitioned_zone) return core_->on_command_response(worker_call->call, {});
      execute(name, worker_call->request.fencing_token, worker_call->request.commands);
      core_->on_command_response(worker_call->call, {CommandResponse::Outcome::executed, heartbeat_of(name)});
    }
  }

  Settings settings_;
  SimulatedKeyValueStore store_;
  SimulatedCloud cloud_;
  std::unique_ptr<Controller> core_;
  Micros now_{seconds(1)};
  std::vector<std::string> machines_;
  std::map<std::string, std::vector<TaskStatus>> tasks_;
  std::map<std::string, FencingToken> fencing_tokens_;
  std::string sender_;  ///< machine that sent the latest heartbeat
  std::uint64_t request_number_ = 0, sequence_number_ = 0;
  std::size_t store_calls_ = 0, cloud_calls_ = 0, deleted_ = 0;
};

// Guards against the deletion of machines in a partitioned zone. The controller deleted them as idle during
// the partition, and as silent after its end if the heartbeats of other machines in the zone arrived first.
TEST(ZonePartition, MachinesAreKeptDuringAndAfterPartition) {
  for (const bool restarted : {false, true}) {
    ControllerAtScale controller(60);
    for (int i = 0; i < 70; ++i) {
      controller.advance(1);
      controller.send_all_heartbeats();
    }
    auto send_heartbeats_of_zone = [&](const std::string& zone, int first, int last) {
      for (int i = first; i < last; ++i)
        if (ControllerAtScale::zone_of(controller.machine(i)) == zone)
          controller.send_heartbeat(controller.machine(i));
    };
    controller.partitioned_zone = "west";
    for (int i = 0; i < 45; ++i) {
      controller.advance(1);
      if (i == 30 && restarted) controller.restart();
      send_heartbeats_of_zone("east", 0, 60);
    }
    controller.partitioned_zone.clear();
    // After the partition, the heartbeats of most workers in the zone arrive before those of the others.
    send_heartbeats_of_zone("west", 0, 40);
    controller.advance(1);
    send_heartbeats_of_zone("west", 0, 40);
    controller.advance(3);
    EXPECT_EQ(controller.deleted(), 0u) << "restarted: " << restarted;
  }
}

// Guards against stale reads: while the process is paused, its lease may expire and another leader may change
// the job. A poll that arrived before a long pause must therefore get status 503 after it.
TEST(ProcessPause, PollIsNotAnsweredFromStaleState) {
  ControllerAtScale controller(30);
  EXPECT_EQ(controller.poll_status_after_pause(millis(10), 0), 200);
  EXPECT_EQ(controller.poll_status_after_pause(seconds(5), 0), 503);
}

// Numbers of machines. The large one is one and a half times that of the largest deployment.
constexpr int kSmall = 30, kLarge = 1700;

TEST(LargeDeployment, AllocationsPerEventDoNotGrowWithMachineCount) {
  ControllerAtScale small(kSmall), large(kLarge);
  ASSERT_EQ(small.running(), kSmall * kTasksPerMachine);
  ASSERT_EQ(large.running(), kLarge * kTasksPerMachine);
  const std::size_t heartbeat_small =
      small.allocations_per_call(30, [&](int i) { small.send_heartbeat(small.machine(i)); });
  const std::size_t heartbeat_large =
      large.allocations_per_call(30, [&](int i) { large.send_heartbeat(large.machine(i)); });
  EXPECT_LE(heartbeat_large, heartbeat_small * 3 / 2) << heartbeat_small;
  const std::size_t poll_small = small.allocations_per_call(3, [&](int i) { small.poll(i); });
  const std::size_t poll_large = large.allocations_per_call(3, [&](int i) { large.poll(i); });
  EXPECT_LE(poll_large, poll_small * 3 / 2) << poll_small;
}

TEST(LargeDeployment, RecordsMachinesAndJobsInFewStoreCalls) {
  ControllerAtScale large(kLarge);
  // The calls write 1,700 machines, in blocks of at most the size limit of a value, and 170 jobs. They
  // include the periodic reads of twenty seconds.
  EXPECT_LE(large.store_calls(), 500u);
  EXPECT_EQ(large.oversized_requests(), 0u);
}

// A restarted process reads each record once, and sends its fencing token to each machine without waiting for
// heartbeats.
TEST(LargeDeployment, FailoverTakesFewStoreCalls) {
  ControllerAtScale large(kLarge);
  const std::size_t before = large.store_calls();
  large.restart();
  large.advance(3);
  EXPECT_EQ(large.reconciled_shards(), 1u);
  EXPECT_LE(large.store_calls() - before, 40u);
}

// A scheduling pass visits each pending job, but only those machines that have free capacity.
TEST(LargeDeployment, AllocationsPerPassGrowAtMostLinearlyWithPendingJobs) {
  ControllerAtScale large(kLarge);
  auto allocations_per_second = [&](int first, int jobs) {
    for (int i = 0; i < jobs; ++i) large.submit(first + i, 40);
    large.advance(1);
    return large.allocations_per_call(1, [&](int) { large.advance(1); });
  };
  const std::size_t few = allocations_per_second(10'000, 20), many = allocations_per_second(20'000, 180);
  // The latter measurement has ten times as many pending jobs: 200 instead of 20.
  EXPECT_LE(many, few * 12) << few;
}

// Guards against one cloud call per machine: machines for thousands of pending tasks are created by calls of
// the maximum size.
TEST(LargeDeployment, CreatesHundredsOfMachinesInFewCloudCalls) {
  ControllerAtScale large(0);
  for (int i = 0; i < 100; ++i) large.submit(10'000 + i, 40);
  large.advance(30);
  EXPECT_GE(large.machines_created(), 900u);
  EXPECT_LE(large.cloud_calls(), 40u);
  // No task can be on a machine that is still booting, so the next leader need not reconcile it.
  large.restart();
  large.advance(3);
  EXPECT_EQ(large.reconciled_shards(), 1u);
}

}  // namespace
}  // namespace bendtide::sim
