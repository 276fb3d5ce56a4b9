// Rate limits for requests to other services.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace bendtide {

/// Grants `rate` tokens a second, and up to `burst` at once. It starts full. Times are on the steady clock.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
  /// Takes that many tokens; takes none, and returns false, if there are fewer.
  bool take(Micros now, double tokens = 1) {
    if (!has(now, tokens)) return false;
    level_ -= tokens;
    return true;
  }
  bool has(Micros now, double tokens = 1) {
    refill(now);
    return level_ >= tokens;
  }

 private:
  void refill(Micros now) {
    if (now > last_) level_ = std::min(burst_, level_ + rate_ * in_seconds(now - last_));
    last_ = std::max(last_, now);
  }

  double rate_;
  double burst_;
  double level_;
  Micros last_{0};
};

}  // namespace bendtide
