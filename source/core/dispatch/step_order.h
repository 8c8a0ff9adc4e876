#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/dispatch/job_entry.h"

#include <cstdint>
#include <vector>

namespace buckthornspar::dispatch {

/// Order in which waiting steps are placed. The most urgent priority always comes first.
enum class placement_order {
    arrival,  ///< first come, first served within a priority
    deadline, ///< earliest latest start first
    smallest, ///< least work first, with aging
};
inline constexpr common::name_table<placement_order, 3> placement_order_names{
    "placement order", {"arrival", "deadline", "smallest"}};

/// A step with waiting tasks.
struct waiting_step {
    task_key step;
    const step_spec* spec = nullptr;
    const queue_settings* queue = nullptr;
    step_state* state = nullptr;
    /// Tasks that may start now.
    std::vector<std::uint32_t> tasks;
    common::time_point since;
};

/// Sorts the steps into placement order.
void sort_steps(std::vector<waiting_step>& steps, placement_order order);

} // namespace buckthornspar::dispatch
