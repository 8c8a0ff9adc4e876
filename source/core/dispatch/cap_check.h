#pragma once

#include "core/dispatch/job.h"
#include "core/placement/resources.h"

#include <optional>
#include <string>

namespace buckthornspar::dispatch {

/// Why a step of the job never fits under the cap, for the customer; absent when all steps fit. A
/// gang counts as a whole, other tasks one by one. Components of the cap that are 0 are unlimited.
[[nodiscard]] std::optional<std::string> find_excess_over_cap(const job_spec& spec,
                                                              const placement::resources& cap);

} // namespace buckthornspar::dispatch
