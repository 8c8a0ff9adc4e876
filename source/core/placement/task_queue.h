#pragma once

#include "core/placement/blocked_groups.h"
#include "core/placement/quota_ledger.h"
#include "core/placement/task_table.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// Changes since the last decision that may unblock waiting work.
struct queue_changes {
    bool plan_changed = false;
    /// Sorted list of teams whose use or limit changed such that more work may fit into their
    /// quota.
    std::vector<team_index> teams_with_headroom;

    [[nodiscard]] bool any() const { return plan_changed || !teams_with_headroom.empty(); }
};

/// The waiting tasks other than those of all-at-once jobs.
///
/// Tasks of the same kind, class, team and accelerator count, whose demands and run times fall into
/// the same levels, form a task group, and only the first task of a group is tried. A group whose
/// first task found no worker is blocked until a relevant change, so that a decision does not visit
/// every waiting task. A blocked group that fits into the freed capacity of a round competes with
/// the groups that are not blocked. Within a class the team with the smallest share goes first, and
/// within a team the group with the earliest deadline.
class task_queue {
public:
    task_queue(const task_table& tasks, const quota_ledger& quotas)
        : m_tasks(tasks), m_quotas(quotas) {}

    /// by_job places tasks of different jobs in different groups.
    void push(task_index task, bool by_job);
    void remove(task_index task);
    /// Removes a task that was started and records the start time for its group.
    void remove_started(task_index task, common::time_point now);

    /// Begins a decision, in which each blocked group is tried at most once.
    void start_round(freed_capacity freed);
    /// Updates the freed capacity after a start has consumed part of it.
    void set_freed_capacity(freed_capacity freed);

    /// First task of the class among the groups that are not blocked and the blocked ones that fit
    /// into the freed capacity; empty when there is none.
    [[nodiscard]] std::optional<task_index> front(priority_class c);
    [[nodiscard]] bool ready(priority_class c);

    /// Blocks the group of the task.
    void block(task_index task, wait_reason reason);
    void unblock(const queue_changes& changes);

    [[nodiscard]] wait_reason reason(task_index task) const;

    /// Updates the order of the team after its share has changed.
    void team_changed(team_index team, const resources& fleet);
    /// Updates the order of all teams after the capacity of the fleet has changed.
    void fleet_changed(const resources& fleet);

    /// Among the groups blocked for lack of capacity, returns the first task of the one that has
    /// gone longest without a start, counted at the earliest from the submission of that task.
    /// Empty when that time is not before `before` for any group.
    [[nodiscard]] std::optional<task_index> longest_blocked(common::time_point before) const;

    /// Called for each group that waits for quota, with the team, the demand of its first task and
    /// the number of its tasks. The tasks of a group differ little in demand.
    using quota_visitor = std::function<void(team_index, const resources&, std::size_t)>;
    void for_each_over_quota(const quota_visitor& visit) const;

    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    struct group_rank {
        task_rank first;
        group_index task_group = 0;
        auto operator<=>(const group_rank&) const = default;
    };
    struct group_key {
        workload_kind kind = workload_kind::batch;
        priority_class priority = priority_class::normal;
        team_index team = 0;
        unsigned cpu_level = 0;
        unsigned memory_level = 0;
        std::int64_t accelerators = 0;
        unsigned run_magnitude = 0;
        std::string job;
        bool operator==(const group_key&) const = default;
    };
    struct group_key_hash {
        std::size_t operator()(const group_key& key) const;
    };
    struct task_group {
        group_key key;
        std::set<task_rank> tasks;
        common::time_point last_start = common::time_point::min();
        wait_reason blocked = wait_reason::none;
    };
    struct class_team {
        double share = 0;
        std::set<group_rank> groups;
    };
    struct class_queue {
        std::set<team_rank> teams;
        std::vector<class_team> by_team;
        blocked_groups blocked;
        /// Cached search result for the freed capacity. An empty result stays valid for the whole
        /// round.
        bool searched = false;
        std::optional<blocked_groups::candidate> candidate;
    };

    [[nodiscard]] task_rank make_rank(task_index task) const;
    [[nodiscard]] const resources& first_demand(const task_group& waiting_group) const {
        return m_tasks[waiting_group.tasks.begin()->task].request.demand;
    }
    group_index group_of(const group_key& key);
    class_queue& queue_of(const task_group& waiting_group) {
        return m_classes[static_cast<std::size_t>(waiting_group.key.priority)];
    }
    void add_ready(group_index index);
    void remove_ready(group_index index);
    void remove_blocked(group_index index);
    /// Makes blocked groups ready.
    void unblock(const std::vector<group_index>& groups);
    /// Discards a cached candidate that may no longer be the first. An empty result stays valid for
    /// the whole round, because the freed capacity only shrinks.
    static void invalidate_candidate(class_queue& queue);
    const std::optional<blocked_groups::candidate>& find_candidate(class_queue& queue);
    /// Removes the group from the ready or the blocked groups.
    void unlink(group_index index);
    void erase_group(group_index index);

    const task_table& m_tasks;
    const quota_ledger& m_quotas;
    resources m_fleet;
    std::array<class_queue, priority_class_count> m_classes;
    std::vector<task_group> m_task_groups;
    std::vector<group_index> m_unused_groups;
    std::unordered_map<group_key, group_index, group_key_hash> m_group_index;
    struct task_position {
        group_index task_group = 0;
        task_rank rank;
    };
    /// Indexed by task_index.
    std::vector<task_position> m_task_positions;
    freed_capacity m_freed;
    std::uint64_t m_round = 0;
    std::size_t m_size = 0;
};

} // namespace buckthornspar::placement
