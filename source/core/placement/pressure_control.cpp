#include "core/placement/pressure_control.h"

#include <algorithm>
#include <tuple>

namespace buckthornspar::placement {

namespace {

bool exceeds(const resources& used, const resources& capacity, unsigned percent) {
    return used.cpu_milli * 100 > capacity.cpu_milli * percent ||
           used.memory_mb * 100 > capacity.memory_mb * percent;
}

pressure_step next_step(pressure_step step) {
    return static_cast<pressure_step>(static_cast<int>(step) + 1);
}

/// Most severe step allowed for work of the kind.
pressure_step last_step(workload_kind kind) {
    return kind == workload_kind::service ? pressure_step::throttle : pressure_step::stop;
}

/// Position of the kind in the order in which work is restricted.
int restriction_order(workload_kind kind) {
    switch (kind) {
    case workload_kind::batch:
        return 0;
    case workload_kind::all_at_once:
        return 1;
    case workload_kind::service:
        return 2;
    }
    return 2;
}

/// Use above the declared demand, in percent of the declared amounts.
std::int64_t excess(const running_task_usage& task) {
    const auto over = [](std::int64_t used, std::int64_t declared) {
        return declared > 0 ? (used - declared) * 100 / declared : 0;
    };
    return std::max(over(task.used.cpu_milli, task.demand.cpu_milli),
                    over(task.used.memory_mb, task.demand.memory_mb));
}

} // namespace

std::vector<pressure_action> pressure_control::decide(const std::string& worker,
                                                      const resources& capacity,
                                                      const std::vector<running_task_usage>& tasks,
                                                      common::time_point now) {
    worker_pressure& state = m_workers[worker];
    std::erase_if(state.steps, [&](const auto& entry) {
        return std::none_of(tasks.begin(), tasks.end(),
                            [&](const running_task_usage& t) { return t.task == entry.first; });
    });
    resources used;
    for (const running_task_usage& task : tasks) {
        used += task.used;
    }
    if (!measured_after_last_step(state, tasks)) {
        return {};
    }
    if (!exceeds(used, capacity, m_settings.low_percent)) {
        return lift_restrictions(state);
    }
    if (!exceeds(used, capacity, m_settings.high_percent)) {
        return {};
    }
    const running_task_usage* chosen = choose(state, tasks);
    if (!chosen) {
        return {};
    }
    pressure_step& step = state.steps[chosen->task];
    step = next_step(step);
    state.last_step = now;
    return {{chosen->task, step}};
}

// Use measured before the last step took effect does not show its result. Acting on it would stop
// more work than needed, the more so the longer the reports are delayed.
bool pressure_control::measured_after_last_step(
    const worker_pressure& state, const std::vector<running_task_usage>& tasks) const {
    if (state.last_step == common::time_point::min()) {
        return true;
    }
    return std::all_of(tasks.begin(), tasks.end(), [&](const running_task_usage& task) {
        return task.measured >= state.last_step + m_settings.settle_time;
    });
}

const running_task_usage*
pressure_control::choose(const worker_pressure& state,
                         const std::vector<running_task_usage>& tasks) const {
    const running_task_usage* best = nullptr;
    const auto order = [&](const running_task_usage& task) {
        const auto position = state.steps.find(task.task);
        const pressure_step step =
            position == state.steps.end() ? pressure_step::none : position->second;
        // All work of a kind takes one step, for example throttling, before any of it takes the
        // next. Less urgent work and work that exceeds its declared size comes first.
        return std::tuple(restriction_order(task.kind), step, -static_cast<int>(task.priority),
                          -excess(task), task.task);
    };
    for (const running_task_usage& task : tasks) {
        const auto position = state.steps.find(task.task);
        if (position != state.steps.end() && position->second >= last_step(task.kind)) {
            continue;
        }
        if (!best || order(task) < order(*best)) {
            best = &task;
        }
    }
    return best;
}

std::vector<pressure_action> pressure_control::lift_restrictions(worker_pressure& state) {
    std::vector<pressure_action> actions;
    for (const auto& [task, step] : state.steps) {
        if (step != pressure_step::stop) {
            actions.push_back({task, pressure_step::none});
        }
    }
    std::sort(actions.begin(), actions.end(),
              [](const pressure_action& a, const pressure_action& b) { return a.task < b.task; });
    std::erase_if(state.steps,
                  [](const auto& entry) { return entry.second != pressure_step::stop; });
    return actions;
}

} // namespace buckthornspar::placement
