#pragma once

#include "core/placement/bucket_index.h"
#include "core/placement/freed_capacity.h"
#include "core/placement/task_table.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace buckthornspar::placement {

/// Position of a lane in its task_queue.
using group_index = std::uint32_t;

/// Order of the tasks of a team within a class.
struct task_rank {
    common::time_point due;
    /// Negative, so that of tasks that are due in the same second the larger goes first. Small
    /// tasks then fill the gaps that large ones leave.
    double negative_size = 0;
    std::uint64_t sequence = 0;
    task_index task = 0;
    auto operator<=>(const task_rank&) const = default;
};

/// Order of the teams of a class.
struct team_rank {
    double share = 0;
    team_index team = 0;
    auto operator<=>(const team_rank&) const = default;
};

/// Order of the first tasks of all lanes of a class.
struct front_rank {
    team_rank team;
    task_rank first;
    auto operator<=>(const front_rank&) const = default;
};

/// A lane whose first task was tried in vain.
struct blocked_group {
    resources demand;
    task_rank first;
    /// Decision in which the task was last tried.
    std::uint64_t round = 0;
    team_index team = 0;
    wait_reason reason = wait_reason::none;
};

/// The blocked lanes of one class, by the level of their demand.
///
/// A full shard has thousands of them, and what one ended task leaves fits few. A search visits
/// only the cells of demands that are small enough. When these hold many lanes, it goes through the
/// teams in their order instead, and usually ends at one of the first.
class blocked_groups {
public:
    struct candidate {
        front_rank rank;
        group_index task_group = 0;
    };

    blocked_groups();

    /// The share is that of the lane's team.
    void insert(group_index task_group, const blocked_group& blocked, double share);
    void erase(group_index task_group);
    /// A task with the same demand now goes first in the lane.
    void set_first(group_index task_group, const task_rank& first) {
        m_entries[task_group].blocked.first = first;
    }
    void set_share(team_index team, double share);

    /// The lane that goes first among those that fit into the room and were not tried in this
    /// round. The room may only shrink within a round.
    [[nodiscard]] std::optional<candidate> first_fitting(const freed_capacity& freed,
                                                         std::uint64_t round);
    /// All lanes that fit into the room.
    [[nodiscard]] std::vector<group_index> all_fitting(const freed_capacity& freed) const;
    /// The team's lanes that are over its quota.
    [[nodiscard]] std::vector<group_index> over_quota(team_index team) const;
    /// The lanes of all teams that are over their quotas.
    [[nodiscard]] std::vector<group_index> all_over_quota() const;
    /// Lanes with this reason, other than quota_exceeded.
    [[nodiscard]] std::vector<group_index> with_reason(wait_reason reason) const;

    /// Teams that have lanes other than those over their quota.
    [[nodiscard]] std::vector<team_index> teams() const;

private:
    struct entry {
        blocked_group blocked;
        /// Positions in the lists of the cell and of the team.
        std::uint32_t cell = 0;
        std::uint32_t cell_slot = 0;
        std::uint32_t team_slot = 0;
    };
    struct team_groups {
        double share = 0;
        std::vector<group_index> groups;
        /// Lanes over the quota are found by team alone, because no room helps them.
        std::vector<group_index> over_quota;
        /// The last round in which none of the lanes was left to try.
        std::uint64_t exhausted_round = 0;
    };

    /// Appends the cells whose demands may fit.
    void collect_cells(const resources& freed, std::vector<std::uint32_t>& cells) const;
    [[nodiscard]] std::optional<candidate> first_of_cells(const freed_capacity& freed,
                                                          std::uint64_t round) const;
    [[nodiscard]] std::optional<candidate> first_by_team(const freed_capacity& freed,
                                                         std::uint64_t round);
    [[nodiscard]] std::optional<candidate>
    first_of_team(team_index team, const freed_capacity& freed, std::uint64_t round) const;
    [[nodiscard]] bool can_try(group_index task_group, const freed_capacity& freed,
                               std::uint64_t round) const;
    void insert_into_cell(group_index task_group);
    void erase_from_cell(group_index task_group);

    /// By group_index; entries of lanes that are not blocked are unused.
    std::vector<entry> m_entries;
    std::vector<team_groups> m_teams;
    /// Teams that have lanes in cells.
    std::set<team_rank> m_order;
    /// Bit n is set when row n (a level of processors) has lanes.
    std::uint64_t m_rows = 0;
    /// Bit n is set when column n (a level of memory) of the row has lanes.
    std::array<std::uint64_t, bucket_levels> m_columns{};
    std::vector<std::vector<group_index>> m_cells;
    std::vector<std::uint32_t> m_found_cells;
};

} // namespace buckthornspar::placement
