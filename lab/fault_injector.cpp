#include "fault_injector.h"

namespace bendtide::lab {

namespace {

// Latency of the key-value store while no fault slows it.
constexpr double kSlowResponseShare = 0.04;
constexpr double kSlowResponseMaxSeconds = 0.4;
// Latency of the key-value store while a fault slows it. It stays below the controllers' request timeout
// of 1 s.
constexpr double kFaultSlowResponseShare = 0.3;
constexpr double kFaultSlowResponseMaxSeconds = 0.95;
constexpr double kSlowResponseMinSeconds = 0.03;
constexpr Micros kFirstFaultAt = seconds(8);
constexpr double kMinFaultIntervalSeconds = 0.2;  ///< between the starts of two faults
constexpr double kMaxFaultIntervalSeconds = 5;
constexpr double kBriefFaultMaxSeconds = 0.3;
constexpr double kMachineFaultProbability = 0.25;  ///< probability that a fault of machines hits a machine
constexpr Micros kMaxCommandDelay = seconds(10);
constexpr int kMaxCancelledJobs = 6;
constexpr Micros kComebackInterval = millis(500);

}  // namespace

FaultInjector::FaultInjector(Laboratory& lab, Controllers& controllers, StoreServer& store,
                             WorkerFleet& workers, UserCrowd& users)
    : lab_(lab), controllers_(controllers), store_(store), workers_(workers), users_(users) {}

const std::vector<FaultInjector::Fault>& FaultInjector::faults() {
  using F = FaultInjector;
  static const std::vector<Fault> all{
      {"one controller killed", {0.02, 4, 0.4}, &F::kill_one_controller},
      {"all controllers killed", {0.1, 4}, &F::kill_all_controllers},
      {"controller paused", {0.2, 12}, &F::pause_controller},
      // Listed twice, and so drawn twice as often as the other faults.
      {"responses of the key-value store delayed", {4, 12}, &F::slow_store_responses},
      {"responses of the key-value store delayed", {4, 12}, &F::slow_store_responses},
      {"requests to the key-value store held", {0.5, 8}, &F::hold_store_requests},
      {"responses of the key-value store held", {0.5, 8}, &F::hold_store_responses},
      {"key-value store refuses one controller", {2, 10}, &F::refuse_store_requests},
      {"key-value store outage", {1, 10}, &F::stop_store},
      {"messages between two controllers held", {1, 10}, &F::hold_peer_messages},
      {"connections between controllers refused", {2, 8}, &F::refuse_peer_connections},
      {"controller isolated from key-value store and peers", {2, 12}, &F::isolate_from_store_and_peers},
      {"heartbeats to one controller blocked", {2, 12}, &F::block_heartbeats},
      {"machine killed", {}, &F::kill_machine},
      {"machines hang", {1, 14}, &F::hang_machines},
      {"machines unreachable outbound", {1, 14}, &F::make_unreachable_outbound},
      {"machines unreachable inbound", {1, 14}, &F::make_unreachable_inbound},
      {"late duplicates of heartbeats", {4, 10}, &F::duplicate_heartbeats_late},
      {"direct commands delayed", {4, 10}, &F::delay_commands},
      {"cloud outage", {2, 10}, &F::stop_cloud},
      {"jobs cancelled", {}, &F::cancel_jobs}};
  return all;
}

const std::vector<FaultInjector::Fault>& FaultInjector::comebacks() {
  using F = FaultInjector;
  static const std::vector<Fault> all{
      {"tasks fail on machines", {1.5, 2.5}, &F::fail_tasks},
      {"machines hang", {0.1, 0.4}, &F::hang_machines},
      {"one controller killed", {0.02, 0.3}, &F::kill_one_controller},
      {"machines hang", {0.1, 0.4}, &F::hang_machines},
      {"jobs cancelled", {}, &F::cancel_jobs},
      {"tasks fail on machines", {1.5, 2.5}, &F::fail_tasks},
      {"machines hang", {0.1, 0.4}, &F::hang_machines},
      {"key-value store refuses one controller", {3, 6}, &F::refuse_store_requests},
      {"machines hang", {0.1, 0.4}, &F::hang_machines},
      {"jobs cancelled", {}, &F::cancel_jobs}};
  return all;
}

void FaultInjector::start() {
  set_store_latency(kSlowResponseShare, kSlowResponseMaxSeconds);
  if (lab_.plan.late_start_copies)
    lab_.loop.spawn(inject_comebacks());
  else if (lab_.plan.inject_faults)
    lab_.loop.spawn(inject_at_random());
}

io::Task<> FaultInjector::inject_at_random() {
  co_await lab_.loop.sleep(kFirstFaultAt);
  while (lab_.now() < lab_.plan.fault_phase) {
    inject(faults().at(static_cast<std::size_t>(lab_.random_index(static_cast<int>(faults().size())))));
    co_await lab_.loop.sleep(lab_.random_duration(kMinFaultIntervalSeconds, kMaxFaultIntervalSeconds));
  }
  // Faults that are still active end by themselves; killed machines are not restarted.
  lab_.history.add("injector: fault phase ended");
  set_store_latency(0, 0);
}

io::Task<> FaultInjector::inject_comebacks() {
  co_await lab_.loop.sleep(kFirstFaultAt);
  for (std::size_t i = 0; lab_.now() < lab_.plan.fault_phase; ++i) {
    inject(comebacks().at(i % comebacks().size()));
    co_await lab_.loop.sleep(kComebackInterval);
  }
}

void FaultInjector::inject(const Fault& fault) {
  lab_.history.add(std::string("injector: ") + fault.name);
  ++injected_faults_;
  for (Switch& fault_switch : (this->*fault.make_switches)()) {
    fault_switch(true);
    lab_.loop.spawn(end_after(draw_duration(fault.duration), std::move(fault_switch)));
  }
}

io::Task<> FaultInjector::end_after(Micros delay, Switch fault_switch) {
  co_await lab_.loop.sleep(delay);
  fault_switch(false);
}

Micros FaultInjector::draw_duration(const Duration& duration) {
  const bool brief = duration.brief_share > 0 && lab_.random_fraction() < duration.brief_share;
  return lab_.random_duration(duration.min_s, brief ? kBriefFaultMaxSeconds : duration.max_s);
}

// ---- controllers ---------------------------------------------------------------------------------

FaultInjector::Switch FaultInjector::crash_switch(int controller) {
  return [this, controller](bool on) {
    if (on)
      controllers_.kill(controller);
    else {
      controllers_.start(controller);
      lab_.late_start_copies.on_controller_returned("");
    }
  };
}

std::vector<FaultInjector::Switch> FaultInjector::kill_one_controller() {
  return {crash_switch(lab_.random_controller())};
}

std::vector<FaultInjector::Switch> FaultInjector::kill_all_controllers() {
  std::vector<Switch> all;
  all.reserve(kControllerCount);
  for (int controller = 0; controller < kControllerCount; ++controller)
    all.push_back(crash_switch(controller));
  return all;
}

std::vector<FaultInjector::Switch> FaultInjector::pause_controller() {
  return {[this, controller = lab_.random_controller()](bool on) {
    if (on)
      controllers_.pause(controller);
    else
      controllers_.resume(controller);
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::hold_peer_messages() {
  const int from = lab_.random_controller();
  const int to = (from + 1 + lab_.random_index(kControllerCount - 1)) % kControllerCount;
  return {[this, from, to](bool on) { controllers_.link(from, to).to_server.held = on; }};
}

std::vector<FaultInjector::Switch> FaultInjector::refuse_peer_connections() {
  return {[this](bool on) {
    for (int from = 0; from < kControllerCount; ++from)
      for (int to = 0; to < kControllerCount; ++to)
        if (from != to) controllers_.link(from, to).refuses_connections = on;
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::isolate_from_store_and_peers() {
  return {[this, controller = lab_.random_controller()](bool on) {
    store_.link(controller).to_server.held = on;
    store_.link(controller).to_client.held = on;
    for (int other = 0; other < kControllerCount; ++other) {
      if (other == controller) continue;
      controllers_.link(controller, other).to_server.held = on;
      controllers_.link(other, controller).to_server.held = on;
    }
  }};
}

// ---- the key-value store -------------------------------------------------------------------------

void FaultInjector::set_store_latency(double share, double max_seconds) {
  for (int controller = 0; controller < kControllerCount; ++controller)
    store_.link(controller).to_client.latency = [this, share, max_seconds] {
      return lab_.random_fraction() < share ? lab_.random_duration(kSlowResponseMinSeconds, max_seconds)
                                            : Micros{0};
    };
}

std::vector<FaultInjector::Switch> FaultInjector::slow_store_responses() {
  return {[this](bool on) {
    if (on)
      set_store_latency(kFaultSlowResponseShare, kFaultSlowResponseMaxSeconds);
    else
      set_store_latency(kSlowResponseShare, kSlowResponseMaxSeconds);
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::hold_store_requests() {
  return {[this, controller = lab_.random_controller()](bool on) {
    store_.link(controller).to_server.held = on;
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::hold_store_responses() {
  return {[this, controller = lab_.random_controller()](bool on) {
    store_.link(controller).to_client.held = on;
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::refuse_store_requests() {
  return {[this, controller = lab_.random_controller()](bool on) { store_.set_refused(controller, on); }};
}

std::vector<FaultInjector::Switch> FaultInjector::stop_store() {
  return {[this](bool on) { store_.set_outage(on); }};
}

// ---- machines, the cloud, users ------------------------------------------------------------------

std::vector<FaultInjector::Switch> FaultInjector::block_heartbeats() {
  return {[this, controller = lab_.random_controller()](bool on) {
    workers_.set_heartbeats_blocked(controller, on);
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::kill_machine() {
  const std::vector<std::string> names = workers_.running_machines();
  if (!names.empty())
    workers_.kill(names.at(static_cast<std::size_t>(lab_.random_index(static_cast<int>(names.size())))));
  return {};
}

std::vector<FaultInjector::Switch> FaultInjector::switches_for_some_machines(
    bool sim::SimulatedWorker::*flag) {
  std::vector<Switch> switches;
  for (const std::string& name : workers_.running_machines()) {
    if (lab_.random_fraction() > kMachineFaultProbability) continue;
    switches.emplace_back([this, name, flag](bool on) {
      if (sim::SimulatedWorker* worker = workers_.worker(name)) worker->*flag = on;
      if (!on && flag != &sim::SimulatedWorker::fails_tasks) lab_.late_start_copies.on_machine_returned(name);
    });
  }
  return switches;
}

std::vector<FaultInjector::Switch> FaultInjector::hang_machines() {
  return switches_for_some_machines(&sim::SimulatedWorker::hanging);
}

std::vector<FaultInjector::Switch> FaultInjector::fail_tasks() {
  return switches_for_some_machines(&sim::SimulatedWorker::fails_tasks);
}

std::vector<FaultInjector::Switch> FaultInjector::make_unreachable_outbound() {
  return switches_for_some_machines(&sim::SimulatedWorker::unreachable_outbound);
}

std::vector<FaultInjector::Switch> FaultInjector::make_unreachable_inbound() {
  return switches_for_some_machines(&sim::SimulatedWorker::unreachable_inbound);
}

std::vector<FaultInjector::Switch> FaultInjector::duplicate_heartbeats_late() {
  return {[this](bool on) { workers_.set_late_duplicate_heartbeats(on); }};
}

std::vector<FaultInjector::Switch> FaultInjector::delay_commands() {
  return {[this](bool on) { workers_.set_max_command_delay(on ? kMaxCommandDelay : Micros{0}); }};
}

std::vector<FaultInjector::Switch> FaultInjector::stop_cloud() {
  return {[this](bool on) { workers_.set_cloud_outage(on); }};
}

std::vector<FaultInjector::Switch> FaultInjector::cancel_jobs() {
  users_.cancel_running_jobs(1 + lab_.random_index(kMaxCancelledJobs));
  return {};
}

}  // namespace bendtide::lab
