#pragma once

#include "core/placement/quota_ledger.h"
#include "core/placement/worker_table.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// Position of a task in its task_table.
using task_index = std::uint32_t;
/// Position of an all-at-once job in its gang_table.
using gang_index = std::uint32_t;
inline constexpr gang_index no_gang = std::numeric_limits<gang_index>::max();

enum class task_phase { unused, waiting, allocated };

struct task_entry {
    task_request request;
    task_phase phase = task_phase::unused;
    /// Submission sequence number; kept when the task is queued again.
    std::uint64_t sequence = 0;
    team_index team = 0;
    gang_index gang = no_gang;
    /// Valid in phase `allocated`.
    worker_index worker = 0;
    worker_location location;
    common::time_point expected_end;
};

/// All tasks that are waiting or have resources allocated.
class task_table {
public:
    /// Throws usage_error when the task is already known.
    task_index add(task_request request, team_index team);
    void erase(task_index task);

    [[nodiscard]] std::optional<task_index> find(const std::string& task) const;
    [[nodiscard]] task_entry& operator[](task_index task) { return m_entries[task]; }
    [[nodiscard]] const task_entry& operator[](task_index task) const { return m_entries[task]; }

    /// All entries, including unused ones.
    [[nodiscard]] const std::vector<task_entry>& entries() const { return m_entries; }

private:
    std::vector<task_entry> m_entries;
    std::vector<task_index> m_unused;
    std::unordered_map<std::string, task_index> m_index;
    std::uint64_t m_next_sequence = 0;
};

} // namespace buckthornspar::placement
