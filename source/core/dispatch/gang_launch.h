#pragma once

#include "core/customers/cap_ledger.h"
#include "core/dispatch/plan_state.h"

#include <cstddef>

namespace buckthornspar::dispatch {

/// A gang that is being launched. Room is reserved for the members that have not been started.
struct gang_launch {
    planned_launch planned;
    customers::customer_index customer = customers::no_customer;
    /// Memory in bytes of each start, see memory_of_start().
    std::int64_t start_memory = 0;
    common::time_point begun_at;
    std::size_t members = 0;
    /// Members that have not been started, and starts of members without a response.
    std::size_t unsent = 0;
    std::size_t under_way = 0;

    [[nodiscard]] bool contains(const run_key& started) const {
        return started.run == planned.run && is_of_step(started.task);
    }
    [[nodiscard]] bool is_of_step(const task_key& task) const {
        return task.job == planned.step.job && task.occurrence == planned.step.occurrence &&
               task.step == planned.step.step;
    }
};

} // namespace buckthornspar::dispatch
