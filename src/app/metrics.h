// Counters and histograms of one controller, in the text format that Prometheus scrapes.
#pragma once

#include <memory>
#include <string>

#include "core/model/time.h"
#include "core/runtime/invariants.h"

namespace prometheus {
class Histogram;
class Registry;
template <class T>
class Family;
class Counter;
class Gauge;
}  // namespace prometheus

namespace bendtide {

/// One thread. The names of metrics and labels are part of the operators' interface.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Requests by who sends them, and calls by who receives them. The labels in the text are older names.
  enum class Kind { user, worker, store, cloud, commands };
  /// Counts one answered request or finished call; `took` is a span of the steady clock, `good` tells whether
  /// it got the reply that was wanted.
  void observe(Kind kind, Micros took, bool good);
  /// Takes over what the core counts itself.
  void set_core(const InvariantCounts& invariants, std::uint64_t answers_not_acted_on);
  /// All metrics as text.
  [[nodiscard]] std::string text() const;

 private:
  struct Series {
    prometheus::Histogram* seconds = nullptr;
    prometheus::Counter* failures = nullptr;
  };
  static constexpr std::size_t kKinds = 5;
  std::shared_ptr<prometheus::Registry> registry_;
  Series series_[kKinds];
  std::array<prometheus::Gauge*, kInvariants> violations_{};
  prometheus::Gauge* answers_not_acted_on_ = nullptr;
};

}  // namespace bendtide
