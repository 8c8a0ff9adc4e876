#pragma once

#include "core/placement/blocked_lanes.h"
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

/// What became possible since blocked work was last looked at.
struct queue_changes {
    bool plan_changed = false;
    /// Teams whose use or limit changed so that more may fit into their quota; sorted.
    std::vector<team_index> relieved_teams;

    [[nodiscard]] bool any() const { return plan_changed || !relieved_teams.empty(); }
};

/// The waiting tasks, other than all-at-once jobs.
///
/// Tasks that differ in demand by less than a level of the bucket index share a lane, and only the
/// first one of a lane is tried. A lane whose first task found no worker is blocked until something
/// changes that concerns it, so that a decision does not look at each waiting task. A blocked lane
/// that fits into the freed room of a round competes with the lanes that are not blocked. Within a
/// class the team with the smallest share goes first, and within a team the lane with the earliest
/// deadline.
class task_queue {
public:
    task_queue(const task_table& tasks, const quota_ledger& quotas)
        : m_tasks(tasks), m_quotas(quotas) {}

    /// by_job keeps the tasks of different jobs apart.
    void push(task_index task, bool by_job);
    void remove(task_index task);
    /// Removes a task that is started, and notes that its lane makes progress.
    void remove_started(task_index task, common::time_point now);

    /// Begins a decision in which each blocked lane is tried once at most.
    void start_round(freed_room room);
    /// What was freed has shrunk by a start.
    void set_room(freed_room room);

    /// The task that goes first in the class, if any is not blocked or fits into the freed room.
    [[nodiscard]] std::optional<task_index> front(priority_class c);
    [[nodiscard]] bool ready(priority_class c);

    /// Blocks the lane of the task.
    void block(task_index task, wait_reason reason);
    void unblock(const queue_changes& changes);

    [[nodiscard]] wait_reason reason(task_index task) const;

    /// Places the team anew after its share has changed.
    void team_changed(team_index team, const resources& fleet);
    /// Places all teams anew after the fleet has changed.
    void fleet_changed(const resources& fleet);

    /// Among the lanes that are blocked for lack of capacity, the first task of the one that has
    /// had no start for the longest time since that task was submitted, if that is before the time.
    [[nodiscard]] std::optional<task_index> longest_blocked(common::time_point before) const;

    /// Told the team, the demand of the first task and the number of tasks of each lane that waits
    /// for the quota. The tasks of a lane differ little in demand.
    using quota_visitor = std::function<void(team_index, const resources&, std::size_t)>;
    void for_each_over_quota(const quota_visitor& visit) const;

    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    struct lane_rank {
        task_rank first;
        lane_index lane = 0;
        auto operator<=>(const lane_rank&) const = default;
    };
    struct lane_key {
        workload_kind kind = workload_kind::batch;
        priority_class priority = priority_class::normal;
        team_index team = 0;
        unsigned cpu_level = 0;
        unsigned memory_level = 0;
        std::int64_t accelerators = 0;
        unsigned run_magnitude = 0;
        std::string job;
        bool operator==(const lane_key&) const = default;
    };
    struct lane_key_hash {
        std::size_t operator()(const lane_key& key) const;
    };
    struct lane {
        lane_key key;
        std::set<task_rank> tasks;
        common::time_point last_start = common::time_point::min();
        wait_reason blocked = wait_reason::none;
    };
    struct class_team {
        double share = 0;
        std::set<lane_rank> lanes;
    };
    struct class_queue {
        std::set<team_rank> teams;
        std::vector<class_team> by_team;
        blocked_lanes blocked;
        /// What a search found for the room; a search that found nothing holds for the round.
        bool searched = false;
        std::optional<blocked_lanes::candidate> candidate;
    };

    [[nodiscard]] task_rank make_rank(task_index task) const;
    [[nodiscard]] const resources& first_demand(const lane& l) const {
        return m_tasks[l.tasks.begin()->task].request.demand;
    }
    lane_index lane_of(const lane_key& key);
    class_queue& queue_of(const lane& l) {
        return m_classes[static_cast<std::size_t>(l.key.priority)];
    }
    void add_ready(lane_index index);
    void remove_ready(lane_index index);
    void remove_blocked(lane_index index);
    /// Makes blocked lanes ready.
    void unblock(const std::vector<lane_index>& lanes);
    /// Drops the result of a search that may no longer be the first. That nothing fits holds for
    /// the whole round, because the room only shrinks.
    static void search_again(class_queue& queue);
    const std::optional<blocked_lanes::candidate>& find_candidate(class_queue& queue);
    /// Takes the lane out of the ready or the blocked ones.
    void take_out(lane_index index);
    void erase_lane(lane_index index);

    const task_table& m_tasks;
    const quota_ledger& m_quotas;
    resources m_fleet;
    std::array<class_queue, priority_class_count> m_classes;
    std::vector<lane> m_lanes;
    std::vector<lane_index> m_unused_lanes;
    std::unordered_map<lane_key, lane_index, lane_key_hash> m_lane_index;
    struct place_in_queue {
        lane_index lane = 0;
        task_rank rank;
    };
    /// By task_index.
    std::vector<place_in_queue> m_places;
    freed_room m_room;
    std::uint64_t m_round = 0;
    std::size_t m_size = 0;
};

} // namespace buckthornspar::placement
