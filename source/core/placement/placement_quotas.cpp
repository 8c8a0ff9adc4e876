#include "core/placement/placement_state.h"

namespace buckthornspar::placement {

namespace {

void add_waiting(quota_demand& demand, const resources& amount, const resources& first,
                 const resources& limit) {
    const bool first_one = demand.waiting == resources{};
    demand.waiting += amount;
    if (first_one || dominant_share(first, limit) < dominant_share(demand.next, limit)) {
        demand.next = first;
    }
}

} // namespace

void placement_engine::state::set_quota(const std::string& name,
                                        const std::optional<resources>& limit) {
    const team_index team = m_quotas.team(name);
    if (limit) {
        m_quotas.set_limit(team, *limit);
    } else {
        m_quotas.clear_limit(team);
    }
    quota_changed(team);
}

void placement_engine::state::set_quota_part(const std::string& name, const resources& part) {
    const team_index team = m_quotas.team(name);
    m_quotas.set_part(team, part);
    quota_changed(team);
}

void placement_engine::state::quota_changed(team_index team) {
    m_queue.team_changed(team, m_workers.usable_capacity());
    m_changes.teams_with_headroom.push_back(team);
    m_gangs_changed = true;
}

std::vector<quota_demand> placement_engine::state::quota_demands() const {
    std::vector<quota_demand> by_team(m_quotas.size());
    m_queue.for_each_over_quota([&](team_index team, const resources& first, std::size_t tasks) {
        if (m_quotas.limit(team)) {
            add_waiting(by_team[team], first * static_cast<std::int64_t>(tasks), first,
                        *m_quotas.limit(team));
        }
    });
    for (const gang_index gang : m_gangs.startable(max_gangs_considered)) {
        const team_index team = m_gangs[gang].team;
        if (m_quotas.limit(team) && !quota_allows(gang)) {
            const resources total = total_demand(gang);
            add_waiting(by_team[team], total, total, *m_quotas.limit(team));
        }
    }
    std::vector<quota_demand> demands;
    for (team_index team = 0; team < by_team.size(); ++team) {
        quota_demand& demand = by_team[team];
        demand.used = m_quotas.used(team);
        if (m_quotas.limit(team) && (demand.used != resources{} || demand.waiting != resources{})) {
            demand.team = m_quotas.name(team);
            demands.push_back(std::move(demand));
        }
    }
    return demands;
}

} // namespace buckthornspar::placement
