// A rate limiter for requests to other services.
#pragma once

#include <algorithm>

#include "core/model/time.h"

namespace bendtide {

/// A token bucket that refills at `rate` tokens per second up to `burst` tokens and starts full. Times are on
/// the steady clock.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
  /// Takes `tokens` tokens. If the bucket holds fewer, takes none and returns false.
  bool try_take(Micros now, double tokens = 1) {
    if (!has_tokens(now, tokens)) return false;
    level_ -= tokens;
    return true;
  }
  /// Whether the bucket holds at least `tokens` tokens.
  bool has_tokens(Micros now, double tokens = 1) {
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
