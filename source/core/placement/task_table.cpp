#include "core/placement/task_table.h"

#include <utility>

namespace buckthornspar::placement {

task_index task_table::add(task_request request, team_index team) {
    const auto next =
        static_cast<task_index>(m_unused.empty() ? m_entries.size() : m_unused.back());
    const auto [position, inserted] = m_index.emplace(request.task, next);
    if (!inserted) {
        throw common::usage_error("task " + request.task + " is already known");
    }
    if (m_unused.empty()) {
        m_entries.emplace_back();
    } else {
        m_unused.pop_back();
    }
    task_entry& entry = m_entries[next];
    entry.request = std::move(request);
    entry.team = team;
    entry.sequence = m_next_sequence++;
    return next;
}

void task_table::erase(task_index task) {
    m_index.erase(m_entries[task].request.task);
    m_entries[task] = task_entry{};
    m_unused.push_back(task);
}

std::optional<task_index> task_table::find(const std::string& task) const {
    const auto position = m_index.find(task);
    if (position == m_index.end()) {
        return std::nullopt;
    }
    return position->second;
}

} // namespace buckthornspar::placement
