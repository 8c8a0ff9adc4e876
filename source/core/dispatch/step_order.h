#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/dispatch/job_entry.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace buckthornspar::dispatch {

/// Order in which waiting steps are placed. The most urgent priority always comes first.
enum class placement_order {
    arrival,  ///< first come, first served within a priority
    deadline, ///< earliest latest start first
    smallest, ///< least work first, with aging
};
inline constexpr common::name_table<placement_order, 3> placement_order_names{
    "placement order", {"arrival", "deadline", "smallest"}};

/// A step with a task that may start now.
struct waiting_step {
    task_key step;
    const step_spec* spec = nullptr;
    const queue_settings* queue = nullptr;
    step_state* state = nullptr;
    /// The first of the tasks that may start now.
    std::uint32_t first_task = 0;
    /// See job_entry.
    std::uint32_t possible_runs = 0;
    customers::customer_index customer = customers::no_customer;
    /// The job exceeds its customer's rate, see job_shares.
    bool excess = false;
    /// Memory in bytes of a start under way, see memory_of_start().
    std::int64_t start_memory = 0;
    /// Runs of the job on all workers.
    std::size_t job_runs = 0;
    /// See job_entry.
    std::size_t open_tasks = 0;

    /// Number of the next run of the task, or of all tasks of a gang.
    [[nodiscard]] std::uint32_t next_run(std::uint32_t index) const {
        const auto last = spec->gang ? state->last_run() : state->tasks[index].progress.last_run;
        return std::max(last, possible_runs) + 1;
    }
};

/// Place of a step in the placement order; the smallest comes first.
struct step_position {
    int rank = 0;
    common::time_point at;
    /// The index of the task is 0.
    task_key step;
    customers::customer_index customer = customers::no_customer;

    auto operator<=>(const step_position&) const = default;
};

/// Position of the job's step, which must be ready. It changes only with the queue and, in the
/// order by size, with the number of waiting tasks.
[[nodiscard]] step_position position_of(const job_entry& job, const task_key& step,
                                        const step_state& state, const queue_settings& queue,
                                        placement_order order);

} // namespace buckthornspar::dispatch
