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

/// Limit of the starts that await a response.
struct start_limit {
    std::size_t pending = 0;
    std::size_t max_pending = std::numeric_limits<std::size_t>::max();
};

struct plan_result {
    std::vector<planned_start> starts;
    std::vector<ticket_request> ticket_requests;
};

/// Places the waiting steps on the workers in the given order. Tasks that wait for free capacity,
/// tickets or other members of their gang are not part of the result, nor those beyond the limit. A
/// gang that exceeds the limit by itself starts when nothing else is pending. Has no side effects.
[[nodiscard]] plan_result plan_steps(const std::vector<waiting_step>& steps,
                                     std::vector<worker_free_capacity> free_capacities,
                                     start_limit limit, common::time_point now);

} // namespace buckthornspar::dispatch
