#include "core/dispatch/crash_attribution.h"

#include <algorithm>

namespace buckthornspar::dispatch {

namespace {

// The newest run that the worker has confirmed, and the first one that it has not.
struct last_orders {
    common::time_point confirmed = common::time_point::min();
    common::time_point unconfirmed = common::time_point::max();
};

bool is_candidate(const placed_run& placed, common::time_point crashed_at,
                  const crash_settings& settings) {
    return !placed.crash_counted && crashed_at <= placed.ordered_at + settings.max_age;
}

last_orders find_last_orders(const std::map<run_key, placed_run>& runs,
                             common::time_point crashed_at, const crash_settings& settings) {
    last_orders last;
    for (const auto& [run, placed] : runs) {
        if (!is_candidate(placed, crashed_at, settings)) {
            continue;
        }
        const auto at = placed.ordered_at;
        if (placed.confirmed) {
            last.confirmed = std::max(last.confirmed, at);
        } else {
            last.unconfirmed = std::min(last.unconfirmed, at);
        }
    }
    return last;
}

} // namespace

// An order without a confirmation may have been the cause, or may have been sent after the crash. A
// later one cannot be the cause: the worker had already failed to respond to the first.
std::vector<run_key> attribute_crash(const std::map<run_key, placed_run>& runs,
                                     common::time_point crashed_at,
                                     const crash_settings& settings) {
    const auto last = find_last_orders(runs, crashed_at, settings);
    // The worker survived all confirmed runs for a while.
    const bool outlived = last.confirmed != common::time_point::min() &&
                          last.unconfirmed != common::time_point::max() &&
                          last.confirmed + settings.isolation < last.unconfirmed;
    std::vector<run_key> suspects;
    for (const auto& [run, placed] : runs) {
        if (!is_candidate(placed, crashed_at, settings)) {
            continue;
        }
        const bool suspected =
            placed.confirmed ? !outlived && placed.ordered_at + settings.window >= last.confirmed
                             : placed.ordered_at <= last.unconfirmed + settings.window;
        if (suspected) {
            suspects.push_back(run);
        }
    }
    return suspects;
}

} // namespace buckthornspar::dispatch
