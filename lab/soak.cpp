#include "soak.h"

#include <sstream>

namespace bendtide::lab {

namespace {

constexpr Micros kLookEvery = millis(100);
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
      state_(lab_),
      workers_(lab_),
      controllers_(lab_),
      users_(lab_),
      injector_(lab_, controllers_, state_, workers_, users_) {}

Verdict Soak::run() {
  lab_.loop.on_error = [this](const std::string& what) { lab_.history.add("laboratory: " + what); };
  state_.run();
  workers_.run();
  controllers_.run();
  users_.run();
  injector_.run();
  lab_.loop.spawn(stop_at_the_end());
  lab_.loop.run();
  Verdict verdict;
  judge(verdict);
  return verdict;
}

io::Task<> Soak::stop_at_the_end() {
  const Micros end = lab_.plan.faults_for + lab_.plan.settle_for;
  bool calm = false;
  while (lab_.now() < end && !has_ended()) {
    lab_.checker.check_cancelled_jobs(lab_.now());
    if (!calm && lab_.now() >= lab_.plan.faults_for) {
      calm = true;
      lab_.checker.set_settled(lab_.now());
    }
    co_await lab_.loop.sleep(kLookEvery);
  }
  for (int i = 0; i < kControllers; ++i) co_await read_metrics(i);
  lab_.closing = true;
  lab_.loop.stop();
}

/// All work is done; or the planted fault has been seen, which else needs all of the time.
bool Soak::has_ended() const {
  if (!lab_.plan.expected_rule.empty()) return lab_.checker.violations().contains(lab_.plan.expected_rule);
  return lab_.now() >= lab_.plan.faults_for && users_.unfinished().empty();
}

io::Task<> Soak::read_metrics(int controller) {
  HttpCall call{lab_.address(Laboratory::internal_port(controller)), "GET", "/admin/metrics", "",
                kMetricsWithin};
  const io::HttpClient::Result result = co_await perform(lab_.loop, std::move(call));
  metrics_.at(static_cast<std::size_t>(controller)) = result.body;
}

void Soak::judge(Verdict& verdict) {
  lab_.checker.finish();
  for (const auto& [rule, cases] : lab_.checker.violations()) {
    verdict.broken_rules.push_back(rule);
    for (const std::string& what : cases) verdict.faults.push_back(labelled(rule, what));
  }
  for (const std::string& what : users_.unfinished()) verdict.faults.push_back(labelled("unfinished", what));
  if (controllers_.unexpected_ends() > 0)
    verdict.faults.push_back("controllers that ended by themselves: " +
                             std::to_string(controllers_.unexpected_ends()));
  for (int i = 0; i < kControllers; ++i) {
    const std::string& metrics = metrics_.at(static_cast<std::size_t>(i));
    if (metrics.empty())
      verdict.faults.push_back(labelled(Laboratory::host(i), "shows no metrics at the end"));
    for (const std::string& line : violations_in(metrics)) verdict.faults.push_back(line);
    for (const std::string& line : controllers_.errors(i))
      verdict.faults.push_back(labelled("in a log", line));
  }
  std::ostringstream summary;
  summary << users_.accepted() << " of " << users_.submitted() << " jobs accepted, " << users_.answers()
          << " answers and " << users_.refusals() << " refusals, " << injector_.injected() << " faults, in "
          << in_seconds(lab_.now()) << " s";
  verdict.summary = summary.str();
}

}  // namespace bendtide::lab
