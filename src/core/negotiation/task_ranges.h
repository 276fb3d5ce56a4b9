// Conversions between lists of tasks and the ranges of tasks in award records.
#pragma once

#include <cstdint>
#include <vector>

#include "core/model/records.h"

namespace bendtide {

/// Returns the tasks as sorted ranges of consecutive indices.
std::vector<records::TaskRange> ranges_of(std::vector<std::uint32_t> tasks);

/// Returns the indices in the ranges; those of `job_tasks` and above, which the job does not have, are left
/// out.
std::vector<std::uint32_t> tasks_in(const std::vector<records::TaskRange>& ranges, std::size_t job_tasks);

/// Returns how many ranges an award record may have. The ranges may take half of a value in the key-value
/// store, whose maximum size is `store_value_bytes`; the other half is left to the description of the job.
std::size_t max_award_ranges(std::size_t store_value_bytes);

}  // namespace bendtide
