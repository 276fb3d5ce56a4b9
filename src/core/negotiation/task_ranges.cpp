#include "core/negotiation/task_ranges.h"

#include <algorithm>

namespace bendtide {

namespace {

constexpr std::size_t kMaxRangeBytes = 16;  ///< upper bound for one range of tasks in an award record

}  // namespace

std::vector<records::TaskRange> ranges_of(std::vector<std::uint32_t> tasks) {
  std::sort(tasks.begin(), tasks.end());
  std::vector<records::TaskRange> ranges;
  for (const std::uint32_t task : tasks) {
    if (!ranges.empty() && ranges.back().first + ranges.back().second == task)
      ++ranges.back().second;
    else
      ranges.emplace_back(task, 1);
  }
  return ranges;
}

std::vector<std::uint32_t> tasks_in(const std::vector<records::TaskRange>& ranges, std::size_t job_tasks) {
  std::vector<std::uint32_t> tasks;
  for (const auto& [first, count] : ranges)
    for (std::uint32_t task = first; task < first + count && task < job_tasks; ++task) tasks.push_back(task);
  return tasks;
}

std::size_t max_award_ranges(std::size_t store_value_bytes) { return store_value_bytes / 2 / kMaxRangeBytes; }

}  // namespace bendtide
