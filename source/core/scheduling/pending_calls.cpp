#include "core/scheduling/pending_calls.h"

#include <algorithm>

namespace buckthornspar::scheduling {

void pending_calls::add(std::uint64_t tag, pending_call call) {
    m_tags[{call.job, call.cancel}] = tag;
    if (!call.cancel) {
        ++m_submissions_by_team[call.spec.team];
    }
    m_calls.emplace(tag, std::move(call));
    update_deadline(tag);
}

void pending_calls::join(std::uint64_t tag, std::uint64_t ticket, common::time_point deadline) {
    m_calls.at(tag).tickets.emplace(ticket, deadline);
    update_deadline(tag);
}

std::optional<std::uint64_t> pending_calls::find(const std::string& job, bool cancel) const {
    const auto position = m_tags.find({job, cancel});
    return position == m_tags.end() ? std::nullopt : std::optional(position->second);
}

std::size_t pending_calls::submissions(const std::string& team) const {
    const auto position = m_submissions_by_team.find(team);
    return position == m_submissions_by_team.end() ? 0 : position->second;
}

std::optional<pending_call> pending_calls::take(std::uint64_t tag) {
    auto node = m_calls.extract(tag);
    if (node.empty()) {
        return std::nullopt;
    }
    m_deadlines.set(tag, std::nullopt);
    m_tags.erase({node.mapped().job, node.mapped().cancel});
    if (!node.mapped().cancel) {
        forget_submission(node.mapped().spec.team);
    }
    return std::move(node.mapped());
}

std::map<std::uint64_t, pending_call> pending_calls::take_all() {
    m_deadlines.clear();
    m_tags.clear();
    m_submissions_by_team.clear();
    return std::exchange(m_calls, {});
}

std::vector<expired_callers> pending_calls::take_expired(common::time_point now) {
    std::vector<expired_callers> result;
    for (const std::uint64_t tag : m_deadlines.take_due(now)) {
        expired_callers expired{tag, {}};
        std::erase_if(m_calls.at(tag).tickets, [&](const auto& item) {
            if (item.second > now) {
                return false;
            }
            expired.tickets.push_back(item.first);
            return true;
        });
        update_deadline(tag);
        result.push_back(std::move(expired));
    }
    return result;
}

void pending_calls::forget_submission(const std::string& team) {
    const auto position = m_submissions_by_team.find(team);
    if (--position->second == 0) {
        m_submissions_by_team.erase(position);
    }
}

void pending_calls::update_deadline(std::uint64_t tag) {
    std::optional<common::time_point> earliest;
    for (const auto& [ticket, deadline] : m_calls.at(tag).tickets) {
        earliest = std::min(earliest.value_or(deadline), deadline);
    }
    m_deadlines.set(tag, earliest);
}

} // namespace buckthornspar::scheduling
