#pragma once

#include "core/placement/worker_table.h"

#include <optional>
#include <vector>

namespace buckthornspar::placement {

/// What each worker could give to an all-at-once job, by worker_index. A worker that must not be
/// used has negative amounts.
using worker_availability = std::vector<resources>;
inline constexpr resources unusable_worker{-1, -1, -1};

/// A task that is expected to end.
struct expected_release {
    common::time_point at;
    worker_index worker = 0;
    resources amount;
};

/// What is kept on one worker for a planned start.
struct planned_reservation {
    worker_index worker = 0;
    resources reserved_amount;
    /// What the worker is expected to have free at the planned start besides the share. Work that
    /// ends later may take this much without delaying the start.
    resources spare;
};

struct gang_plan {
    common::time_point start;
    std::vector<planned_reservation> reservations;
};

/// Finds a worker for each demand, in the order of the demands; empty when they do not fit
/// together. Tasks of equal demand fill worker after worker.
[[nodiscard]] std::optional<std::vector<worker_index>>
pack_gang(worker_availability availability, const std::vector<resources>& demands);

/// The earliest start at which all demands fit, when the releases happen as expected. Empty when
/// they do not fit even after all releases. Releases name usable workers only.
[[nodiscard]] std::optional<gang_plan> plan_start(const worker_availability& availability,
                                                  std::vector<expected_release> releases,
                                                  const std::vector<resources>& demands,
                                                  common::time_point now);

} // namespace buckthornspar::placement
