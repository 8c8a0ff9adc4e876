#include "core/service/job_directory.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using dispatch::is_final;
using dispatch::state_change;

namespace {

// Maximum length of a change log. A node that has missed more changes gets the full state.
constexpr std::size_t max_log_length = 2048;

} // namespace

bool job_directory::apply_change(common::time_point now, const state_change& change) {
    auto [position, added] = m_jobs.try_emplace(change.job);
    auto& job = position->second;
    if (!added && (is_final(job.state) || change.state <= job.state)) {
        return false;
    }
    job.origin.queue = change.queue;
    if (!change.customer.empty()) {
        job.origin.customer = change.customer;
    }
    job.state = change.state;
    if (!change.accepted_by.empty()) {
        job.accepted_by = change.accepted_by;
    }
    if (is_final(change.state)) {
        m_ended_jobs.emplace_back(now, change.job);
    }
    log_change(job.accepted_by, change);
    if (const auto followers = m_followers.find(change.job); followers != m_followers.end()) {
        for (const auto& node : followers->second) {
            log_change(node, change);
        }
    }
    return true;
}

void job_directory::log_change(const std::string& node, const state_change& change) {
    auto& log = m_change_logs[node];
    log.changes.push_back({m_next_position++, change});
    if (log.changes.size() > max_log_length) {
        log.covered_from = log.changes.front().position + 1;
        log.changes.pop_front();
    }
}

void job_directory::follow(const std::string& id, const std::string& node) {
    const auto position = m_jobs.find(id);
    if (position != m_jobs.end() && position->second.accepted_by == node) {
        return;
    }
    if (m_followers[id].insert(node).second && position != m_jobs.end()) {
        const auto& job = position->second;
        log_change(node, change_of(id, job));
    }
}

bool job_directory::is_follower(const std::string& job, const std::string& node) const {
    const auto followers = m_followers.find(job);
    return followers != m_followers.end() && followers->second.contains(node);
}

std::optional<dispatch::known_state> job_directory::find(const std::string& job) const {
    const auto position = m_jobs.find(job);
    if (position == m_jobs.end()) {
        return std::nullopt;
    }
    return dispatch::known_state{position->second.state, position->second.origin};
}

std::optional<dispatch::job_state> job_directory::state_of(const std::string& job) const {
    const auto known = find(job);
    return known ? std::optional(known->state) : std::nullopt;
}

void job_directory::set_pending(common::time_point known_until,
                                std::map<std::string, std::size_t> pending) {
    m_pending = std::move(pending);
    m_pending_at = known_until;
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
        m_followers.erase(m_ended_jobs.front().second);
        m_ended_jobs.pop_front();
    }
}

void job_directory::remove_unfollowed(const std::string& node) {
    std::erase_if(m_jobs, [&node](const auto& entry) {
        return !is_final(entry.second.state) && entry.second.accepted_by != node;
    });
    m_followers.clear();
}

const job_directory::change_log* job_directory::log_of(const std::string& node) const {
    const auto position = m_change_logs.find(node);
    return position == m_change_logs.end() ? nullptr : &position->second;
}

bool job_directory::covers(const change_log* log, std::uint64_t position) const {
    const auto covered_from = log == nullptr ? 1 : log->covered_from;
    return position >= covered_from && position <= m_next_position;
}

bool job_directory::has_changes_after(std::uint64_t position, const std::string& node) const {
    const auto* const log = log_of(node);
    return !covers(log, position) ||
           (log != nullptr && !log->changes.empty() && log->changes.back().position >= position);
}

job_directory::page job_directory::changes_after(std::uint64_t position,
                                                 const std::string& node) const {
    page result;
    result.next = m_next_position;
    const auto* const log = log_of(node);
    if (!covers(log, position)) {
        result.full = true;
        for (const auto& [id, job] : m_jobs) {
            if (job.accepted_by == node || is_follower(id, node)) {
                result.changes.push_back(change_of(id, job));
            }
        }
        return result;
    }
    if (log != nullptr) {
        const auto first = std::lower_bound(
            log->changes.begin(), log->changes.end(), position,
            [](const logged_change& entry, std::uint64_t p) { return entry.position < p; });
        for (auto entry = first; entry != log->changes.end(); ++entry) {
            result.changes.push_back(entry->change);
        }
    }
    return result;
}

} // namespace buckthornspar::service
