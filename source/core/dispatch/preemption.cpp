#include "core/dispatch/preemption.h"

#include "core/dispatch/capacity_fit.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

// A run that ends this soon frees its capacity about as early as a stop would.
constexpr common::duration min_remainder = std::chrono::milliseconds(700);
// Time that the job of a stopped run must have left beyond its remaining work.
constexpr common::duration min_slack = std::chrono::milliseconds(4000);
// Runs with a higher number are not preempted, so that no task is stopped again and again.
constexpr std::uint32_t max_run_number = 3;

} // namespace

bool may_preempt(const run_key& run, const placed_run& placed, int priority,
                 common::time_point now) {
    const auto remaining = placed.expected_end - now;
    if (!placed.preemptible || placed.phase != run_phase::running || run.run > max_run_number ||
        remaining <= min_remainder) {
        return false;
    }
    if (placed.excess) {
        // No time is owed to the job.
        return placed.priority >= priority;
    }
    return placed.priority > priority && placed.latest_end - now - remaining > min_slack;
}

preemption_option find_preemption(const worker_entry& worker, const placement::resources& demand,
                                  const placement::resources& available, std::int64_t max_gain,
                                  int priority, common::time_point now) {
    std::vector<std::pair<const run_key*, const placed_run*>> victims;
    for (const auto& [run, placed] : worker.runs) {
        if (may_preempt(run, placed, priority, now)) {
            victims.emplace_back(&run, &placed);
        }
    }
    std::sort(victims.begin(), victims.end(), [](const auto& a, const auto& b) {
        return a.second->demand.cpu_milli > b.second->demand.cpu_milli;
    });
    preemption_option option;
    option.worker = worker.slot;
    const auto before = count_fitting_tasks(demand, available);
    auto freed = available;
    for (const auto& [run, placed] : victims) {
        freed += placed->demand;
        option.stopped_cpu_milli += placed->demand.cpu_milli;
        option.runs.push_back(*run);
        option.gained_tasks = std::min(count_fitting_tasks(demand, freed) - before, max_gain);
        if (option.gained_tasks > 0) {
            return option;
        }
    }
    return {worker.slot, 0, 0, {}};
}

std::vector<preemption_option> choose_preemptions(std::vector<preemption_option> options,
                                                  std::int64_t missing) {
    std::erase_if(options, [](const preemption_option& o) { return o.gained_tasks <= 0; });
    std::sort(options.begin(), options.end(), [](const auto& a, const auto& b) {
        return a.stopped_cpu_milli * b.gained_tasks < b.stopped_cpu_milli * a.gained_tasks;
    });
    std::size_t used = 0;
    for (; used < options.size() && missing > 0; ++used) {
        missing -= options[used].gained_tasks;
    }
    options.resize(missing > 0 ? 0 : used);
    return options;
}

} // namespace buckthornspar::dispatch
