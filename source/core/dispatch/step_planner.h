#pragma once

#include "core/common/clock.h"
#include "core/dispatch/step_order.h"
#include "core/dispatch/worker_registry.h"

#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::dispatch {

/// Room on a worker, by slot. A worker that may get no work has no entry pointer.
struct worker_room {
    const worker_entry* worker = nullptr;
    placement::resources free;
};

struct planned_start {
    task_key task;
    worker_slot worker = 0;
    std::string ticket;
    std::uint32_t run = 0;
};

/// Tickets to be asked for.
struct ticket_request {
    task_key step;
    const queue_settings* queue = nullptr;
    std::vector<worker_slot> workers;
    std::string_view reason;
};

struct plan_result {
    std::vector<planned_start> starts;
    std::vector<ticket_request> ticket_requests;
};

/// Places the waiting steps on the rooms, in the order given. Tasks that wait for room, tickets or
/// the other members of their gang stay out of the result. Pure.
[[nodiscard]] plan_result plan_steps(const std::vector<waiting_step>& steps,
                                     std::vector<worker_room> rooms, common::time_point now);

} // namespace buckthornspar::dispatch
