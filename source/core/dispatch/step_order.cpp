#include "core/dispatch/step_order.h"

namespace buckthornspar::dispatch {

step_position position_of(const job_entry& job, const task_key& step, const step_state& state,
                          const queue_settings& queue, placement_order order) {
    const int urgency = queue.priority == 0 ? 0 : 1;
    switch (order) {
    case placement_order::arrival:
        return {queue.priority, job.first_seen_at, step, job.customer};
    case placement_order::deadline:
        return {urgency, state.latest_start, step, job.customer};
    case placement_order::smallest: {
        // A second of waiting counts as much as a second of processor time.
        const auto& spec = job.spec_of(step);
        const auto waiting = state.tasks.size() - state.succeeded - state.placed;
        const auto work =
            spec.demand.cpu_milli * spec.estimate_ms * static_cast<std::int64_t>(waiting) / 1000;
        return {urgency, job.first_seen_at + std::chrono::milliseconds(work), step, job.customer};
    }
    }
    return {queue.priority, job.first_seen_at, step, job.customer};
}

} // namespace buckthornspar::dispatch
