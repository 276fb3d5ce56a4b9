// Counters and histograms of one controller, in the text format that scrapers read.
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

class Metrics {
 public:
  Metrics();
  ~Metrics();

  enum class Kind { user, worker, state, cloud, orders };
  /// One answered request or finished call; `good` tells whether it got what it was for.
  void observe(Kind kind, Micros took, bool good);
  /// What the core counts itself, as of now.
  void set_core(const InvariantCounts& invariants, std::uint64_t answers_not_acted_on);
  std::string text() const;

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
