#include "soak.h"

#include <sstream>

namespace bendtide::lab {

namespace {

constexpr Micros kCheckInterval = millis(100);
constexpr Micros kCopyInterval = millis(250);
constexpr Micros kMetricsTimeout = seconds(2);
constexpr char kViolationMetricPrefix[] = "bendtide_invariant_violations{";

std::string with_prefix(const std::string& prefix, const std::string& text) {
  std::string out = prefix;
  out += ": ";
  out += text;
  return out;
}

/// Returns the lines of the metrics whose counters of violated invariants are not zero.
std::vector<std::string> violated_invariants(const std::string& metrics) {
  std::vector<std::string> out;
  std::istringstream lines(metrics);
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(kViolationMetricPrefix) && !line.ends_with(" 0")) out.push_back(line);
  return out;
}

}  // namespace

Soak::Soak(const Plan& plan)
    : lab_(plan),
      store_(lab_),
      workers_(lab_),
      controllers_(lab_),
      users_(lab_),
      injector_(lab_, controllers_, store_, workers_, users_) {}

SoakResult Soak::run() {
  lab_.loop.on_error = [this](const std::string& what) { lab_.history.add("laboratory: " + what); };
  store_.start();
  workers_.start();
  controllers_.start_all();
  users_.start();
  injector_.start();
  if (lab_.plan.late_start_copies) lab_.loop.spawn(deliver_late_start_copies());
  lab_.loop.spawn(run_checks_until_end());
  lab_.loop.run();
  return collect_result();
}

io::Task<> Soak::run_checks_until_end() {
  const Micros end = lab_.plan.fault_phase + lab_.plan.settle_timeout;
  bool settled = false;
  while (lab_.now() < end && !is_finished()) {
    lab_.checker.check_cancelled_jobs(lab_.now());
    if (!settled && lab_.now() >= lab_.plan.fault_phase) {
      settled = true;
      lab_.checker.set_settled(lab_.now());
    }
    co_await lab_.loop.sleep(kCheckInterval);
  }
  for (int i = 0; i < kControllerCount; ++i) co_await read_metrics(i);
  lab_.closing = true;
  lab_.loop.stop();
}

io::Task<> Soak::deliver_late_start_copies() {
  const auto reachable_worker = [this](const std::string& machine) {
    sim::SimulatedWorker* worker = workers_.worker(machine);
    return worker == nullptr || worker->hanging || worker->unreachable_inbound ? nullptr : worker;
  };
  std::vector<std::string> known_leaders;
  while (!lab_.closing) {
    const std::vector<std::string> leaders = store_.leaders();
    if (leaders != known_leaders) lab_.late_start_copies.on_leader_changed("");
    known_leaders = leaders;
    lab_.late_start_copies.deliver(reachable_worker, lab_.now());
    co_await lab_.loop.sleep(kCopyInterval);
  }
}

bool Soak::is_finished() const {
  if (!lab_.plan.expected_rule.empty()) return lab_.checker.violations().contains(lab_.plan.expected_rule);
  return lab_.now() >= lab_.plan.fault_phase && users_.unfinished_jobs().empty();
}

io::Task<> Soak::read_metrics(int controller) {
  HttpCall call{lab_.address(Laboratory::internal_port(controller)), "GET", "/admin/metrics", "",
                kMetricsTimeout};
  const io::HttpClient::Result result = co_await perform(lab_.loop, std::move(call));
  metrics_.at(static_cast<std::size_t>(controller)) = result.body;
}

SoakResult Soak::collect_result() {
  SoakResult result;
  lab_.checker.check_at_end();
  for (const auto& [rule, cases] : lab_.checker.violations()) {
    result.violated_rules.push_back(rule);
    for (const std::string& description : cases) result.violations.push_back(with_prefix(rule, description));
  }
  for (const std::string& job : users_.unfinished_jobs())
    result.violations.push_back(with_prefix("unfinished", job));
  if (controllers_.unexpected_exits() > 0)
    result.violations.push_back("unexpected exits of controllers: " +
                                std::to_string(controllers_.unexpected_exits()));
  for (int i = 0; i < kControllerCount; ++i) {
    const std::string& metrics = metrics_.at(static_cast<std::size_t>(i));
    if (metrics.empty())
      result.violations.push_back(with_prefix(Laboratory::host_name(i), "no metrics served at the end"));
    for (const std::string& line : violated_invariants(metrics)) result.violations.push_back(line);
    for (const std::string& line : controllers_.errors(i))
      result.violations.push_back(with_prefix("error in the log", line));
  }
  if (lab_.plan.late_start_copies) add_late_copy_violations(result);
  result.summary = summary();
  return result;
}

void Soak::add_late_copy_violations(SoakResult& result) const {
  if (lab_.late_start_copies.started_attempts() > 0)
    result.violations.push_back("attempts started by late copies: " +
                                std::to_string(lab_.late_start_copies.started_attempts()));
  for (const std::string& situation : lab_.late_start_copies.missing_pairs())
    result.violations.push_back(with_prefix("no late copy was delivered", situation));
}

std::string Soak::summary() const {
  std::ostringstream text;
  text << users_.accepted_jobs() << " of " << users_.submitted_jobs() << " jobs accepted, "
       << users_.responses() << " responses and " << users_.failed_requests() << " failed requests, "
       << injector_.injected_faults() << " faults, in " << in_seconds(lab_.now()) << " s";
  if (lab_.plan.late_start_copies) text << "; late copies of starts: " << lab_.late_start_copies.summary();
  return text.str();
}

}  // namespace bendtide::lab
