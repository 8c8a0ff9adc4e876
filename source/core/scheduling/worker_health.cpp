#include "core/scheduling/worker_health.h"

#include <algorithm>

namespace buckthornspar::scheduling {

namespace {

// 2^12 times the minimum exceeds any reasonable maximum quarantine.
constexpr unsigned max_doublings = 12;

} // namespace

void worker_health::record_success(const std::string& worker, const std::string& job) {
    m_jobs[job].succeeded_on.insert(worker);
    const auto position = m_workers.find(worker);
    if (position != m_workers.end()) {
        // The pause is kept, so that the failed job is tried on another worker.
        position->second.failures.clear();
        position->second.failures_of_ended_jobs = 0;
        position->second.quarantine_count = 0;
    }
}

health_verdict worker_health::record_failure(const std::string& worker, const std::string& job,
                                             common::time_point now) {
    worker_entry& worker_state = m_workers[worker];
    ++worker_state.failures[job];
    worker_state.paused_until = now + m_settings.pause;
    m_pause_ends.set(worker, worker_state.paused_until);
    job_entry& job_results = m_jobs[job];
    job_results.failed_on.insert(worker);
    // After an earlier quarantine without a success since, one counted failure is enough.
    const unsigned limit =
        worker_state.quarantine_count > 0 ? 1 : m_settings.failures_to_quarantine;
    if (failures_against(worker) >= limit) {
        quarantine(worker, now);
        return health_verdict::quarantine_worker;
    }
    if (job_results.succeeded_on.empty() &&
        job_results.failed_on.size() >= m_settings.workers_for_job_fault) {
        return health_verdict::job_fails_everywhere;
    }
    return health_verdict::none;
}

void worker_health::forget_job(const std::string& job) {
    const auto position = m_jobs.find(job);
    if (position == m_jobs.end()) {
        return;
    }
    const job_entry& job_results = position->second;
    for (const std::string& worker : job_results.failed_on) {
        worker_entry& worker_state = m_workers.at(worker);
        const auto failures = worker_state.failures.extract(job);
        if (!failures.empty() && !job_results.succeeded_on.empty() &&
            !job_results.succeeded_on.contains(worker)) {
            worker_state.failures_of_ended_jobs += failures.mapped();
        }
    }
    m_jobs.erase(position);
}

unsigned worker_health::failures_against(const std::string& worker) const {
    const worker_entry& worker_state = m_workers.at(worker);
    unsigned failure_count = worker_state.failures_of_ended_jobs;
    for (const auto& [job, failures] : worker_state.failures) {
        const auto position = m_jobs.find(job);
        if (position == m_jobs.end()) {
            continue;
        }
        const job_entry& job_results = position->second;
        if (!job_results.succeeded_on.empty() && !job_results.succeeded_on.contains(worker)) {
            failure_count += failures;
        } else if (job_results.succeeded_on.empty() && job_results.failed_on.size() == 1) {
            // The job was not tried on other workers, so all its failures count as one.
            failure_count += 1;
        }
    }
    return failure_count;
}

void worker_health::quarantine(const std::string& worker, common::time_point now) {
    worker_entry& worker_state = m_workers.at(worker);
    const auto length = std::min(
        m_settings.max_quarantine,
        m_settings.min_quarantine * (1U << std::min(worker_state.quarantine_count, max_doublings)));
    worker_state.quarantined_until = now + length;
    m_quarantine_ends.set(worker, worker_state.quarantined_until);
    ++worker_state.quarantine_count;
    worker_state.failures.clear();
    worker_state.failures_of_ended_jobs = 0;
    // Failures on a quarantined worker do not count against the jobs.
    for (auto& [job, job_results] : m_jobs) {
        job_results.failed_on.erase(worker);
    }
}

bool worker_health::excluded(const std::string& worker, common::time_point now) const {
    const auto until = excluded_until(worker);
    return until && now < *until;
}

std::optional<common::time_point> worker_health::excluded_until(const std::string& worker) const {
    const auto position = m_workers.find(worker);
    if (position == m_workers.end()) {
        return std::nullopt;
    }
    return std::max(position->second.paused_until, position->second.quarantined_until);
}

bool worker_health::quarantined(const std::string& worker, common::time_point now) const {
    const auto position = m_workers.find(worker);
    return position != m_workers.end() && now < position->second.quarantined_until;
}

std::optional<common::time_point> worker_health::next_change(common::time_point now) const {
    const auto pause = m_pause_ends.next_after(now);
    const auto quarantine = m_quarantine_ends.next_after(now);
    return pause && quarantine ? std::min(pause, quarantine) : std::max(pause, quarantine);
}

} // namespace buckthornspar::scheduling
