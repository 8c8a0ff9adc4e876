#include "core/placement/blocked_lanes.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace buckthornspar::placement {

namespace {

/// Up to this many lanes in the cells are compared one by one. With more of them, one of the first
/// teams nearly always has a lane that fits.
constexpr std::size_t few_lanes = 48;

unsigned cpu_level(const resources& amount) {
    return bucket_level(amount.cpu_milli / cpu_milli_per_unit);
}

unsigned memory_level(const resources& amount) {
    return bucket_level(amount.memory_mb / memory_mb_per_unit);
}

std::uint64_t up_to_level(unsigned level) {
    return ~std::uint64_t{0} >> (bucket_levels - 1 - level);
}

// The order of the lanes in a list has no meaning.
void erase_slot(std::vector<lane_index>& list, std::uint32_t slot) {
    list[slot] = list.back();
    list.pop_back();
}

} // namespace

blocked_lanes::blocked_lanes() : m_cells(std::size_t{bucket_levels} * bucket_levels) {}

void blocked_lanes::insert(lane_index lane, const blocked_lane& blocked, double share) {
    if (lane >= m_entries.size()) {
        m_entries.resize(lane + 1);
    }
    if (blocked.team >= m_teams.size()) {
        m_teams.resize(blocked.team + 1);
    }
    entry& e = m_entries[lane];
    e.blocked = blocked;
    team_lanes& team = m_teams[blocked.team];
    const bool over = blocked.reason == wait_reason::quota_exceeded;
    auto& list = over ? team.over_quota : team.lanes;
    e.team_slot = static_cast<std::uint32_t>(list.size());
    list.push_back(lane);
    if (over) {
        return;
    }
    if (list.size() == 1) {
        team.share = share;
        m_order.insert({share, blocked.team});
    }
    insert_into_cell(lane);
}

void blocked_lanes::erase(lane_index lane) {
    const entry& e = m_entries[lane];
    team_lanes& team = m_teams[e.blocked.team];
    const bool over = e.blocked.reason == wait_reason::quota_exceeded;
    auto& list = over ? team.over_quota : team.lanes;
    m_entries[list.back()].team_slot = e.team_slot;
    erase_slot(list, e.team_slot);
    if (over) {
        return;
    }
    if (list.empty()) {
        m_order.erase({team.share, e.blocked.team});
    }
    erase_from_cell(lane);
}

void blocked_lanes::insert_into_cell(lane_index lane) {
    entry& e = m_entries[lane];
    const unsigned row = cpu_level(e.blocked.demand);
    const unsigned column = memory_level(e.blocked.demand);
    e.cell = row * bucket_levels + column;
    auto& cell = m_cells[e.cell];
    e.cell_slot = static_cast<std::uint32_t>(cell.size());
    cell.push_back(lane);
    m_rows |= std::uint64_t{1} << row;
    m_columns[row] |= std::uint64_t{1} << column;
}

