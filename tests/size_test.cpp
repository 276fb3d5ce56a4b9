// The core at the size of a grown deployment, measured in counts: what one event costs must not grow with the
// machines and jobs there are. Counted are allocations, which repeat exactly, and calls to the key-value
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

/// One controller with machines that run arrays, its key-value store and cloud answering at once.
class ControllerState {
 public:
  explicit ControllerState(int machines)
      : settings_(settings()),
        state_(settings_),
        cloud_({{"type", {8000, 0, 64000}, 50, 0.8, 0.5, 0.1, seconds(30), {"east", "west"}}},
               machines == 0 ? 2000 : 0, [](SimulatedCloud::Machine&) {}),
        core_(std::make_unique<Controller>(settings_, "life", 1)) {
    pass(3);
    for (int i = 0; i < machines; ++i) machines_.push_back("n-" + std::to_string(1000 + i));
    for (int round = 0; round < 3; ++round) {
      report_all();
      pass(2);
    }
    for (int i = 0; i * 10 < machines; ++i) submit(i, 10 * kTasksOfAMachine);
    for (int round = 0; round < 4; ++round) {
      pass(2);
      report_all();
    }
  }

  std::size_t running() const {
    std::size_t n = 0;
    for (const auto& [name, tasks] : tasks_) n += tasks.size();
    return n;
  }
  std::size_t state_calls() const { return state_calls_; }
  std::size_t too_large() const { return state_.too_large(); }
  std::size_t cloud_calls() const { return cloud_calls_; }
  std::size_t deleted() const { return deleted_; }
  std::size_t rented() { return cloud_.machines().size(); }
  /// Parts that know what is on all their machines.
  std::size_t parts_settled() const {
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
    spec.each = {2000, 0, 4000};
    spec.image = "image";
    spec.image_gb = 1;
    spec.estimate = seconds(1000);
    const std::uint64_t request = ++request_;
    event([&] { core_->on_submit(request, spec); });
  }
  Heartbeat report_of(const std::string& name) {
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
  void report(const std::string& name) {
    const Heartbeat r = report_of(name);
    reporting_ = name;
    const std::uint64_t request = ++request_;
    event([&] { core_->on_heartbeat(request, r); });
  }
  void report_all() {
    for (const std::string& name : machines_) report(name);
  }
  void poll(int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    const std::uint64_t request = ++request_;
    event([&] { core_->on_poll(request, id); });
  }
  /// What a user is told who polls just before the process stands still for a while.
  int told_after(Micros standstill, int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    core_->at(now_, now_ + seconds(1'000'000));
    core_->on_poll(++request_, id);
    int status = 0;
    for (const Action& action : core_->take_actions(now_ + standstill))
      if (const auto* told = std::get_if<AnswerUser>(&action)) status = told->reply.status;
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
    core_->at(now_, now_ + seconds(1'000'000));
    f();
    for (auto actions = core_->take_actions(now_); !actions.empty(); actions = core_->take_actions(now_))
      for (Action& action : actions) perform(action);
  }
  void take(const std::string& name, FencingToken fencing_token, const std::vector<Command>& orders) {
    token_[name] = std::max(token_[name], fencing_token);
    std::vector<TaskStatus>& held = tasks_[name];
    for (const Command& o : orders)
      if (o.kind == Command::Kind::start &&
          std::none_of(held.begin(), held.end(), [&](const TaskStatus& t) { return t.attempt == o.attempt; }))
        held.push_back({o.task, o.attempt, TaskPhase::running, {}});
  }
  void perform(Action& action) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      ++state_calls_;
      const Response r = state_.handle(wire::request_of(call->request), now_);
      core_->on_store_response(call->call, wire::store_response(call->request, r.status, r.body));
    } else if (auto* asked = std::get_if<CloudCall>(&action)) {
      ++cloud_calls_;
      if (auto* gone = std::get_if<DeleteMachines>(&asked->request)) deleted_ += gone->machines.size();
      const Response r = cloud_.handle(wire::request_of(asked->request), now_);
      core_->on_cloud_response(asked->call, wire::cloud_response(asked->request, r.status, r.body));
    } else if (auto* reply = std::get_if<AnswerHeartbeat>(&action)) {
      if (reply->reply.status == 200) take(reporting_, reply->reply.fencing_token, reply->reply.commands);
    } else if (auto* orders = std::get_if<WorkerCall>(&action)) {
      const std::string name = orders->request.address.substr(0, orders->request.address.find(':'));
      if (zone_of(name) == cut_zone) return core_->on_command_response(orders->call, {});
      take(name, orders->request.fencing_token, orders->request.commands);
      core_->on_command_response(orders->call, {CommandResponse::Outcome::executed, report_of(name)});
    }
  }

  Settings settings_;
  SimulatedKeyValueStore state_;
  SimulatedCloud cloud_;
  std::unique_ptr<Controller> core_;
  Micros now_{seconds(1)};
  std::vector<std::string> machines_;
  std::map<std::string, std::vector<TaskStatus>> tasks_;
  std::map<std::string, FencingToken> token_;
  std::string reporting_;
  std::uint64_t request_ = 0, sequence_ = 0;
  std::size_t state_calls_ = 0, cloud_calls_ = 0, deleted_ = 0;
};

