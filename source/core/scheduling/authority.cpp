#include "core/scheduling/authority.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace buckthornspar::scheduling {

void authority::set_quorums(std::set<std::string> logged, std::set<std::string> pending) {
    m_quorums = {quorum{std::move(logged), 0}, quorum{std::move(pending), 0}};
    for (const auto& [worker, sent_at] : m_accepted) {
        if (m_valid_until.contains(worker)) {
            count(worker, 1);
        }
    }
}

void authority::record_acceptance(const std::string& worker, common::time_point sent_at) {
    auto& known = m_accepted.try_emplace(worker, sent_at).first->second;
    known = std::max(known, sent_at);
    if (!m_valid_until.contains(worker)) {
        count(worker, 1);
    }
    m_valid_until.set(worker, known + m_validity);
}

void authority::expire(common::time_point now) {
    for (const auto& worker : m_valid_until.take_due(now)) {
        count(worker, -1);
    }
}

bool authority::is_held(common::time_point now) {
    expire(now);
    return std::all_of(m_quorums.begin(), m_quorums.end(),
                       [](const quorum& set) { return set.recent * 2 > set.workers.size(); });
}

authority::reach authority::smaller_reach(common::time_point now) {
    expire(now);
    const auto& smaller = *std::min_element(
        m_quorums.begin(), m_quorums.end(), [](const quorum& one, const quorum& other) {
            return one.recent * other.workers.size() < other.recent * one.workers.size();
        });
    return {smaller.recent, smaller.workers.size()};
}

std::optional<common::time_point> authority::sole_majority_until() const {
    auto until = common::time_point::max();
    for (const auto& set : m_quorums) {
        std::vector<common::time_point> accepted;
        for (const auto& worker : set.workers) {
            const auto position = m_accepted.find(worker);
            if (position != m_accepted.end()) {
                accepted.push_back(position->second);
            }
        }
        const std::size_t majority = set.workers.size() / 2 + 1;
        if (accepted.size() < majority) {
            return std::nullopt;
        }
        const auto last = accepted.begin() + static_cast<std::ptrdiff_t>(majority - 1);
        std::nth_element(accepted.begin(), last, accepted.end(), std::greater<>());
        until = std::min(until, *last);
    }
    return until;
}

void authority::clear() {
    m_accepted.clear();
    m_valid_until.clear();
    for (auto& set : m_quorums) {
        set.recent = 0;
    }
}

void authority::count(const std::string& worker, int change) {
    for (auto& set : m_quorums) {
        if (set.workers.contains(worker)) {
            set.recent += static_cast<std::size_t>(change);
        }
    }
}

} // namespace buckthornspar::scheduling
