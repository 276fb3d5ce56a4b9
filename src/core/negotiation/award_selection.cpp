#include "core/negotiation/award_selection.h"

#include "core/negotiation/task_ranges.h"

namespace bendtide {

std::vector<std::uint32_t> unfinished_tasks(const Job& job, const JobAward& award) {
  std::vector<std::uint32_t> tasks = tasks_in(award.ranges, job.tasks.size());
  std::erase_if(tasks, [&](std::uint32_t task) { return job.tasks[task].state != Task::State::elsewhere; });
  return tasks;
}

const std::pair<const std::string, JobAward>* replaceable_award(const Job& job, const std::string& winner,
                                                                const std::string& new_key,
                                                                std::size_t max_ranges) {
  for (auto award = job.awards.rbegin(); award != job.awards.rend(); ++award)
    if (award->second.winner == winner && award->first < new_key &&
        ranges_of(unfinished_tasks(job, award->second)).size() < max_ranges)
      return &*award;
  return nullptr;
}

std::vector<std::uint32_t> select_tasks(Job& job, std::int64_t count, std::size_t max_ranges) {
  std::vector<std::uint32_t> selected;
  for (std::int64_t i = 0; i < count; ++i) {
    selected.push_back(job.waiting.back());
    job.leave_waiting(selected.back(), {Task::State::elsewhere, nullptr, 0});
  }
  std::vector<records::TaskRange> ranges = ranges_of(selected);
  while (ranges.size() > max_ranges) {
    const auto [first, length] = ranges.back();
    for (std::uint32_t task = first; task < first + length; ++task) {
      std::erase(selected, task);
      job.set_waiting(task);
    }
    ranges.pop_back();
  }
  return selected;
}

}  // namespace bendtide
