#pragma once

#include "core/common/clock.h"
#include "core/dispatch/step_order.h"
#include "core/dispatch/worker_registry.h"

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::dispatch {

/// Free capacity of a worker, by slot. The pointer is null for a worker that may get no work.
struct worker_free_capacity {
    const worker_entry* worker = nullptr;
    placement::resources free;
    /// Capacity of runs that are being stopped.
    placement::resources stopping;
};

struct planned_start {
    task_key task;
    worker_slot worker = 0;
    std::string ticket;
    std::uint32_t run = 0;
};

/// A request for tickets of a step on the named workers.
struct ticket_request {
    task_key step;
    const queue_settings* queue = nullptr;
    std::vector<worker_slot> workers;
    std::string_view reason;
};

struct plan_limits {
    /// Starts that await a response.
    std::size_t pending_starts = 0;
    std::size_t max_pending_starts = std::numeric_limits<std::size_t>::max();
    /// Ticket requests that may be sent in advance or to widen a choice. Others are not limited.
    std::size_t optional_requests = std::numeric_limits<std::size_t>::max();
    /// A suspected task starts only on workers that responded this long after their last start.
    common::duration suspect_distance{0};
    /// Whether runs may be preempted.
    bool preemption = false;
};

/// A run to be stopped for more urgent work.
struct preempted_run {
    worker_slot worker = 0;
    run_key run;
};

struct plan_result {
    std::vector<planned_start> starts;
    std::vector<ticket_request> ticket_requests;
    std::vector<preempted_run> preemptions;
};

/// Places the waiting steps on the workers in the given order. Tasks that wait for free capacity,
/// tickets or other members of their gang are not part of the result, nor those beyond the limit. A
/// gang that exceeds the limit by itself starts when little else is pending. Runs are preempted
/// for at most one gang. Has no side effects.
[[nodiscard]] plan_result plan_steps(const std::vector<waiting_step>& steps,
                                     std::vector<worker_free_capacity> free_capacities,
                                     const plan_limits& limits, common::time_point now);

} // namespace buckthornspar::dispatch
