#include "core/dispatch/task_table.h"

#include <algorithm>

namespace buckthornspar::dispatch {

const task_state& task_table::untouched() {
    static const task_state shared;
    return shared;
}

const task_state& task_table::succeeded_state() {
    static const task_state shared = [] {
        task_state task;
        task.progress.succeeded = true;
        return task;
    }();
    return shared;
}

const task_state& task_table::operator[](std::uint32_t index) const {
    if (const auto found = m_own.find(index); found != m_own.end()) {
        return found->second;
    }
    return m_succeeded.contains(index) ? succeeded_state() : untouched();
}

std::uint32_t task_table::next_open(std::uint32_t from) const {
    return std::min(m_count, m_succeeded.first_missing(from).value_or(m_count));
}

std::uint32_t task_table::next_candidate(std::uint32_t from, bool any_new) const {
    if (any_new) {
        return next_open(from);
    }
    const auto found = m_own.lower_bound(from);
    return found == m_own.end() ? m_count : found->first;
}

void task_table::mark_succeeded(std::uint32_t index) {
    const auto found = m_own.find(index);
    if (found == m_own.end()) {
        m_succeeded.insert(index);
        return;
    }
    found->second.progress.succeeded = true;
    found->second.progress.checkpoint.clear();
    release(found);
}

bool task_table::clear_current(std::uint32_t index) {
    const auto found = m_own.find(index);
    if (found == m_own.end() || !found->second.current) {
        return false;
    }
    found->second.current.reset();
    release(found);
    return true;
}

// Nothing that is known of a succeeded task matters any more once it has no run.
void task_table::release(std::map<std::uint32_t, task_state>::iterator task) {
    if (task->second.progress.succeeded && !task->second.current) {
        m_succeeded.insert(task->first);
        m_own.erase(task);
    }
}

} // namespace buckthornspar::dispatch
