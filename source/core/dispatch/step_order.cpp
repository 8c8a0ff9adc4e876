#include "core/dispatch/step_order.h"

#include <algorithm>
#include <tuple>

namespace buckthornspar::dispatch {

void sort_steps(std::vector<waiting_step>& steps, placement_order order) {
    const auto key = [order](const waiting_step& step) {
        const bool urgent = step.queue->priority == 0;
        switch (order) {
        case placement_order::arrival:
            return std::tuple(step.queue->priority, step.since);
        case placement_order::deadline:
            return std::tuple(urgent ? 0 : 1, step.state->latest_start);
        case placement_order::smallest: {
            // A second of waiting counts as much as a second of processor time.
            const auto work = step.spec->demand.cpu_milli * step.spec->estimate_ms *
                              static_cast<std::int64_t>(step.tasks.size()) / 1000;
            return std::tuple(urgent ? 0 : 1,
                              common::time_point(step.since + std::chrono::milliseconds(work)));
        }
        }
        return std::tuple(step.queue->priority, step.since);
    };
    std::stable_sort(
        steps.begin(), steps.end(),
        [&key](const waiting_step& a, const waiting_step& b) { return key(a) < key(b); });
}

} // namespace buckthornspar::dispatch