void blocked_lanes::erase_from_cell(lane_index lane) {
    const entry& e = m_entries[lane];
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

void blocked_lanes::set_share(team_index team, double share) {
    if (team >= m_teams.size() || m_teams[team].lanes.empty()) {
        return;
    }
    auto node = m_order.extract({m_teams[team].share, team});
    m_teams[team].share = share;
    node.value().share = share;
    m_order.insert(std::move(node));
}

void blocked_lanes::collect_cells(const resources& room, std::vector<std::uint32_t>& cells) const {
    const std::uint64_t narrow = up_to_level(memory_level(room));
    std::uint64_t rows = m_rows & up_to_level(cpu_level(room));
    for (; rows != 0; rows &= rows - 1) {
        const auto row = static_cast<unsigned>(std::countr_zero(rows));
        std::uint64_t columns = m_columns[row] & narrow;
        for (; columns != 0; columns &= columns - 1) {
            cells.push_back(row * bucket_levels + static_cast<unsigned>(std::countr_zero(columns)));
        }
    }
}

std::optional<blocked_lanes::candidate> blocked_lanes::first_fitting(const freed_room& room,
                                                                     std::uint64_t round) {
    m_found_cells.clear();
    collect_cells(room.most(), m_found_cells);
    std::size_t lanes = 0;
    for (const std::uint32_t cell : m_found_cells) {
        lanes += m_cells[cell].size();
        if (lanes > few_lanes) {
            return first_by_team(room, round);
        }
    }
    return first_of_cells(room, round);
}

bool blocked_lanes::may_start(lane_index lane, const freed_room& room, std::uint64_t round) const {
    const blocked_lane& blocked = m_entries[lane].blocked;
    return blocked.round != round && room.fits(blocked.demand);
}

std::optional<blocked_lanes::candidate> blocked_lanes::first_of_cells(const freed_room& room,
                                                                      std::uint64_t round) const {
    std::optional<candidate> first;
    for (const std::uint32_t cell : m_found_cells) {
        for (const lane_index lane : m_cells[cell]) {
            if (!may_start(lane, room, round)) {
                continue;
            }
            const blocked_lane& blocked = m_entries[lane].blocked;
            const front_rank rank{{m_teams[blocked.team].share, blocked.team}, blocked.first};
            if (!first || rank < first->rank) {
                first = {rank, lane};
            }
        }
    }
    return first;
}

std::optional<blocked_lanes::candidate> blocked_lanes::first_by_team(const freed_room& room,
                                                                     std::uint64_t round) {
    for (const team_rank& next : m_order) {
        team_lanes& team = m_teams[next.team];
        if (team.exhausted_round == round) {
            continue;
        }
        if (const auto found = first_of_team(next.team, room, round)) {
            return found;
        }
        team.exhausted_round = round;
    }
    return std::nullopt;
}

std::optional<blocked_lanes::candidate>
blocked_lanes::first_of_team(team_index team, const freed_room& room, std::uint64_t round) const {
    std::optional<candidate> first;
    for (const lane_index lane : m_teams[team].lanes) {
        const task_rank& rank = m_entries[lane].blocked.first;
        if (may_start(lane, room, round) && (!first || rank < first->rank.first)) {
            first = {{{m_teams[team].share, team}, rank}, lane};
        }
    }
    return first;
}

std::vector<lane_index> blocked_lanes::all_fitting(const freed_room& room) const {
    std::vector<std::uint32_t> cells;
    collect_cells(room.most(), cells);
    std::vector<lane_index> fitting;
    for (const std::uint32_t cell : cells) {
        std::copy_if(m_cells[cell].begin(), m_cells[cell].end(), std::back_inserter(fitting),
                     [&](lane_index lane) { return room.fits(m_entries[lane].blocked.demand); });
    }
    return fitting;
}

std::vector<team_index> blocked_lanes::teams() const {
    std::vector<team_index> teams;
    for (const team_rank& team : m_order) {
        teams.push_back(team.team);
    }
    return teams;
}

std::vector<lane_index> blocked_lanes::over_quota(team_index team) const {
    return team < m_teams.size() ? m_teams[team].over_quota : std::vector<lane_index>{};
}

std::vector<lane_index> blocked_lanes::all_over_quota() const {
    std::vector<lane_index> found;
    for (const team_lanes& team : m_teams) {
        found.insert(found.end(), team.over_quota.begin(), team.over_quota.end());
    }
    return found;
}

std::vector<lane_index> blocked_lanes::with_reason(wait_reason reason) const {
    std::vector<lane_index> found;
    for (const team_rank& team : m_order) {
        const auto& lanes = m_teams[team.team].lanes;
        std::copy_if(lanes.begin(), lanes.end(), std::back_inserter(found),
                     [&](lane_index lane) { return m_entries[lane].blocked.reason == reason; });
    }
    return found;
}

} // namespace buckthornspar::placement
