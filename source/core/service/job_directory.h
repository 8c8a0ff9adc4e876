#pragma once

#include "core/common/clock.h"
#include "core/dispatch/dispatch_actions.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
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
    /// The state is only kept up to date for jobs that this node accepted or follows and, at the
    /// owner, for all jobs.
    [[nodiscard]] std::optional<dispatch::known_state> find(const std::string& job) const;
    [[nodiscard]] std::optional<dispatch::job_state> state_of(const std::string& job) const;

    /// Adds the job's current and further states to the changes for a node that did not accept it.
    /// The job may become known later, when a new owner has read it.
    void follow(const std::string& job, const std::string& node);

    /// Sets the number of jobs per queue that have not begun. All jobs that were accepted before
    /// the given time are counted.
    void set_pending(common::time_point known_until, std::map<std::string, std::size_t> pending);
    /// Empty when there is no count or it is older than max_age.
    [[nodiscard]] std::optional<std::size_t>
    pending_of(const std::string& queue, common::time_point now, common::duration max_age) const;
    /// Removes jobs that ended longer ago than the retention time.
    void expire(common::time_point now);
    /// Removes the jobs whose state is no longer updated when this node stops being the owner:
    /// those that have not ended and were accepted by another node.
    void remove_unfollowed(const std::string& node);

    /// Changes from a position in the log, for replication to another node. If the log no longer
    /// covers the position, full is set and the changes are the states of all jobs of the node.
    struct page {
        std::uint64_t next = 0;
        bool full = false;
        std::vector<dispatch::state_change> changes;
    };
    /// Changes of the jobs that the node accepted or follows.
    [[nodiscard]] page changes_after(std::uint64_t position, const std::string& node) const;
    [[nodiscard]] bool has_changes_after(std::uint64_t position, const std::string& node) const;
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }

private:
    struct known_job {
        customers::job_origin origin;
        dispatch::job_state state = dispatch::job_state::queued;
        std::string accepted_by;
    };
    struct logged_change {
        std::uint64_t position = 0;
        dispatch::state_change change;
    };
    struct change_log {
        /// The log holds all changes from this position on.
        std::uint64_t covered_from = 1;
        std::deque<logged_change> changes;
    };
    [[nodiscard]] static dispatch::state_change change_of(const std::string& id,
                                                          const known_job& job) {
        return {id, job.origin.queue, job.state, job.accepted_by, job.origin.customer};
    }
    void log_change(const std::string& node, const dispatch::state_change& change);
    [[nodiscard]] bool is_follower(const std::string& job, const std::string& node) const;
    [[nodiscard]] bool covers(const change_log* log, std::uint64_t position) const;
    [[nodiscard]] const change_log* log_of(const std::string& node) const;

    common::duration m_retention;
    std::unordered_map<std::string, known_job> m_jobs;
    /// Nodes that are told of a job's changes although they did not accept it.
    std::unordered_map<std::string, std::set<std::string>> m_followers;
    std::deque<std::pair<common::time_point, std::string>> m_ended_jobs;
    /// Changes by the node that is told of them. Positions start at 1 and are counted over all
    /// logs.
    std::map<std::string, change_log> m_change_logs;
    std::uint64_t m_next_position = 1;
    std::map<std::string, std::size_t> m_pending;
    std::optional<common::time_point> m_pending_at;
};

} // namespace buckthornspar::service
