// Amounts of resources: what tasks take of a machine, and what counts against the quota of a team.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

namespace bendtide {

/// Amounts in whole thousandths, so that sums are exact: of a cpu, of a gpu, and of a GB of memory. They may
/// be below zero in differences.
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
  /// How many copies of `each` fit into this, at most INT32_MAX. What `each` has none of does not count.
  std::int64_t holds(const Resources& each) const {
    std::int64_t copies = INT32_MAX;
    if (each.cpu > 0) copies = std::min(copies, std::max<std::int64_t>(0, cpu) / each.cpu);
    if (each.gpu > 0) copies = std::min(copies, std::max<std::int64_t>(0, gpu) / each.gpu);
    if (each.memory > 0) copies = std::min(copies, std::max<std::int64_t>(0, memory) / each.memory);
    return copies;
  }
};

/// The resources that a team's limit and guarantee are given in, in the same units. Memory is not limited.
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
  /// As Resources::holds().
  std::int64_t holds(const Quota& each) const {
    return Resources{cpu, gpu, 0}.holds(Resources{each.cpu, each.gpu, 0});
  }
};

/// The part of `resources` that counts against a quota.
inline Quota quota_of(const Resources& resources) { return {resources.cpu, resources.gpu}; }

/// The same amounts, with none below zero.
inline Quota at_least_zero(const Quota& quota) {
  return {std::max<std::int64_t>(0, quota.cpu), std::max<std::int64_t>(0, quota.gpu)};
}

/// The limit of a team that has none: above all that can ever be used, and far from an overflow.
constexpr Quota kNoLimit{1'000'000'000'000'000, 1'000'000'000'000'000};

/// A team as configured for the whole cluster; the names of teams are unique.
struct Team {
  std::string name;
  Quota guarantee;  ///< what it gets even if others have to give way
  Quota limit;      ///< what it may use at most
};

}  // namespace bendtide
