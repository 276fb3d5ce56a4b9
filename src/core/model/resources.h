// Amounts: what a task takes of a machine, and what counts for the quota of a team.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

namespace bendtide {

/// Amounts in thousandths, so that sums are exact.
struct Resources {
  std::int64_t cpu = 0;
  std::int64_t gpu = 0;
  std::int64_t memory = 0;

  auto operator<=>(const Resources&) const = default;
  Resources& operator+=(const Resources& o) {
    cpu += o.cpu, gpu += o.gpu, memory += o.memory;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpu -= o.cpu, gpu -= o.gpu, memory -= o.memory;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, std::int64_t n) { return {a.cpu * n, a.gpu * n, a.memory * n}; }
  bool fits_in(const Resources& o) const { return cpu <= o.cpu && gpu <= o.gpu && memory <= o.memory; }
  /// How many copies of `each` go into this.
  std::int64_t holds(const Resources& each) const {
    std::int64_t n = INT32_MAX;
    if (each.cpu > 0) n = std::min(n, std::max<std::int64_t>(0, cpu) / each.cpu);
    if (each.gpu > 0) n = std::min(n, std::max<std::int64_t>(0, gpu) / each.gpu);
    if (each.memory > 0) n = std::min(n, std::max<std::int64_t>(0, memory) / each.memory);
    return n;
  }
};

/// What a team's limit and guarantee speak of: memory is not limited.
struct Quota {
  std::int64_t cpu = 0;
  std::int64_t gpu = 0;

  auto operator<=>(const Quota&) const = default;
  Quota& operator+=(const Quota& o) {
    cpu += o.cpu, gpu += o.gpu;
    return *this;
  }
  Quota& operator-=(const Quota& o) {
    cpu -= o.cpu, gpu -= o.gpu;
    return *this;
  }
  friend Quota operator+(Quota a, const Quota& b) { return a += b; }
  friend Quota operator-(Quota a, const Quota& b) { return a -= b; }
  friend Quota operator*(Quota a, std::int64_t n) { return {a.cpu * n, a.gpu * n}; }
  bool fits_in(const Quota& o) const { return cpu <= o.cpu && gpu <= o.gpu; }
  std::int64_t holds(const Quota& each) const {
    return Resources{cpu, gpu, 0}.holds(Resources{each.cpu, each.gpu, 0});
  }
};

/// The same amounts, with none below zero.
inline Quota at_least_zero(const Quota& quota) {
  return {std::max<std::int64_t>(0, quota.cpu), std::max<std::int64_t>(0, quota.gpu)};
}

inline Quota quota_of(const Resources& r) { return {r.cpu, r.gpu}; }

/// Above all that can ever be used, and far from an overflow.
constexpr Quota kNoLimit{1'000'000'000'000'000, 1'000'000'000'000'000};

struct Team {
  std::string name;
  Quota guarantee;
  Quota limit;
};

}  // namespace bendtide
