#include "app/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bendtide {

Metrics::Metrics() : registry_(std::make_shared<prometheus::Registry>()) {
  auto& seconds =
      prometheus::BuildHistogram()
          .Name("bendtide_request_seconds")
          .Help("Duration of requests from users and workers and of calls to other services, in seconds")
          .Register(*registry_);
  auto& failures = prometheus::BuildCounter()
                       .Name("bendtide_request_failures_total")
                       .Help("Requests and calls that failed")
                       .Register(*registry_);
  const prometheus::Histogram::BucketBoundaries buckets{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0};
  const char* const labels[kKinds] = {"user", "worker", "state", "cloud", "orders"};
  for (std::size_t i = 0; i < kKinds; ++i)
    series_[i] = {&seconds.Add({{"kind", labels[i]}}, buckets), &failures.Add({{"kind", labels[i]}})};
  auto& violations = prometheus::BuildGauge()
                         .Name("bendtide_invariant_violations")
                         .Help("Invariant violations since the start of the process; expected to be 0")
                         .Register(*registry_);
  for (std::size_t i = 0; i < kInvariants; ++i)
    violations_[i] = &violations.Add({{"invariant", kInvariantNames[i]}});
  answers_not_acted_on_ =
      &prometheus::BuildGauge()
           .Name("bendtide_answers_not_acted_on")
           .Help("Answers that arrived too late to be acted on, since the start of the process")
           .Register(*registry_)
           .Add({});
}

Metrics::~Metrics() = default;

void Metrics::observe(Kind kind, Micros elapsed, bool succeeded) {
  Series& series = series_[static_cast<std::size_t>(kind)];
  series.seconds->Observe(in_seconds(elapsed));
  if (!succeeded) series.failures->Increment();
}

void Metrics::set_core(const InvariantCounts& invariants, std::uint64_t responses_not_acted_on) {
  for (std::size_t i = 0; i < kInvariants; ++i)
    violations_[i]->Set(static_cast<double>(invariants.violations[i]));
  answers_not_acted_on_->Set(static_cast<double>(responses_not_acted_on));
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

}  // namespace bendtide
