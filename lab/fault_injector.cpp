#include "fault_injector.h"

namespace bendtide::lab {

namespace {

constexpr double kShareOfSlowAnswers = 0.04;  ///< at all times, "now and then a few hundred" milliseconds
constexpr double kSlowAnswerSeconds = 0.4;
constexpr double kShareInSlowSpell = 0.3;
constexpr double kSlowSpellSeconds = 0.95;  ///< within a controller's patience of a second
constexpr double kLongestPause = 5;         ///< seconds between two faults
constexpr double kShareOfMachines = 0.25;   ///< that a fault of machines strikes
constexpr Micros kLatestCommand = seconds(10);
constexpr int kMostCancelled = 6;

}  // namespace

FaultInjector::FaultInjector(Laboratory& lab, Controllers& controllers, StateServer& state,
                             WorkerFleet& workers, UserCrowd& users)
    : lab_(lab), controllers_(controllers), state_(state), workers_(workers), users_(users) {}

const std::vector<FaultInjector::Fault>& FaultInjector::faults() {
  using F = FaultInjector;
  static const std::vector<Fault> all{{"kills one controller", &F::kill_one},
                                      {"kills all controllers", &F::kill_all},
                                      {"pauses a controller", &F::pause_one},
                                      {"slows the state service's answers", &F::slow_state_answers},
                                      {"slows the state service's answers", &F::slow_state_answers},
                                      {"holds requests to the state service", &F::hold_state_requests},
                                      {"holds answers of the state service", &F::hold_state_answers},
                                      {"has one refused by the state service", &F::refuse_one},
                                      {"takes the state service away", &F::state_outage},
                                      {"holds messages between two controllers", &F::hold_peer_messages},
                                      {"refuses connections between controllers", &F::refuse_peers},
                                      {"leaves a controller its workers alone", &F::isolate_with_workers},
                                      {"cuts a controller from the workers", &F::cut_from_workers},
                                      {"ends a machine", &F::kill_machine},
                                      {"hangs machines", &F::hang_machines},
                                      {"lets machines reach nobody", &F::mute_machines},
                                      {"lets nothing reach machines", &F::deafen_machines},
                                      {"repeats reports late", &F::late_reports},
                                      {"executes commands late", &F::late_commands},
                                      {"takes the cloud away", &F::cloud_outage},
                                      {"calls jobs off", &F::cancel_some}};
  return all;
}

void FaultInjector::run() {
  set_state_latency(kShareOfSlowAnswers, kSlowAnswerSeconds);
  if (lab_.plan.faults) lab_.loop.spawn(inject_at_random());
}

io::Task<> FaultInjector::inject_at_random() {
  co_await lab_.loop.sleep(seconds(8));
  while (lab_.now() < lab_.plan.faults_for) {
    const Fault& fault = faults().at(static_cast<std::size_t>(lab_.pick(static_cast<int>(faults().size()))));
    lab_.history.add(std::string("injector: ") + fault.name);
    ++injected_;
    (this->*fault.inject)();
    co_await lab_.loop.sleep(lab_.between(0.2, kLongestPause));
  }
  calm();
}

io::Task<> FaultInjector::later(Micros delay, Action action) {
  co_await lab_.loop.sleep(delay);
  action();
}

void FaultInjector::for_a_while(double from_seconds, double to_seconds, const Action& begin,
                                const Action& end) {
  begin();
  lab_.loop.spawn(later(lab_.between(from_seconds, to_seconds), end));
}

/// What still lasts ends by itself within seconds; machines that were lost or changed for good stay so.
void FaultInjector::calm() {
  lab_.history.add("injector: all is calm");
  set_state_latency(0, 0);
}

// ---- controllers ---------------------------------------------------------------------------------

void FaultInjector::kill_one() {
  const int controller = lab_.pick(kControllers);
  const double longest = lab_.chance() < 0.4 ? 0.3 : 4;
  for_a_while(
      0.02, longest, [&] { controllers_.kill(controller); },
      [this, controller] { controllers_.start(controller); });
}

void FaultInjector::kill_all() {
  for (int controller = 0; controller < kControllers; ++controller)
    for_a_while(
        0.1, 4, [&] { controllers_.kill(controller); },
        [this, controller] { controllers_.start(controller); });
}

void FaultInjector::pause_one() {
  const int controller = lab_.pick(kControllers);
  for_a_while(
      0.2, 12, [&] { controllers_.pause(controller); },
      [this, controller] { controllers_.resume(controller); });
}

void FaultInjector::hold_peer_messages() {
  const int from = lab_.pick(kControllers);
  const int to = (from + 1 + lab_.pick(kControllers - 1)) % kControllers;
  for_a_while(
      1, 10, [&] { controllers_.link(from, to).to_server.held = true; },
      [this, from, to] { controllers_.link(from, to).to_server.held = false; });
}

void FaultInjector::refuse_peers() {
  auto set = [this](bool refuses) {
    for (int from = 0; from < kControllers; ++from)
      for (int to = 0; to < kControllers; ++to)
        if (from != to) controllers_.link(from, to).refuses = refuses;
  };
  for_a_while(
      2, 8, [&] { set(true); }, [set] { set(false); });
}

void FaultInjector::isolate_with_workers() {
  const int controller = lab_.pick(kControllers);
  auto set = [this, controller](bool held) {
    state_.link(controller).to_server.held = state_.link(controller).to_client.held = held;
    for (int other = 0; other < kControllers; ++other) {
      if (other == controller) continue;
      controllers_.link(controller, other).to_server.held = held;
      controllers_.link(other, controller).to_server.held = held;
    }
  };
  for_a_while(
      2, 12, [&] { set(true); }, [set] { set(false); });
}

// ---- the key-value store ---------------------------------------------------------------------------

void FaultInjector::set_state_latency(double share, double longest_seconds) {
  for (int controller = 0; controller < kControllers; ++controller)
    state_.link(controller).to_client.latency = [this, share, longest_seconds] {
      return lab_.chance() < share ? lab_.between(0.03, longest_seconds) : Micros{0};
    };
}

void FaultInjector::slow_state_answers() {
  for_a_while(
      4, 12, [&] { set_state_latency(kShareInSlowSpell, kSlowSpellSeconds); },
      [this] { set_state_latency(kShareOfSlowAnswers, kSlowAnswerSeconds); });
}

void FaultInjector::hold_state_requests() {
  const int controller = lab_.pick(kControllers);
  for_a_while(
      0.5, 8, [&] { state_.link(controller).to_server.held = true; },
      [this, controller] { state_.link(controller).to_server.held = false; });
}

void FaultInjector::hold_state_answers() {
  const int controller = lab_.pick(kControllers);
  for_a_while(
      0.5, 8, [&] { state_.link(controller).to_client.held = true; },
      [this, controller] { state_.link(controller).to_client.held = false; });
}

void FaultInjector::refuse_one() {
  const int controller = lab_.pick(kControllers);
  for_a_while(
      2, 10, [&] { state_.set_refusal(controller, true); },
      [this, controller] { state_.set_refusal(controller, false); });
}

void FaultInjector::state_outage() {
  for_a_while(
      1, 10, [&] { state_.set_outage(true); }, [this] { state_.set_outage(false); });
}

// ---- machines, the cloud, users ------------------------------------------------------------------

void FaultInjector::cut_from_workers() {
  const int controller = lab_.pick(kControllers);
  for_a_while(
      2, 12, [&] { workers_.set_cut(controller, true); },
      [this, controller] { workers_.set_cut(controller, false); });
}

void FaultInjector::kill_machine() {
  const std::vector<std::string> names = workers_.up();
  if (!names.empty())
    workers_.kill(names.at(static_cast<std::size_t>(lab_.pick(static_cast<int>(names.size())))));
}

void FaultInjector::with_some_machines(double from_seconds, double to_seconds,
                                       const std::function<void(sim::SimulatedWorker&, bool)>& set) {
  for (const std::string& name : workers_.up()) {
    if (lab_.chance() > kShareOfMachines) continue;
    auto change = [this, name, set](bool on) {
      if (sim::SimulatedWorker* worker = workers_.worker(name)) set(*worker, on);
    };
    for_a_while(
        from_seconds, to_seconds, [&] { change(true); }, [change] { change(false); });
  }
}

void FaultInjector::hang_machines() {
  with_some_machines(1, 14, [](sim::SimulatedWorker& worker, bool on) { worker.hanging = on; });
}

void FaultInjector::mute_machines() {
  with_some_machines(1, 14, [](sim::SimulatedWorker& worker, bool on) { worker.unreachable_outbound = on; });
}

void FaultInjector::deafen_machines() {
  with_some_machines(1, 14, [](sim::SimulatedWorker& worker, bool on) { worker.unreachable_inbound = on; });
}

void FaultInjector::late_reports() {
  for_a_while(
      4, 10, [&] { workers_.set_late_reports(true); }, [this] { workers_.set_late_reports(false); });
}

void FaultInjector::late_commands() {
  for_a_while(
      4, 10, [&] { workers_.set_late_commands(kLatestCommand); },
      [this] { workers_.set_late_commands(Micros{0}); });
}

void FaultInjector::cloud_outage() {
  for_a_while(
      2, 10, [&] { workers_.set_cloud_outage(true); }, [this] { workers_.set_cloud_outage(false); });
}

void FaultInjector::cancel_some() { users_.cancel_some(1 + lab_.pick(kMostCancelled)); }

}  // namespace bendtide::lab
