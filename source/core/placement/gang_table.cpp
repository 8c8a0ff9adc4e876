#include "core/placement/gang_table.h"

namespace buckthornspar::placement {

gang_index gang_table::add(const task_request& first, team_index team) {
    gang_index gang = 0;
    if (m_unused.empty()) {
        gang = static_cast<gang_index>(m_entries.size());
        m_entries.emplace_back();
        m_sequences.emplace_back();
    } else {
        gang = m_unused.back();
        m_unused.pop_back();
    }
    gang_entry& entry = m_entries[gang];
    entry.job = first.job;
    entry.priority = first.priority;
    entry.team = team;
    entry.submitted = first.submitted;
    m_sequences[gang] = m_next_sequence++;
    m_index[first.job] = gang;
    return gang;
}

std::optional<gang_index> gang_table::find(const std::string& job) const {
    const auto position = m_index.find(job);
    if (position == m_index.end()) {
        return std::nullopt;
    }
    return position->second;
}

void gang_table::update_order(gang_index gang) {
    gang_entry& entry = m_entries[gang];
    const rank place{entry.submitted, m_sequences[gang], gang};
    if (!entry.waiting.empty() && entry.allocated == 0) {
        m_order.insert(place);
        return;
    }
    m_order.erase(place);
    if (entry.waiting.empty() && entry.allocated == 0) {
        m_index.erase(entry.job);
        entry = gang_entry{};
        m_unused.push_back(gang);
    }
}

std::vector<gang_index> gang_table::startable(std::size_t limit) const {
    std::vector<gang_index> gangs;
    for (const rank& r : m_order) {
        if (gangs.size() == limit) {
            break;
        }
        gangs.push_back(r.gang);
    }
    return gangs;
}

} // namespace buckthornspar::placement
