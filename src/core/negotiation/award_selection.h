// Which tasks an award covers, and which earlier award it replaces.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/state/job.h"

namespace bendtide {

/// Returns the tasks of an award that are not known to be done.
std::vector<std::uint32_t> unfinished_tasks(const Job& job, const JobAward& award);

/// Returns the award to `winner` that an award with the key `new_key` can replace; null if there is none. The
/// new key must come after the old one: a list of the awards that is read page by page then shows at least
/// one of them. The old award must leave room for a range of tasks in a record of `max_ranges`.
const std::pair<const std::string, JobAward>* replaceable_award(const Job& job, const std::string& winner,
                                                                const std::string& new_key,
                                                                std::size_t max_ranges);

/// Selects up to `count` waiting tasks, which leave the waiting state. Selects fewer if they would form more
/// than `max_ranges` ranges. The job must have `count` waiting tasks.
std::vector<std::uint32_t> select_tasks(Job& job, std::int64_t count, std::size_t max_ranges);

}  // namespace bendtide
