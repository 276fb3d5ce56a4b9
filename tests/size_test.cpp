// The core at the size of a grown deployment, measured in counts: what one event costs must not grow with the
// machines and jobs there are. Counted are allocations, which repeat exactly, and calls to the state service.

#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "core/controller.h"
#include "sim/day.h"

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

/// One controller with machines that run arrays, its state service and cloud answering at once.
class Cluster {
 public:
  explicit Cluster(int machines)
      : settings_(settings()),
        state_(settings_),
        cloud_({{"type", {8000, 0, 64000}, 50, 0.8, 0.5, 0.1, seconds(30), {"east"}}}, 0,
               [](Cloud::Machine&) {}),
        core_(settings_, "life", 1) {
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
    event([&] { core_.on_submit(request, spec); });
  }
  void report(const std::string& name) {
    Report r;
    r.machine = name;
    r.address = name + ":1";
    r.type = "type";
    r.zone = "east";
    r.session = 1;
    r.sequence = ++sequence_;
    r.token = token_[name];
    r.tasks = tasks_[name];
    reporting_ = name;
    const std::uint64_t request = ++request_;
    event([&] { core_.on_report(request, r); });
  }
  void report_all() {
    for (const std::string& name : machines_) report(name);
  }
  void poll(int number) {
    const std::string id = "run-" + std::to_string(100000 + number);
    const std::uint64_t request = ++request_;
    event([&] { core_.on_poll(request, id); });
  }
  /// Lets seconds go by.
  void pass(int span) {
    for (int i = 0; i < span * 20; ++i) {
      now_ += millis(50);
      event([&] { core_.tick(); });
    }
  }
  template <class F>
  std::size_t allocations_of(int times, F&& what) {
    const std::size_t before = allocations;
    for (int i = 0; i < times; ++i) what(i);
    return (allocations - before) / static_cast<std::size_t>(times);
  }
  const std::string& machine(int i) const {
    return machines_[static_cast<std::size_t>(i) % machines_.size()];
  }

 private:
  static Settings settings() {
    Settings s = settings_of_a_day();
    s.host = "node-0";
    s.zone = "east";
    s.teams = {{"team", {100'000'000, 0}, {100'000'000, 0}}};
    s.state_calls_per_s = s.state_writes_per_s = 1e6;
    return s;
  }
  template <class F>
  void event(F&& f) {
    core_.at(now_, now_ + seconds(1'000'000));
    f();
    for (auto actions = core_.take_actions(now_); !actions.empty(); actions = core_.take_actions(now_))
      for (Action& action : actions) perform(action);
  }
  void take(const std::string& name, std::uint64_t token, const std::vector<Order>& orders) {
    token_[name] = std::max(token_[name], token);
    std::vector<ReportedTask>& held = tasks_[name];
    for (const Order& o : orders)
      if (o.kind == Order::Kind::start && std::none_of(held.begin(), held.end(), [&](const ReportedTask& t) {
            return t.attempt == o.attempt;
          }))
        held.push_back({o.task, o.attempt, TaskPhase::running, {}});
  }
  void perform(Action& action) {
    if (auto* call = std::get_if<StateCall>(&action)) {
      ++state_calls_;
      const Response r = state_.handle(wire::request_of(call->request), now_);
      core_.on_state(call->call, wire::state_answer(call->request, r.status, r.body));
    } else if (auto* asked = std::get_if<CloudCall>(&action)) {
      const Response r = cloud_.handle(wire::request_of(asked->request), now_);
      core_.on_cloud(asked->call, wire::cloud_answer(asked->request, r.status, r.body));
    } else if (auto* reply = std::get_if<AnswerWorker>(&action)) {
      if (reply->reply.status == 200) take(reporting_, reply->reply.token, reply->reply.orders);
    } else if (auto* orders = std::get_if<WorkerCall>(&action)) {
      const std::string name = orders->request.address.substr(0, orders->request.address.find(':'));
      take(name, orders->request.token, orders->request.orders);
      core_.on_orders(orders->call, {OrdersAnswer::Outcome::executed, std::nullopt});
    }
  }

  Settings settings_;
  StateService state_;
  Cloud cloud_;
  Controller core_;
  Micros now_{seconds(1)};
  std::vector<std::string> machines_;
  std::map<std::string, std::vector<ReportedTask>> tasks_;
  std::map<std::string, std::uint64_t> token_;
  std::string reporting_;
  std::uint64_t request_ = 0, sequence_ = 0;
  std::size_t state_calls_ = 0;
};

TEST(Size, WhatOneEventCostsDoesNotGrow) {
  Cluster small(30), large(900);
  ASSERT_EQ(small.running(), 30 * kTasksOfAMachine);
  ASSERT_EQ(large.running(), 900 * kTasksOfAMachine);
  const std::size_t report_small = small.allocations_of(30, [&](int i) { small.report(small.machine(i)); });
  const std::size_t report_large = large.allocations_of(30, [&](int i) { large.report(large.machine(i)); });
  EXPECT_LE(report_large, report_small * 3 / 2) << report_small;
  const std::size_t poll_small = small.allocations_of(3, [&](int i) { small.poll(i); });
  const std::size_t poll_large = large.allocations_of(3, [&](int i) { large.poll(i); });
  EXPECT_LE(poll_large, poll_small * 3 / 2) << poll_small;
}

TEST(Size, ManyMachinesAreClaimedAndManyJobsAcceptedInFewCalls) {
  Cluster large(900);
  // 900 machines in blocks of a value's size and 90 jobs, with the regular reading of twenty seconds.
  EXPECT_LE(large.state_calls(), 400u);
  EXPECT_EQ(large.too_large(), 0u);
}

}  // namespace
}  // namespace bendtide::sim