// Machines behind a cut were once returned as idle, and those not heard yet when the first were heard again
// given up.
TEST(CutZone, KeepsItsMachines) {
  for (const bool restarted : {false, true}) {
    ControllerState state(60);
    for (int i = 0; i < 70; ++i) {
      state.pass(1);
      state.report_all();
    }
    auto report_of_zone = [&](const std::string& zone, int first, int last) {
      for (int i = first; i < last; ++i)
        if (ControllerState::zone_of(state.machine(i)) == zone) state.report(state.machine(i));
    };
    state.cut_zone = "west";
    for (int i = 0; i < 45; ++i) {
      state.pass(1);
      if (i == 30 && restarted) state.restart();
      report_of_zone("east", 0, 60);
    }
    state.cut_zone.clear();
    // The cut is over, and most of the zone's workers are heard before the others.
    report_of_zone("west", 0, 40);
    state.pass(1);
    report_of_zone("west", 0, 40);
    state.pass(3);
    EXPECT_EQ(state.deleted(), 0u) << restarted;
  }
}

// Its term may be over, and somebody else may have said more meanwhile.
TEST(Standstill, NothingIsToldThatMayBeOutOfDate) {
  ControllerState state(30);
  EXPECT_EQ(state.told_after(millis(10), 0), 200);
  EXPECT_EQ(state.told_after(seconds(5), 0), 503);
}

// Half again more than the largest fleet.
constexpr int kSmall = 30, kLarge = 1700;

TEST(Size, WhatOneEventCostsDoesNotGrow) {
  ControllerState small(kSmall), large(kLarge);
  ASSERT_EQ(small.running(), kSmall * kTasksOfAMachine);
  ASSERT_EQ(large.running(), kLarge * kTasksOfAMachine);
  const std::size_t report_small = small.allocations_of(30, [&](int i) { small.report(small.machine(i)); });
  const std::size_t report_large = large.allocations_of(30, [&](int i) { large.report(large.machine(i)); });
  EXPECT_LE(report_large, report_small * 3 / 2) << report_small;
  const std::size_t poll_small = small.allocations_of(3, [&](int i) { small.poll(i); });
  const std::size_t poll_large = large.allocations_of(3, [&](int i) { large.poll(i); });
  EXPECT_LE(poll_large, poll_small * 3 / 2) << poll_small;
}

TEST(Size, ManyMachinesAreClaimedAndManyJobsAcceptedInFewCalls) {
  ControllerState large(kLarge);
  // 1,700 machines in blocks of a value's size and 170 jobs, with the regular reading of twenty seconds.
  EXPECT_LE(large.state_calls(), 500u);
  EXPECT_EQ(large.too_large(), 0u);
}

// A restarted process reads everything once, and tells every machine its fencing token without waiting for
// heartbeats.
TEST(Size, ATakeOverIsReadInFewCalls) {
  ControllerState large(kLarge);
  const std::size_t before = large.state_calls();
  large.restart();
  large.pass(3);
  EXPECT_EQ(large.parts_settled(), 1u);
  EXPECT_LE(large.state_calls() - before, 40u);
}

// A pass looks at every job that waits, and at the machines only as far as they have room.
TEST(Size, APassOverThousandsOfWaitingTasksGrowsNoFasterThanTheirJobs) {
  ControllerState large(kLarge);
  auto of_a_pass = [&](int first, int jobs) {
    for (int i = 0; i < jobs; ++i) large.submit(first + i, 40);
    large.pass(1);
    return large.allocations_of(1, [&](int) { large.pass(1); });
  };
  const std::size_t few = of_a_pass(10'000, 20), many = of_a_pass(20'000, 180);
  // Ten times as many jobs wait.
  EXPECT_LE(many, few * 12) << few;
}

// Machines for thousands of waiting tasks are rented in commands of the largest size, not one by one.
TEST(Size, HundredsOfMachinesAreRentedInFewCalls) {
  ControllerState large(0);
  for (int i = 0; i < 100; ++i) large.submit(10'000 + i, 40);
  large.pass(30);
  EXPECT_GE(large.rented(), 900u);
  EXPECT_LE(large.cloud_calls(), 40u);
  // Nothing can be on them while they boot: another leader does not wait for them.
  large.restart();
  large.pass(3);
  EXPECT_EQ(large.parts_settled(), 1u);
}

}  // namespace
}  // namespace bendtide::sim
