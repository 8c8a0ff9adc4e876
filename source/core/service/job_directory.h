#pragma once

#include "core/common/clock.h"
#include "core/dispatch/dispatch_actions.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::service {

/// Cache of job states and pending counts that a node can report to callers without reading the
/// store. The state of a job only moves forward.
class job_directory {
public:
    explicit job_directory(common::duration retention) : m_retention(retention) {}

    /// Returns false when the change does not advance the known state of its job.
    bool apply_change(common::time_point now, const dispatch::state_change& change);
    [[nodiscard]] std::optional<dispatch::job_state> state_of(const std::string& job) const;

    /// Sets the number of jobs per queue that have not begun, as counted by the owner.
    void set_pending(common::time_point now, std::map<std::string, std::size_t> pending);
    /// Empty when there is no count or it is older than max_age.
    [[nodiscard]] std::optional<std::size_t>
    pending_of(const std::string& queue, common::time_point now, common::duration max_age) const;
    /// Removes jobs that ended longer ago than the retention time.
    void expire(common::time_point now);

    /// Changes from a position in the log, for replication to another node. If the log no longer
    /// covers the position, full is set and the changes are the states of all known jobs.
    struct page {
        std::uint64_t next = 0;
        bool full = false;
        std::vector<dispatch::state_change> changes;
    };
    [[nodiscard]] page changes_after(std::uint64_t position) const;
    [[nodiscard]] std::uint64_t position() const { return m_first_position + m_change_log.size(); }
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }

private:
    struct known_job {
        std::string queue;
        dispatch::job_state state = dispatch::job_state::queued;
    };

    common::duration m_retention;
    std::unordered_map<std::string, known_job> m_jobs;
    std::deque<std::pair<common::time_point, std::string>> m_ended_jobs;
    std::deque<dispatch::state_change> m_change_log;
    /// Position of the first change in the log. Positions start at 1.
    std::uint64_t m_first_position = 1;
    std::map<std::string, std::size_t> m_pending;
    std::optional<common::time_point> m_pending_at;
};

} // namespace buckthornspar::service
