#include "core/placement/scorer_set.h"

#include <algorithm>

namespace buckthornspar::placement {

scorer_set::scorer_set(const std::string& name, std::uint64_t seed) : m_seed(seed) {
    m_by_kind.fill(add(name));
}

void scorer_set::use(workload_kind kind, const std::string& name, const worker_table& workers) {
    auto chosen = m_scorers.find(name);
    if (chosen == m_scorers.end()) {
        chosen = add(name);
        for (worker_index worker = 0; worker < workers.size(); ++worker) {
            chosen->second->worker_changed(workers, worker);
        }
    }
    m_by_kind[static_cast<std::size_t>(kind)] = chosen;
    drop_unused();
}

void scorer_set::worker_changed(const worker_table& workers, worker_index worker) {
    for (const auto& [name, scoring] : m_scorers) {
        scoring->worker_changed(workers, worker);
    }
}

scorer_set::scorer_map::iterator scorer_set::add(const std::string& name) {
    return m_scorers.emplace(name, scorer_registry::instance().make(name, m_seed)).first;
}

// Every scorer is updated at each start and end of a task, even when no kind uses it.
void scorer_set::drop_unused() {
    for (auto position = m_scorers.begin(); position != m_scorers.end();) {
        const bool used =
            std::find(m_by_kind.begin(), m_by_kind.end(), position) != m_by_kind.end();
        position = used ? std::next(position) : m_scorers.erase(position);
    }
}

} // namespace buckthornspar::placement
