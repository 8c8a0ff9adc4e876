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

/// Position of a task group in its task_queue.
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

/// Order of the first tasks of all groups of a class.
struct front_rank {
    team_rank team;
    task_rank first;
    auto operator<=>(const front_rank&) const = default;
};

/// A task group whose first task was tried and found no worker or exceeded a quota.
struct blocked_group {
    resources demand;
    task_rank first;
    /// Round in which the task was last tried.
    std::uint64_t round = 0;
    team_index team = 0;
    wait_reason reason = wait_reason::none;
};

/// The blocked task groups of one class, indexed by the level of their demand.
///
/// A full shard has thousands of them, and few fit into the capacity that one ended task frees. A
/// search visits only the cells of demands that are small enough. When these hold many groups, it
/// iterates over the teams in their order instead and usually ends at one of the first.
class blocked_groups {
public:
    struct candidate {
        front_rank rank;
        group_index task_group = 0;
    };

    blocked_groups();

    /// share is the current share of the group's team.
    void insert(group_index task_group, const blocked_group& blocked, double share);
    void erase(group_index task_group);
    /// Replaces the first task of the group by one with the same demand.
    void set_first(group_index task_group, const task_rank& first) {
        m_entries[task_group].blocked.first = first;
    }
    void set_share(team_index team, double share);

    /// The first group in order that fits into the freed capacity and was not tried in this round.
    /// The freed capacity may only shrink within a round.
    [[nodiscard]] std::optional<candidate> first_fitting(const freed_capacity& freed,
                                                         std::uint64_t round);
    /// All groups that fit into the freed capacity.
    [[nodiscard]] std::vector<group_index> all_fitting(const freed_capacity& freed) const;
    /// The team's groups that wait for its quota.
    [[nodiscard]] std::vector<group_index> over_quota(team_index team) const;
    /// The groups of all teams that wait for their quotas.
    [[nodiscard]] std::vector<group_index> all_over_quota() const;
    /// Groups with this reason, other than quota_exceeded.
    [[nodiscard]] std::vector<group_index> with_reason(wait_reason reason) const;

    /// Teams that have groups other than those that wait for the quota.
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
        /// Groups that wait for the quota are kept by team only, because freed capacity does not
        /// help them.
        std::vector<group_index> over_quota;
        /// Last round in which all groups had been tried or did not fit.
        std::uint64_t exhausted_round = 0;
    };

    /// Appends the cells that may hold fitting demands.
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

    /// Indexed by group_index; entries of groups that are not blocked are unused.
    std::vector<entry> m_entries;
    std::vector<team_groups> m_teams;
    /// Teams that have groups in cells.
    std::set<team_rank> m_order;
    /// Bit n is set when row n (a level of processors) has groups.
    std::uint64_t m_rows = 0;
    /// Bit n is set when column n (a level of memory) of the row has groups.
    std::array<std::uint64_t, bucket_levels> m_columns{};
    std::vector<std::vector<group_index>> m_cells;
    std::vector<std::uint32_t> m_found_cells;
};

} // namespace buckthornspar::placement
