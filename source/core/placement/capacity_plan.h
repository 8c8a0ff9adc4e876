#pragma once

#include "core/placement/gang_planner.h"
#include "core/placement/scorer.h"
#include "core/placement/task_table.h"

#include <optional>
#include <vector>

namespace buckthornspar::placement {

/// The capacity that is kept for one waiting all-at-once job, or for a single task that waits very
/// long. At most one plan exists at a time, so that two large jobs cannot hold parts of what the
/// other needs.
class capacity_plan {
public:
    void set(const gang_plan& plan, gang_index gang, std::optional<task_index> task,
             priority_class priority, std::size_t workers);
    void clear();

    [[nodiscard]] bool active() const { return m_active; }
    [[nodiscard]] common::time_point start() const { return m_start; }
    /// The job that the plan is for; no_gang when it is for a single task.
    [[nodiscard]] gang_index gang() const { return m_gang; }
    [[nodiscard]] bool is_for(task_index task) const { return m_task == task; }
    [[nodiscard]] priority_class priority() const { return m_priority; }

    /// A strict plan binds more urgent work too, and expected ends are no longer relied upon.
    void set_strict() { m_strict = true; }
    [[nodiscard]] bool strict() const { return m_strict; }

    [[nodiscard]] bool uses(worker_index worker) const;
    /// What work that is not expected to end before the planned start may still take there.
    [[nodiscard]] const resources& spare(worker_index worker) const {
        return m_reservations[worker].spare;
    }
    /// Counts work that will still run at the planned start.
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

/// Leaves the share of the plan alone.
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
