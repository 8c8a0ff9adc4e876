#include "core/service/owner_load.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

void owner_load::record_wakeup(common::duration delay) {
    m_current.max_delay = std::max(m_current.max_delay, delay);
}

void owner_load::record_plan(common::duration took) {
    ++m_current.plans;
    m_current.plan_time += took;
    m_current.max_plan_time = std::max(m_current.max_plan_time, took);
}

owner_load::summary owner_load::take(common::time_point now) {
    m_window_end = now + window;
    m_previous_delay = m_current.max_delay;
    return std::exchange(m_current, {});
}

} // namespace buckthornspar::service
