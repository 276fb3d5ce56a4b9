// Rate limits for requests to other services.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace bendtide {

/// Passes `rate` a second, with bursts of up to `burst`.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
  bool take(Micros now, double n = 1) {
    refill(now);
    if (level_ < n) return false;
    level_ -= n;
    return true;
  }
  bool has(Micros now, double n = 1) {
    refill(now);
    return level_ >= n;
  }

 private:
  void refill(Micros now) {
    if (now > last_) level_ = std::min(burst_, level_ + rate_ * in_seconds(now - last_));
    last_ = std::max(last_, now);
  }
  double rate_, burst_, level_;
  Micros last_{0};
};

}  // namespace bendtide
