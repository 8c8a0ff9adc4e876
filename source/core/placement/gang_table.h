#pragma once

#include "core/placement/task_table.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// An all-at-once job.
struct gang_entry {
    std::string job;
    priority_class priority = priority_class::normal;
    team_index team = 0;
    common::time_point submitted;
    std::vector<task_index> waiting;
    /// Number of tasks that are assigned or running. The job can be started only while there are
    /// none.
    std::size_t allocated = 0;
    wait_reason reason = wait_reason::queued;
    bool overdue = false;
};

/// All-at-once jobs with at least one waiting or allocated task, and the start order of those that
/// can be started.
class gang_table {
public:
    gang_index add(const task_request& first, team_index team);

    [[nodiscard]] gang_entry& operator[](gang_index gang) { return m_entries[gang]; }
    [[nodiscard]] const gang_entry& operator[](gang_index gang) const { return m_entries[gang]; }
    [[nodiscard]] std::optional<gang_index> find(const std::string& job) const;

    /// Updates the start order after `waiting` or `allocated` has changed; erases a gang without
    /// tasks.
    void update_order(gang_index gang);

    /// Up to `limit` gangs that can be started, oldest first.
    [[nodiscard]] std::vector<gang_index> startable(std::size_t limit) const;
    [[nodiscard]] bool any_startable() const { return !m_order.empty(); }

private:
    struct rank {
        common::time_point submitted;
        std::uint64_t sequence = 0;
        gang_index gang = 0;
        auto operator<=>(const rank&) const = default;
    };

    std::vector<gang_entry> m_entries;
    std::vector<std::uint64_t> m_sequences;
    std::vector<gang_index> m_unused;
    std::unordered_map<std::string, gang_index> m_index;
    std::set<rank> m_order;
    std::uint64_t m_next_sequence = 0;
};

} // namespace buckthornspar::placement
