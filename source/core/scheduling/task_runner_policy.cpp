#include "core/scheduling/task_runner.h"

#include <algorithm>

namespace buckthornspar::scheduling {

// Effects of the operators' configuration other than quotas and exclusions.

void task_runner::apply_workloads() {
    for (std::size_t i = 0; i < placement::workload_kind_names.size(); ++i) {
        const auto kind = static_cast<placement::workload_kind>(i);
        const auto position = m_policy.workloads.find(kind);
        if (position != m_policy.workloads.end()) {
            m_placement->set_workload(kind, position->second.placing);
        }
    }
}

unsigned task_runner::max_failures(placement::workload_kind kind) const {
    const auto position = m_policy.workloads.find(kind);
    return position == m_policy.workloads.end()
               ? m_settings.max_failures
               : std::min(m_settings.max_failures, position->second.max_failures);
}

void task_runner::set_pending(job_run& job, bool pending) {
    if (job.pending == pending) {
        return;
    }
    job.pending = pending;
    std::size_t& count = m_pending_by_team[job.spec.team];
    count += pending ? 1 : -1;
    if (count == 0) {
        m_pending_by_team.erase(job.spec.team);
    }
}

std::size_t task_runner::pending_jobs(const std::string& team) const {
    const auto position = m_pending_by_team.find(team);
    return position == m_pending_by_team.end() ? 0 : position->second;
}

void task_runner::mark_started(const task_ref& ref) {
    ref.run().has_started = true;
    ref.run().may_have_started = true;
    set_pending(*ref.job, false);
}

} // namespace buckthornspar::scheduling
