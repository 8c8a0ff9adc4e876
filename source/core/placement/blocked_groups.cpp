#include "core/placement/blocked_groups.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace buckthornspar::placement {

namespace {

/// Up to this many groups in the matching cells are compared one by one. With more of them, one of
/// the first teams nearly always has a group that fits.
constexpr std::size_t max_compared_groups = 48;

unsigned cpu_level(const resources& amount) {
    return bucket_level(amount.cpu_milli / cpu_milli_per_unit);
}

unsigned memory_level(const resources& amount) {
    return bucket_level(amount.memory_mb / memory_mb_per_unit);
}

std::uint64_t up_to_level(unsigned level) {
    return ~std::uint64_t{0} >> (bucket_levels - 1 - level);
}

// The order within a list is irrelevant, so the last element fills the gap.
void erase_slot(std::vector<group_index>& list, std::uint32_t slot) {
    list[slot] = list.back();
    list.pop_back();
}

} // namespace

blocked_groups::blocked_groups() : m_cells(std::size_t{bucket_levels} * bucket_levels) {}

void blocked_groups::insert(group_index task_group, const blocked_group& blocked, double share) {
    if (task_group >= m_entries.size()) {
        m_entries.resize(task_group + 1);
    }
    if (blocked.team >= m_teams.size()) {
        m_teams.resize(blocked.team + 1);
    }
    entry& e = m_entries[task_group];
    e.blocked = blocked;
    team_groups& team = m_teams[blocked.team];
    const bool over = blocked.reason == wait_reason::quota_exceeded;
    auto& list = over ? team.over_quota : team.groups;
    e.team_slot = static_cast<std::uint32_t>(list.size());
    list.push_back(task_group);
    if (over) {
        return;
    }
    if (list.size() == 1) {
        team.share = share;
        m_order.insert({share, blocked.team});
    }
    insert_into_cell(task_group);
}

void blocked_groups::erase(group_index task_group) {
    const entry& e = m_entries[task_group];
    team_groups& team = m_teams[e.blocked.team];
    const bool over = e.blocked.reason == wait_reason::quota_exceeded;
    auto& list = over ? team.over_quota : team.groups;
    m_entries[list.back()].team_slot = e.team_slot;
    erase_slot(list, e.team_slot);
    if (over) {
        return;
    }
    if (list.empty()) {
        m_order.erase({team.share, e.blocked.team});
    }
    erase_from_cell(task_group);
}

void blocked_groups::insert_into_cell(group_index task_group) {
    entry& e = m_entries[task_group];
    const unsigned row = cpu_level(e.blocked.demand);
    const unsigned column = memory_level(e.blocked.demand);
    e.cell = row * bucket_levels + column;
    auto& cell = m_cells[e.cell];
    e.cell_slot = static_cast<std::uint32_t>(cell.size());
    cell.push_back(task_group);
    m_rows |= std::uint64_t{1} << row;
    m_columns[row] |= std::uint64_t{1} << column;
}

void blocked_groups::erase_from_cell(group_index task_group) {
    const entry& e = m_entries[task_group];
    auto& cell = m_cells[e.cell];
    m_entries[cell.back()].cell_slot = e.cell_slot;
    erase_slot(cell, e.cell_slot);
    if (!cell.empty()) {
        return;
    }
    const unsigned row = e.cell / bucket_levels;
    m_columns[row] &= ~(std::uint64_t{1} << e.cell % bucket_levels);
    if (m_columns[row] == 0) {
        m_rows &= ~(std::uint64_t{1} << row);
    }
}

void blocked_groups::set_share(team_index team, double share) {
    if (team >= m_teams.size() || m_teams[team].groups.empty()) {
        return;
    }
    auto node = m_order.extract({m_teams[team].share, team});
    m_teams[team].share = share;
    node.value().share = share;
    m_order.insert(std::move(node));
}

void blocked_groups::collect_cells(const resources& freed,
                                   std::vector<std::uint32_t>& cells) const {
    const std::uint64_t fitting_columns = up_to_level(memory_level(freed));
    std::uint64_t rows = m_rows & up_to_level(cpu_level(freed));
    for (; rows != 0; rows &= rows - 1) {
        const auto row = static_cast<unsigned>(std::countr_zero(rows));
        std::uint64_t columns = m_columns[row] & fitting_columns;
        for (; columns != 0; columns &= columns - 1) {
            cells.push_back(row * bucket_levels + static_cast<unsigned>(std::countr_zero(columns)));
        }
    }
}

