#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::placement {

enum class workload_kind { service, batch, all_at_once };
inline constexpr common::name_table<workload_kind, 3> workload_kind_names{
    "workload kind", {"service", "batch", "all_at_once"}};

/// Over what the tasks of a job are spread evenly.
enum class spread_rule {
    none,
    rack,
    place, ///< over places first, then over the racks of each
};
inline constexpr common::name_table<spread_rule, 3> spread_rule_names{"spread rule",
                                                                      {"none", "rack", "place"}};

/// How the tasks of one workload kind are placed. All-at-once jobs are packed together by the
/// engine and use neither.
struct workload_settings {
    std::string scorer;
    spread_rule spread = spread_rule::none;

    bool operator==(const workload_settings&) const = default;
};

/// In order of precedence.
enum class priority_class { urgent, normal, bulk };
inline constexpr common::name_table<priority_class, 3> priority_class_names{
    "priority class", {"urgent", "normal", "bulk"}};
inline constexpr std::size_t priority_class_count = priority_class_names.size();

/// Only an available worker gets new work.
enum class worker_state { available, leaving, quarantined, unreachable };
inline constexpr common::name_table<worker_state, 4> worker_state_names{
    "worker state", {"available", "leaving", "quarantined", "unreachable"}};

struct worker_info {
    std::string id;
    std::string region;
    std::string place;
    std::string rack;
    resources capacity;
    worker_state state = worker_state::available;
};

struct task_request {
    std::string task;
    std::string job;
    std::string team;
    workload_kind kind = workload_kind::batch;
    priority_class priority = priority_class::normal;
    resources demand;
    /// Zero when nothing is known; a service has no expected end whatever is given here.
    common::duration expected_run{0};
    common::time_point submitted;
    std::optional<common::time_point> deadline;
    /// Jobs of one family are expected to behave alike; see usage_model.
    std::string family;
};

struct assignment {
    std::string task;
    std::string worker;

    bool operator==(const assignment&) const = default;
};

/// All tasks of an all-at-once job, in ascending order of worker id.
struct gang_assignment {
    std::string job;
    std::vector<assignment> tasks;
};

/// What a team with a quota uses, and what its tasks need that wait for the quota.
struct quota_demand {
    std::string team;
    resources used;
    resources waiting;
    /// The smallest amount with which a waiting task or all-at-once job can start.
    resources next;
};

struct decisions {
    std::vector<assignment> tasks;
    std::vector<gang_assignment> gangs;
    /// All-at-once jobs whose wait exceeded the bound since the last call; each is named once.
    std::vector<std::string> overdue_gangs;

    [[nodiscard]] bool empty() const {
        return tasks.empty() && gangs.empty() && overdue_gangs.empty();
    }
};

enum class wait_reason {
    /// The task is unknown, assigned or running.
    none,
    /// Not yet tried: earlier or more urgent work goes first.
    queued,
    no_capacity,
    quota_exceeded,
    /// The free capacity is kept for an all-at-once job that waits longer.
    gang_reserved,
    no_workers,
    spread_constraint,
    /// The all-at-once job waits until all of its tasks fit together.
    gang_incomplete
};
inline constexpr common::name_table<wait_reason, 8> wait_reason_names{
    "wait reason",
    {"none", "queued", "no_capacity", "quota_exceeded", "gang_reserved", "no_workers",
     "spread_constraint", "gang_incomplete"}};

enum class infeasible_reason {
    invalid_demand,
    processors,
    memory,
    accelerators,
    /// Each amount is offered by some worker, but no worker offers all of them.
    combination,
    /// The tasks of an all-at-once job do not fit together even on an empty fleet.
    gang_size,
    /// The task, or all tasks of an all-at-once job together, exceed the team's quota.
    quota
};
inline constexpr common::name_table<infeasible_reason, 7> infeasible_reason_names{
    "infeasible reason",
    {"invalid_demand", "processors", "memory", "accelerators", "combination", "gang_size",
     "quota"}};

struct infeasibility {
    infeasible_reason reason = infeasible_reason::invalid_demand;
    /// For people, for example "needs 128 cores; the largest live worker has 64".
    std::string detail;
};

/// State of a waiting all-at-once job.
struct gang_wait {
    /// Set for the job that capacity is kept for, when all expected ends are known.
    std::optional<common::time_point> planned_start;
    common::time_point latest_start;
    bool overdue = false;
};

struct placement_settings {
    /// For the kinds for which set_workload() was not called.
    std::string scorer = "best_fit";
    std::uint64_t seed = 1;
    /// Share of the starts that lower classes get while a higher class waits as well.
    unsigned lower_class_percent = 10;
    /// After this wait an all-at-once job is reported, and even more urgent work must leave its
    /// share free.
    common::duration gang_wait_bound = std::chrono::minutes(10);
    /// Shortest interval at which the planned start is computed again from new expected ends; for a
    /// start far ahead it is up to ten times as long.
    common::duration replan_interval = std::chrono::seconds(1);
    /// A single task that found no capacity for this long is given a planned start as well.
    common::duration plan_single_after = std::chrono::seconds(60);
    /// Most tasks of a service in one rack; 0 for no limit.
    std::size_t max_service_tasks_per_rack = 0;
};

} // namespace buckthornspar::placement
