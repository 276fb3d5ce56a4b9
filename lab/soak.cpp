#include "soak.h"

#include <sstream>

namespace bendtide::lab {

namespace {

constexpr Micros kCheckEvery = millis(100);
constexpr Micros kMetricsWithin = seconds(2);
constexpr char kViolations[] = "bendtide_invariant_violations{";

std::string labelled(const std::string& label, const std::string& what) {
  std::string out = label;
  out += ": ";
  out += what;
  return out;
}

/// Counters of violated invariants that are not zero, as the metrics show them.
std::vector<std::string> violations_in(const std::string& metrics) {
  std::vector<std::string> out;
  std::istringstream lines(metrics);
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(kViolations) && !line.ends_with(" 0")) out.push_back(line);
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

Verdict Soak::run() {
  lab_.loop.on_error = [this](const std::string& what) { lab_.history.add("laboratory: " + what); };
  store_.start();
  workers_.start();
  controllers_.start_all();
  users_.start();
  injector_.start();
  lab_.loop.spawn(stop_at_the_end());
  lab_.loop.run();
  return judge();
}

io::Task<> Soak::stop_at_the_end() {
  const Micros end = lab_.plan.fault_phase + lab_.plan.settle_timeout;
  bool settling = false;
  while (lab_.now() < end && !has_ended()) {
    lab_.checker.check_cancelled_jobs(lab_.now());
    if (!settling && lab_.now() >= lab_.plan.fault_phase) {
      settling = true;
      lab_.checker.set_settled(lab_.now());
    }
    co_await lab_.loop.sleep(kCheckEvery);
  }
  for (int i = 0; i < kControllerCount; ++i) co_await read_metrics(i);
  lab_.closing = true;
  lab_.loop.stop();
}

bool Soak::has_ended() const {
  if (!lab_.plan.expected_rule.empty()) return lab_.checker.violations().contains(lab_.plan.expected_rule);
  return lab_.now() >= lab_.plan.fault_phase && users_.unfinished_jobs().empty();
}

io::Task<> Soak::read_metrics(int controller) {
  HttpCall call{lab_.address(Laboratory::internal_port(controller)), "GET", "/admin/metrics", "",
                kMetricsWithin};
  const io::HttpClient::Result result = co_await perform(lab_.loop, std::move(call));
  metrics_.at(static_cast<std::size_t>(controller)) = result.body;
}

Verdict Soak::judge() {
  Verdict verdict;
  lab_.checker.finish();
  for (const auto& [rule, cases] : lab_.checker.violations()) {
    verdict.broken_rules.push_back(rule);
    for (const std::string& what : cases) verdict.violations.push_back(labelled(rule, what));
  }
  for (const std::string& what : users_.unfinished_jobs())
    verdict.violations.push_back(labelled("unfinished", what));
  if (controllers_.unexpected_exits() > 0)
    verdict.violations.push_back("unexpected exits of controllers: " +
                                 std::to_string(controllers_.unexpected_exits()));
  for (int i = 0; i < kControllerCount; ++i) {
    const std::string& metrics = metrics_.at(static_cast<std::size_t>(i));
    if (metrics.empty())
      verdict.violations.push_back(labelled(Laboratory::host_name(i), "serves no metrics at the end"));
    for (const std::string& line : violations_in(metrics)) verdict.violations.push_back(line);
    for (const std::string& line : controllers_.errors(i))
      verdict.violations.push_back(labelled("in a log", line));
  }
  verdict.summary = summary();
  return verdict;
}

std::string Soak::summary() const {
  std::ostringstream text;
  text << users_.accepted_jobs() << " of " << users_.submitted_jobs() << " jobs accepted, "
       << users_.responses() << " answers and " << users_.failed_requests() << " refusals, "
       << injector_.injected_faults() << " faults, in " << in_seconds(lab_.now()) << " s";
  return text.str();
}

}  // namespace bendtide::lab
