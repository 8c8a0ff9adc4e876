#pragma once

#include "core/placement/placement_types.h"
#include "core/placement/scorer.h"

#include <cstddef>
#include <optional>

namespace buckthornspar::placement {

struct placement_choice {
    std::optional<worker_index> worker;
    /// Why no worker was chosen.
    wait_reason reason = wait_reason::none;
};

/// What a policy may look at for one choice.
struct placement_context {
    const worker_table& workers;
    scorer& scoring;
    /// Workers that the plan of a waiting all-at-once job leaves open to this task; null for all.
    const worker_filter* allowed_workers = nullptr;
};

/// How tasks of one workload kind are placed. Registered under the name of the kind.
class workload_policy {
public:
    virtual ~workload_policy() = default;

    /// True when all tasks of a job start together.
    [[nodiscard]] virtual bool starts_as_gang() const { return false; }

    /// False when the tasks run until they are stopped.
    [[nodiscard]] virtual bool has_expected_end() const { return true; }

    /// True when demand alone decides: if one task finds no worker, no equal or larger one does.
    [[nodiscard]] virtual bool depends_on_demand_only() const { return true; }

    /// True when the rule is a new one; task_assigned() is then called again for each promise.
    /// Without effect for kinds whose tasks are not spread.
    [[nodiscard]] virtual bool set_spread(spread_rule rule);

    [[nodiscard]] virtual placement_choice choose(const placement_context& context,
                                                  const task_request& request) = 0;

    /// Called for each promise made for a task of this kind, and when it is freed.
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
