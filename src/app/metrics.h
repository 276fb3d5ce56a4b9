// Metrics of one controller, exposed in the Prometheus text format.
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

/// The names of metrics and labels are an interface that operators depend on. Not thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Requests by their sender (user, worker) and calls by their receiver. Some labels in the text differ from
  /// the enumerators: `store` is "state" and `commands` is "orders".
  enum class Kind { user, worker, store, cloud, commands };
  /// Records an answered request or a finished call. `elapsed` is measured with the steady clock.
  /// `succeeded`: whether a request was answered without a server error, or a call got the response that it
  /// needs.
  void observe(Kind kind, Micros elapsed, bool succeeded);
  /// Sets the metrics that the core counts itself.
  void set_core(const InvariantCounts& invariants, std::uint64_t responses_not_acted_on);
  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

 private:
  /// The metrics of one Kind.
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
