#include "core/customers/job_access.h"

namespace buckthornspar::customers {

bool may_reach(const job_access& access, const job_origin& job) {
    return job.customer.empty() || access.customer == job.customer ||
           (!access.open_queue.empty() && access.open_queue == job.queue);
}

} // namespace buckthornspar::customers
