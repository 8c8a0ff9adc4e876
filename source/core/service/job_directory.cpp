#include "core/service/job_directory.h"

#include <utility>

namespace buckthornspar::service {

using dispatch::is_final;
using dispatch::state_change;

namespace {

// Maximum length of the change log. A node that has missed more changes gets the full state.
constexpr std::size_t max_log_length = 2048;

} // namespace

bool job_directory::apply_change(common::time_point now, const state_change& change) {
    auto [position, added] = m_jobs.try_emplace(change.job);
    auto& job = position->second;
    if (!added && (is_final(job.state) || change.state <= job.state)) {
        return false;
    }
    job.queue = change.queue;
    job.state = change.state;
    if (is_final(change.state)) {
        m_ended_jobs.emplace_back(now, change.job);
    }
    m_change_log.push_back(change);
    if (m_change_log.size() > max_log_length) {
        m_change_log.pop_front();
        ++m_first_position;
    }
    return true;
}

std::optional<dispatch::job_state> job_directory::state_of(const std::string& job) const {
    const auto position = m_jobs.find(job);
    return position == m_jobs.end() ? std::nullopt : std::optional(position->second.state);
}

void job_directory::set_pending(common::time_point now,
                                std::map<std::string, std::size_t> pending) {
    m_pending = std::move(pending);
    m_pending_at = now;
}

std::optional<std::size_t> job_directory::pending_of(const std::string& queue,
                                                     common::time_point now,
                                                     common::duration max_age) const {
    if (!m_pending_at || now - *m_pending_at > max_age) {
        return std::nullopt;
    }
    const auto position = m_pending.find(queue);
    return position == m_pending.end() ? 0 : position->second;
}

void job_directory::expire(common::time_point now) {
    while (!m_ended_jobs.empty() && now - m_ended_jobs.front().first > m_retention) {
        m_jobs.erase(m_ended_jobs.front().second);
        m_ended_jobs.pop_front();
    }
}

job_directory::page job_directory::changes_after(std::uint64_t position) const {
    page result;
    result.next = this->position();
    if (position < m_first_position || position > result.next) {
        result.full = true;
        result.changes.reserve(m_jobs.size());
        for (const auto& [id, job] : m_jobs) {
            result.changes.push_back({id, job.queue, job.state});
        }
        return result;
    }
    for (std::uint64_t i = position; i < result.next; ++i) {
        result.changes.push_back(m_change_log[i - m_first_position]);
    }
    return result;
}

} // namespace buckthornspar::service
