#pragma once

#include "core/dispatch/dispatch_actions.h"
#include "core/dispatch/job.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace buckthornspar::dispatch {

/// Expected duration of a call to the advice service for a step of the queue on this many workers.
[[nodiscard]] inline common::duration advice_time(const queue_settings& queue,
                                                  std::size_t workers) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double, std::milli>(
        queue.ticket_base_ms + queue.ticket_per_worker_ms * static_cast<double>(workers)));
}

/// Number of calls of the expected duration that the slots permit.
[[nodiscard]] inline std::size_t permitted_calls(const advice_slots& slots,
                                                 common::duration expected) {
    return expected > long_advice_call ? std::min(slots.calls, slots.long_calls) : slots.calls;
}

/// Takes the slot of one call, if there is one.
inline void take_slot(advice_slots& slots, common::duration expected) {
    slots.calls -= std::min<std::size_t>(slots.calls, 1);
    if (expected > long_advice_call) {
        slots.long_calls -= std::min<std::size_t>(slots.long_calls, 1);
    }
}

} // namespace buckthornspar::dispatch
