#include "core/placement/workload_policy.h"

namespace buckthornspar::placement {

bool workload_policy::set_spread(spread_rule /*rule*/) {
    return false;
}

void workload_policy::promised(const task_request& /*request*/,
                               const worker_location& /*location*/) {}

void workload_policy::freed(const task_request& /*request*/, const worker_location& /*location*/) {}

} // namespace buckthornspar::placement