std::optional<blocked_groups::candidate> blocked_groups::first_fitting(const freed_capacity& freed,
                                                                       std::uint64_t round) {
    m_found_cells.clear();
    collect_cells(freed.most(), m_found_cells);
    std::size_t groups = 0;
    for (const std::uint32_t cell : m_found_cells) {
        groups += m_cells[cell].size();
        if (groups > max_compared_groups) {
            return first_by_team(freed, round);
        }
    }
    return first_of_cells(freed, round);
}

bool blocked_groups::can_try(group_index task_group, const freed_capacity& freed,
                             std::uint64_t round) const {
    const blocked_group& blocked = m_entries[task_group].blocked;
    return blocked.round != round && freed.fits(blocked.demand);
}

std::optional<blocked_groups::candidate> blocked_groups::first_of_cells(const freed_capacity& freed,
                                                                        std::uint64_t round) const {
    std::optional<candidate> first;
    for (const std::uint32_t cell : m_found_cells) {
        for (const group_index task_group : m_cells[cell]) {
            if (!can_try(task_group, freed, round)) {
                continue;
            }
            const blocked_group& blocked = m_entries[task_group].blocked;
            const front_rank rank{{m_teams[blocked.team].share, blocked.team}, blocked.first};
            if (!first || rank < first->rank) {
                first = {rank, task_group};
            }
        }
    }
    return first;
}

std::optional<blocked_groups::candidate> blocked_groups::first_by_team(const freed_capacity& freed,
                                                                       std::uint64_t round) {
    for (const team_rank& next : m_order) {
        team_groups& team = m_teams[next.team];
        if (team.exhausted_round == round) {
            continue;
        }
        if (const auto found = first_of_team(next.team, freed, round)) {
            return found;
        }
        team.exhausted_round = round;
    }
    return std::nullopt;
}

std::optional<blocked_groups::candidate> blocked_groups::first_of_team(team_index team,
                                                                       const freed_capacity& freed,
                                                                       std::uint64_t round) const {
    std::optional<candidate> first;
    for (const group_index task_group : m_teams[team].groups) {
        const task_rank& rank = m_entries[task_group].blocked.first;
        if (can_try(task_group, freed, round) && (!first || rank < first->rank.first)) {
            first = {{{m_teams[team].share, team}, rank}, task_group};
        }
    }
    return first;
}

std::vector<group_index> blocked_groups::all_fitting(const freed_capacity& freed) const {
    std::vector<std::uint32_t> cells;
    collect_cells(freed.most(), cells);
    std::vector<group_index> fitting;
    for (const std::uint32_t cell : cells) {
        std::copy_if(m_cells[cell].begin(), m_cells[cell].end(), std::back_inserter(fitting),
                     [&](group_index task_group) {
                         return freed.fits(m_entries[task_group].blocked.demand);
                     });
    }
    return fitting;
}

std::vector<team_index> blocked_groups::teams() const {
    std::vector<team_index> teams;
    for (const team_rank& team : m_order) {
        teams.push_back(team.team);
    }
    return teams;
}

std::vector<group_index> blocked_groups::over_quota(team_index team) const {
    return team < m_teams.size() ? m_teams[team].over_quota : std::vector<group_index>{};
}

std::vector<group_index> blocked_groups::all_over_quota() const {
    std::vector<group_index> found;
    for (const team_groups& team : m_teams) {
        found.insert(found.end(), team.over_quota.begin(), team.over_quota.end());
    }
    return found;
}

std::vector<group_index> blocked_groups::with_reason(wait_reason reason) const {
    std::vector<group_index> found;
    for (const team_rank& team : m_order) {
        const auto& groups = m_teams[team.team].groups;
        std::copy_if(
            groups.begin(), groups.end(), std::back_inserter(found),
            [&](group_index task_group) { return m_entries[task_group].blocked.reason == reason; });
    }
    return found;
}

} // namespace buckthornspar::placement
