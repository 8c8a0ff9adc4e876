#pragma once

#include "core/placement/worker_table.h"

#include <optional>
#include <vector>

namespace buckthornspar::placement {

/// Resources that each worker can offer to an all-at-once job, indexed by worker_index. A worker
/// that must not be used has negative amounts.
using worker_availability = std::vector<resources>;
inline constexpr resources unusable_worker{-1, -1, -1};

/// Resources that are expected to become free when a running task ends.
struct expected_release {
    common::time_point at;
    worker_index worker = 0;
    resources amount;
};

/// Resources reserved on one worker for a planned start.
struct planned_reservation {
    worker_index worker = 0;
    resources reserved_amount;
    /// Resources expected to be free at the planned start beyond the reservation. Work that ends
    /// after the planned start may use this much without delaying it.
    resources spare;
};

struct gang_plan {
    common::time_point start;
    std::vector<planned_reservation> reservations;
};

/// Finds a worker for each demand and returns them in the order of the demands; empty when the
/// demands do not fit together. Uses first fit in decreasing order of demand, so that tasks of
/// equal demand fill one worker after the other.
[[nodiscard]] std::optional<std::vector<worker_index>>
pack_gang(worker_availability availability, const std::vector<resources>& demands);

/// The earliest start at which all demands fit if the releases happen as expected; empty when they
/// do not fit even after all releases. `releases` may name usable workers only.
[[nodiscard]] std::optional<gang_plan> plan_start(const worker_availability& availability,
                                                  std::vector<expected_release> releases,
                                                  const std::vector<resources>& demands,
                                                  common::time_point now);

} // namespace buckthornspar::placement
