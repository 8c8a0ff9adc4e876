#include "core/placement/capacity_plan.h"

namespace buckthornspar::placement {

void capacity_plan::set(const gang_plan& plan, gang_index gang, std::optional<task_index> task,
                        priority_class priority, std::size_t workers) {
    clear();
    m_active = true;
    m_start = plan.start;
    m_gang = gang;
    m_task = task;
    m_priority = priority;
    m_reservations.assign(workers, {});
    for (const planned_reservation& reserved_amount : plan.reservations) {
        m_reservations[reserved_amount.worker] = {true, reserved_amount.spare};
    }
}

void capacity_plan::clear() {
    m_active = false;
    m_strict = false;
    m_gang = no_gang;
    m_task.reset();
    m_reservations.clear();
}

bool capacity_plan::uses(worker_index worker) const {
    return worker < m_reservations.size() && m_reservations[worker].used;
}

void capacity_plan::consume_spare(worker_index worker, const resources& demand) {
    if (uses(worker)) {
        m_reservations[worker].spare -= demand;
    }
}

} // namespace buckthornspar::placement
