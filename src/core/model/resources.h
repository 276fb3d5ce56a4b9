// Amounts of resources: those that tasks use on a machine, and those that count against the quota of a team.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

namespace bendtide {

/// Amounts in whole thousandths of a cpu, of a gpu and of a GB of memory, so that sums are exact. The result
/// of a subtraction may be negative.
struct Resources {
  std::int64_t cpu = 0;
  std::int64_t gpu = 0;
  std::int64_t memory = 0;

  auto operator<=>(const Resources&) const = default;
  Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    gpu += other.gpu;
    memory += other.memory;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu -= other.cpu;
    gpu -= other.gpu;
    memory -= other.memory;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, std::int64_t n) { return {a.cpu * n, a.gpu * n, a.memory * n}; }
  bool fits_in(const Resources& other) const {
    return cpu <= other.cpu && gpu <= other.gpu && memory <= other.memory;
  }
  /// Returns how many times `each` fits into these resources, at most INT32_MAX. Resources that `each` does
  /// not need are ignored.
  std::int64_t count_that_fit(const Resources& each) const {
    std::int64_t copies = INT32_MAX;
    if (each.cpu > 0) copies = std::min(copies, std::max<std::int64_t>(0, cpu) / each.cpu);
    if (each.gpu > 0) copies = std::min(copies, std::max<std::int64_t>(0, gpu) / each.gpu);
    if (each.memory > 0) copies = std::min(copies, std::max<std::int64_t>(0, memory) / each.memory);
    return copies;
  }
};

/// An amount of the resources that count against a team's limit and guarantee, in the units of Resources.
/// Memory does not count.
struct Quota {
  std::int64_t cpu = 0;
  std::int64_t gpu = 0;

  auto operator<=>(const Quota&) const = default;
  Quota& operator+=(const Quota& other) {
    cpu += other.cpu;
    gpu += other.gpu;
    return *this;
  }
  Quota& operator-=(const Quota& other) {
    cpu -= other.cpu;
    gpu -= other.gpu;
    return *this;
  }
  friend Quota operator+(Quota a, const Quota& b) { return a += b; }
  friend Quota operator-(Quota a, const Quota& b) { return a -= b; }
  friend Quota operator*(Quota a, std::int64_t n) { return {a.cpu * n, a.gpu * n}; }
  bool fits_in(const Quota& other) const { return cpu <= other.cpu && gpu <= other.gpu; }
  /// See Resources::count_that_fit().
  std::int64_t count_that_fit(const Quota& each) const {
    return Resources{cpu, gpu, 0}.count_that_fit(Resources{each.cpu, each.gpu, 0});
  }
};

/// The part of `resources` that counts against a quota.
inline Quota quota_of(const Resources& resources) { return {resources.cpu, resources.gpu}; }

/// Returns the same amounts with negative ones replaced by zero.
inline Quota at_least_zero(const Quota& quota) {
  return {std::max<std::int64_t>(0, quota.cpu), std::max<std::int64_t>(0, quota.gpu)};
}

/// The limit of a team without a configured limit: higher than any possible use, and low enough that sums do
/// not overflow.
constexpr Quota kNoLimit{1'000'000'000'000'000, 1'000'000'000'000'000};

/// A team as configured for the whole cluster. Team names are unique.
struct Team {
  std::string name;
  Quota guarantee;  ///< the amount that the team gets even if tasks of other teams must be preempted
  Quota limit;      ///< the most that the team may use
};

}  // namespace bendtide
