#pragma once

#include "core/placement/placement_types.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// In order of severity.
enum class pressure_step { none, throttle, checkpoint, stop };
inline constexpr common::name_table<pressure_step, 4> pressure_step_names{
    "pressure step", {"none", "throttle", "checkpoint", "stop"}};

/// A running task with the use that its worker last reported.
struct running_task_usage {
    std::string task;
    workload_kind kind = workload_kind::batch;
    priority_class priority = priority_class::normal;
    resources demand;
    resources used;
    /// Time at which `used` was measured.
    common::time_point measured;
};

/// A task and the restriction to apply; `none` lifts a restriction.
struct pressure_action {
    std::string task;
    pressure_step step = pressure_step::none;
};

struct pressure_settings {
    /// Use in percent of the worker's capacity above which work is restricted.
    unsigned high_percent = 95;
    /// Use below which restrictions are lifted. The distance to high_percent is a hysteresis that
    /// prevents work from being restricted and released in turn.
    unsigned low_percent = 80;
    /// The effect of a step is judged only by use measured at least this long after it, because a
    /// task takes time to react.
    common::duration settle_time = std::chrono::seconds(2);
};

/// Decides what to restrict on a worker whose tasks use more than its capacity. Batch work is
/// throttled first, then checkpointed, then stopped. All-at-once work follows when no batch work is
/// left to restrict. Services are restricted last, only throttled, and never stopped.
class pressure_control {
public:
    explicit pressure_control(pressure_settings settings = {}) : m_settings(settings) {}

    /// Takes at most one step for one worker. `tasks` lists all of its running tasks. An action for
    /// a task is issued again only when it escalates to the next step.
    [[nodiscard]] std::vector<pressure_action> decide(const std::string& worker,
                                                      const resources& capacity,
                                                      const std::vector<running_task_usage>& tasks,
                                                      common::time_point now);

    void forget_worker(const std::string& worker) { m_workers.erase(worker); }

private:
    struct worker_pressure {
        std::unordered_map<std::string, pressure_step> steps;
        common::time_point last_step = common::time_point::min();
    };

    [[nodiscard]] bool measured_after_last_step(const worker_pressure& state,
                                                const std::vector<running_task_usage>& tasks) const;
    [[nodiscard]] const running_task_usage*
    choose(const worker_pressure& state, const std::vector<running_task_usage>& tasks) const;
    std::vector<pressure_action> lift_restrictions(worker_pressure& state);

    pressure_settings m_settings;
    std::unordered_map<std::string, worker_pressure> m_workers;
};

} // namespace buckthornspar::placement
