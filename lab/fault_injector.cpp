#include "fault_injector.h"

namespace bendtide::lab {

namespace {

constexpr double kShareOfSlowAnswers = 0.04;  ///< at all times, of the key-value store's answers
constexpr double kSlowAnswerSeconds = 0.4;
constexpr double kShareInSlowSpell = 0.3;
constexpr double kSlowSpellSeconds = 0.95;  ///< within a controller's patience of a second
constexpr double kMinLatencySeconds = 0.03;
constexpr Micros kFirstFaultAt = seconds(8);
constexpr double kMinPauseSeconds = 0.2;  ///< between two faults
constexpr double kMaxPauseSeconds = 5;
constexpr double kBriefSeconds = 0.3;
constexpr double kShareOfMachines = 0.25;  ///< that a fault of machines concerns
constexpr Micros kLatestCommand = seconds(10);
constexpr int kMostCancelled = 6;

}  // namespace

FaultInjector::FaultInjector(Laboratory& lab, Controllers& controllers, StoreServer& store,
                             WorkerFleet& workers, UserCrowd& users)
    : lab_(lab), controllers_(controllers), store_(store), workers_(workers), users_(users) {}

const std::vector<FaultInjector::Fault>& FaultInjector::faults() {
  using F = FaultInjector;
  static const std::vector<Fault> all{
      {"kills one controller", {0.02, 4, 0.4}, &F::kill_one},
      {"kills all controllers", {0.1, 4}, &F::kill_all},
      {"pauses a controller", {0.2, 12}, &F::pause_one},
      // Twice as often as the others.
      {"slows the key-value store's answers", {4, 12}, &F::slow_store_answers},
      {"slows the key-value store's answers", {4, 12}, &F::slow_store_answers},
      {"holds requests to the key-value store", {0.5, 8}, &F::hold_store_requests},
      {"holds answers of the key-value store", {0.5, 8}, &F::hold_store_answers},
      {"lets the key-value store refuse a controller", {2, 10}, &F::refuse_at_store},
      {"stops the key-value store", {1, 10}, &F::store_outage},
      {"holds messages between two controllers", {1, 10}, &F::hold_peer_messages},
      {"refuses connections between controllers", {2, 8}, &F::refuse_peers},
      {"cuts a controller from all but its workers", {2, 12}, &F::isolate_with_workers},
      {"cuts a controller from the workers", {2, 12}, &F::cut_from_workers},
      {"kills a machine", {}, &F::kill_machine},
      {"hangs machines", {1, 14}, &F::hang_machines},
      {"makes machines unreachable outbound", {1, 14}, &F::make_unreachable_outbound},
      {"makes machines unreachable inbound", {1, 14}, &F::make_unreachable_inbound},
      {"duplicates heartbeats late", {4, 10}, &F::late_heartbeats},
      {"executes commands late", {4, 10}, &F::late_commands},
      {"stops the cloud", {2, 10}, &F::cloud_outage},
      {"cancels jobs", {}, &F::cancel_some}};
  return all;
}

void FaultInjector::run() {
  set_store_latency(kShareOfSlowAnswers, kSlowAnswerSeconds);
  if (lab_.plan.inject_faults) lab_.loop.spawn(inject_at_random());
}

io::Task<> FaultInjector::inject_at_random() {
  co_await lab_.loop.sleep(kFirstFaultAt);
  while (lab_.now() < lab_.plan.fault_phase) {
    inject(faults().at(static_cast<std::size_t>(lab_.random_index(static_cast<int>(faults().size())))));
    co_await lab_.loop.sleep(lab_.random_duration(kMinPauseSeconds, kMaxPauseSeconds));
  }
  // What still lasts ends by itself; machines that were lost stay so.
  lab_.history.add("injector: the last fault was injected");
  set_store_latency(0, 0);
}

void FaultInjector::inject(const Fault& fault) {
  lab_.history.add(std::string("injector: ") + fault.name);
  ++injected_;
  for (Switch& set : (this->*fault.draw)()) {
    set(true);
    lab_.loop.spawn(end_later(draw(fault.duration), std::move(set)));
  }
}

io::Task<> FaultInjector::end_later(Micros delay, Switch set) {
  co_await lab_.loop.sleep(delay);
  set(false);
}

Micros FaultInjector::draw(const Duration& duration) {
  const bool brief = duration.share_of_brief > 0 && lab_.random_fraction() < duration.share_of_brief;
  return lab_.random_duration(duration.min, brief ? kBriefSeconds : duration.max);
}

// ---- controllers ---------------------------------------------------------------------------------

FaultInjector::Switch FaultInjector::running_switch(int controller) {
  return [this, controller](bool on) {
    if (on)
      controllers_.kill(controller);
    else
      controllers_.start(controller);
  };
}

std::vector<FaultInjector::Switch> FaultInjector::kill_one() {
  return {running_switch(lab_.random_controller())};
}

std::vector<FaultInjector::Switch> FaultInjector::kill_all() {
  std::vector<Switch> all;
  all.reserve(kControllerCount);
  for (int controller = 0; controller < kControllerCount; ++controller)
    all.push_back(running_switch(controller));
  return all;
}

std::vector<FaultInjector::Switch> FaultInjector::pause_one() {
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

std::vector<FaultInjector::Switch> FaultInjector::refuse_peers() {
  return {[this](bool on) {
    for (int from = 0; from < kControllerCount; ++from)
      for (int to = 0; to < kControllerCount; ++to)
        if (from != to) controllers_.link(from, to).refuses_connections = on;
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::isolate_with_workers() {
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
      return lab_.random_fraction() < share ? lab_.random_duration(kMinLatencySeconds, max_seconds)
                                            : Micros{0};
    };
}

std::vector<FaultInjector::Switch> FaultInjector::slow_store_answers() {
  return {[this](bool on) {
    if (on)
      set_store_latency(kShareInSlowSpell, kSlowSpellSeconds);
    else
      set_store_latency(kShareOfSlowAnswers, kSlowAnswerSeconds);
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::hold_store_requests() {
  return {[this, controller = lab_.random_controller()](bool on) {
    store_.link(controller).to_server.held = on;
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::hold_store_answers() {
  return {[this, controller = lab_.random_controller()](bool on) {
    store_.link(controller).to_client.held = on;
  }};
}

std::vector<FaultInjector::Switch> FaultInjector::refuse_at_store() {
  return {[this, controller = lab_.random_controller()](bool on) { store_.set_refused(controller, on); }};
}

std::vector<FaultInjector::Switch> FaultInjector::store_outage() {
  return {[this](bool on) { store_.set_outage(on); }};
}

// ---- machines, the cloud, users ------------------------------------------------------------------

std::vector<FaultInjector::Switch> FaultInjector::cut_from_workers() {
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

std::vector<FaultInjector::Switch> FaultInjector::on_some_machines(bool sim::SimulatedWorker::*flag) {
  std::vector<Switch> switches;
  for (const std::string& name : workers_.running_machines()) {
    if (lab_.random_fraction() > kShareOfMachines) continue;
    switches.emplace_back([this, name, flag](bool on) {
      if (sim::SimulatedWorker* worker = workers_.worker(name)) worker->*flag = on;
    });
  }
  return switches;
}

std::vector<FaultInjector::Switch> FaultInjector::hang_machines() {
  return on_some_machines(&sim::SimulatedWorker::hanging);
}

std::vector<FaultInjector::Switch> FaultInjector::make_unreachable_outbound() {
  return on_some_machines(&sim::SimulatedWorker::unreachable_outbound);
}

std::vector<FaultInjector::Switch> FaultInjector::make_unreachable_inbound() {
  return on_some_machines(&sim::SimulatedWorker::unreachable_inbound);
}

std::vector<FaultInjector::Switch> FaultInjector::late_heartbeats() {
  return {[this](bool on) { workers_.set_late_duplicate_heartbeats(on); }};
}

std::vector<FaultInjector::Switch> FaultInjector::late_commands() {
  return {[this](bool on) { workers_.set_max_command_delay(on ? kLatestCommand : Micros{0}); }};
}

std::vector<FaultInjector::Switch> FaultInjector::cloud_outage() {
  return {[this](bool on) { workers_.set_cloud_outage(on); }};
}

std::vector<FaultInjector::Switch> FaultInjector::cancel_some() {
  users_.cancel_some(1 + lab_.random_index(kMostCancelled));
  return {};
}

}  // namespace bendtide::lab
