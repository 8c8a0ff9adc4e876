#pragma once

#include "core/dispatch/worker_registry.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <vector>

namespace buckthornspar::dispatch {

/// Runs on one worker whose end makes room for further tasks of a step.
struct preemption_option {
    worker_slot worker = 0;
    /// Number of further tasks that fit; 0 when the worker has no suitable runs.
    std::int64_t gained_tasks = 0;
    std::int64_t stopped_cpu_milli = 0;
    std::vector<run_key> runs;
};

/// Whether the run may be stopped for work of the given priority. It must lose little: it continues
/// from the checkpoint that a worker writes at a stop, and its job can still meet its objective or
/// exceeds its customer's rate. Only entitled work preempts.
[[nodiscard]] bool may_preempt(const run_key& run, const placed_run& placed, int priority,
                               common::time_point now);

/// The largest runs on the worker that make room for at least one further task with the demand.
/// available is the capacity that the step may use now; at most max_gain tasks are counted.
[[nodiscard]] preemption_option find_preemption(const worker_entry& worker,
                                                const placement::resources& demand,
                                                const placement::resources& available,
                                                std::int64_t max_gain, int priority,
                                                common::time_point now);

/// The options that provide the missing number of tasks at the least loss; empty when all of them
/// together do not.
[[nodiscard]] std::vector<preemption_option>
choose_preemptions(std::vector<preemption_option> options, std::int64_t missing);

} // namespace buckthornspar::dispatch
