#pragma once

#include "core/placement/placement_types.h"
#include "core/placement/scorer.h"

#include <cstddef>
#include <optional>

namespace buckthornspar::placement {

struct placement_choice {
    std::optional<worker_index> worker;
    /// Set when no worker was chosen.
    wait_reason reason = wait_reason::none;
};

/// Inputs of one placement choice.
struct placement_context {
    const worker_table& workers;
    scorer& scoring;
    /// Restricts the choice to workers that the plan of a waiting all-at-once job leaves available
    /// to this task; null for no restriction.
    const worker_filter* allowed_workers = nullptr;
};

/// Placement policy of one workload kind. Registered under the name of the kind.
class workload_policy {
public:
    virtual ~workload_policy() = default;

    /// True when all tasks of a job start together.
    [[nodiscard]] virtual bool starts_as_gang() const { return false; }

    /// False when the tasks run until they are stopped.
    [[nodiscard]] virtual bool has_expected_end() const { return true; }

    /// True when the choice depends on the demand alone: if one task finds no worker, no task with
    /// an equal or larger demand does.
    [[nodiscard]] virtual bool depends_on_demand_only() const { return true; }

    /// Returns true when the rule changed; task_assigned() is then called again for each allocated
    /// task. Has no effect for kinds whose tasks are not spread.
    [[nodiscard]] virtual bool set_spread(spread_rule rule);

    [[nodiscard]] virtual placement_choice choose(const placement_context& context,
                                                  const task_request& request) = 0;

    /// Called when resources are allocated for a task of this kind, and when they are released.
    virtual void task_assigned(const task_request& request, const worker_location& location);
    virtual void task_released(const task_request& request, const worker_location& location);

protected:
    workload_policy() = default;
    workload_policy(const workload_policy&) = default;
    workload_policy& operator=(const workload_policy&) = default;
};

using policy_registry = common::plugin_registry<workload_policy, const placement_settings&>;
using policy_registration = common::plugin_registration<workload_policy, const placement_settings&>;

} // namespace buckthornspar::placement
