#include "core/placement/workload_policy.h"

namespace buckthornspar::placement {

bool workload_policy::set_spread(spread_rule /*rule*/) {
    return false;
}

void workload_policy::task_assigned(const task_request& /*request*/,
                                    const worker_location& /*location*/) {}

void workload_policy::task_released(const task_request& /*request*/,
                                    const worker_location& /*location*/) {}

} // namespace buckthornspar::placement
