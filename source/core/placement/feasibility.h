#pragma once

#include "core/placement/placement_types.h"
#include "core/placement/worker_table.h"

#include <optional>

namespace buckthornspar::placement {

/// Checks whether task_count such tasks can ever run together on the workers that are present and
/// not leaving, regardless of their current load. `limit` is the quota of the team. Returns the
/// reason when they cannot.
[[nodiscard]] std::optional<infeasibility> check_demand(const worker_table& workers,
                                                        const std::optional<resources>& limit,
                                                        const task_request& request,
                                                        std::size_t task_count);

} // namespace buckthornspar::placement
