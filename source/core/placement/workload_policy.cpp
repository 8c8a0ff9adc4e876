#include "core/placement/workload_policy.h"

namespace buckthornspar::placement {

void workload_policy::promised(const task_request& /*request*/,
                               const worker_location& /*location*/) {}

void workload_policy::freed(const task_request& /*request*/, const worker_location& /*location*/) {}

} // namespace buckthornspar::placement
