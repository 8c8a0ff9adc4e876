#pragma once

#include "core/placement/gang_planner.h"
#include "core/placement/scorer.h"
#include "core/placement/task_table.h"

#include <optional>
#include <vector>

namespace buckthornspar::placement {

/// Capacity reserved for one waiting all-at-once job, or for a single task that has waited very
/// long. At most one plan exists at a time, so that two large jobs cannot hold parts of what the
/// other needs and deadlock.
class capacity_plan {
public:
    void set(const gang_plan& plan, gang_index gang, std::optional<task_index> task,
             priority_class priority, std::size_t workers);
    void clear();

    [[nodiscard]] bool active() const { return m_active; }
    [[nodiscard]] common::time_point start() const { return m_start; }
    /// The job that the plan reserves capacity for; no_gang when it is for a single task.
    [[nodiscard]] gang_index gang() const { return m_gang; }
    [[nodiscard]] bool is_for(task_index task) const { return m_task == task; }
    [[nodiscard]] priority_class priority() const { return m_priority; }

    /// A strict plan also restricts more urgent work, and expected ends no longer exempt any work.
    void set_strict() { m_strict = true; }
    [[nodiscard]] bool strict() const { return m_strict; }

    [[nodiscard]] bool uses(worker_index worker) const;
    /// Resources that work expected to run past the planned start may still use on this worker.
    [[nodiscard]] const resources& spare(worker_index worker) const {
        return m_reservations[worker].spare;
    }
    /// Deducts work that will still run at the planned start.
    void consume_spare(worker_index worker, const resources& demand);

private:
    struct worker_reservation {
        bool used = false;
        resources spare;
    };

    bool m_active = false;
    bool m_strict = false;
    common::time_point m_start;
    gang_index m_gang = no_gang;
    std::optional<task_index> m_task;
    priority_class m_priority = priority_class::normal;
    std::vector<worker_reservation> m_reservations;
};

/// Rejects workers on which the demand would use resources reserved by the plan.
class plan_filter final : public worker_filter {
public:
    plan_filter(const capacity_plan& plan, const resources& demand)
        : m_plan(plan), m_demand(demand) {}

    [[nodiscard]] bool accepts(worker_index worker) const override {
        return !m_plan.uses(worker) || m_demand.fits(m_plan.spare(worker));
    }

private:
    const capacity_plan& m_plan;
    const resources& m_demand;
};

} // namespace buckthornspar::placement
