#include "core/placement/quota_ledger.h"

#include <algorithm>

namespace buckthornspar::placement {

namespace {

double share_of(std::int64_t amount, std::int64_t whole) {
    return whole <= 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(whole);
}

} // namespace

double dominant_share(const resources& amount, const resources& whole) {
    return std::max({share_of(amount.cpu_milli, whole.cpu_milli),
                     share_of(amount.memory_mb, whole.memory_mb),
                     share_of(amount.accelerators, whole.accelerators)});
}

team_index quota_ledger::team(const std::string& name) {
    const auto [position, inserted] =
        m_index.emplace(name, static_cast<team_index>(m_teams.size()));
    if (inserted) {
        m_teams.emplace_back().name = name;
    }
    return position->second;
}

std::optional<team_index> quota_ledger::find(const std::string& name) const {
    const auto position = m_index.find(name);
    if (position == m_index.end()) {
        return std::nullopt;
    }
    return position->second;
}

bool quota_ledger::allows(team_index team, const resources& demand) const {
    const account& a = m_teams[team];
    return !a.limit || (a.used + demand).fits(a.part.value_or(*a.limit));
}

double quota_ledger::share(team_index team, const resources& fleet) const {
    const account& a = m_teams[team];
    return dominant_share(a.used, a.limit ? *a.limit : fleet);
}

} // namespace buckthornspar::placement
