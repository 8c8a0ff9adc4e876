#include "core/dispatch/job.h"

namespace buckthornspar::dispatch {

bool job_spec::same_content(const job_spec& other) const {
    return id == other.id && queue == other.queue && customer == other.customer &&
           payload == other.payload && steps == other.steps && schedule == other.schedule;
}

std::string to_string(const task_key& task) {
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) +
           "." + std::to_string(task.index);
}

} // namespace buckthornspar::dispatch
