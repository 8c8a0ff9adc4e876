#pragma once

#include "core/common/due_queue.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::scheduling {

struct worker_health_settings {
    /// Number of failures counted against a worker at which it is quarantined.
    unsigned failures_to_quarantine = 3;
    /// Number of workers on which a job must have failed to be considered at fault itself.
    std::size_t workers_for_job_fault = 3;
    /// A worker is given no new work for this long after a failure, so that the next attempt shows
    /// whether the job also fails on another worker.
    common::duration pause = std::chrono::milliseconds(500);
    common::duration min_quarantine = std::chrono::seconds(30);
    common::duration max_quarantine = std::chrono::hours(1);
};

enum class health_verdict { none, quarantine_worker, job_fails_everywhere };

/// Distinguishes faulty workers from faulty jobs. A failure counts against the worker if the job
/// succeeds elsewhere or has failed nowhere else; it counts against the job if the job has failed
/// on several workers and succeeded on none.
class worker_health {
public:
    explicit worker_health(worker_health_settings settings) : m_settings(settings) {}

    void record_success(const std::string& worker, const std::string& job);
    [[nodiscard]] health_verdict record_failure(const std::string& worker, const std::string& job,
                                                common::time_point now);
    /// Removes an ended job. Its failures still count against workers if it succeeded elsewhere.
    void forget_job(const std::string& job);

    /// True while the worker is paused or quarantined.
    [[nodiscard]] bool excluded(const std::string& worker, common::time_point now) const;
    /// End of the worker's last exclusion, also if it has passed. Empty if it never failed.
    [[nodiscard]] std::optional<common::time_point> excluded_until(const std::string& worker) const;
    [[nodiscard]] bool quarantined(const std::string& worker, common::time_point now) const;
    /// Earliest end of an exclusion after now.
    [[nodiscard]] std::optional<common::time_point> next_change(common::time_point now) const;

private:
    struct worker_entry {
        /// Failures by job since the last success.
        std::map<std::string, unsigned> failures;
        /// Failures since the last success, of jobs that have ended and succeeded elsewhere.
        unsigned failures_of_ended_jobs = 0;
        /// Number of quarantines since the last success.
        unsigned quarantine_count = 0;
        common::time_point paused_until;
        common::time_point quarantined_until;
    };
    struct job_entry {
        std::set<std::string> failed_on;
        std::set<std::string> succeeded_on;
    };

    [[nodiscard]] unsigned failures_against(const std::string& worker) const;
    void quarantine(const std::string& worker, common::time_point now);

    worker_health_settings m_settings;
    std::map<std::string, worker_entry> m_workers;
    common::due_queue<std::string> m_pause_ends;
    common::due_queue<std::string> m_quarantine_ends;
    std::map<std::string, job_entry> m_jobs;
};

} // namespace buckthornspar::scheduling
