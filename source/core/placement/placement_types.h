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

/// Failure domain over which the tasks of a job are spread evenly.
enum class spread_rule {
    none,
    rack,
    place, ///< over places first, then over the racks of each
};
inline constexpr common::name_table<spread_rule, 3> spread_rule_names{"spread rule",
                                                                      {"none", "rack", "place"}};

/// Placement settings of one workload kind. All-at-once jobs are packed together by the engine and
/// use neither.
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
    /// Zero when unknown. Ignored for services, which have no expected end.
    common::duration expected_run{0};
    common::time_point submitted;
    std::optional<common::time_point> deadline;
    /// Jobs of one family are expected to have similar run times and resource use; see usage_model.
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

/// Resource use of a team with a quota, and the demand of its tasks that wait for the quota.
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
    /// All-at-once jobs whose wait exceeded the bound since the last call; each job is reported
    /// once.
    std::vector<std::string> overdue_gangs;

    [[nodiscard]] bool empty() const {
        return tasks.empty() && gangs.empty() && overdue_gangs.empty();
    }
};

enum class wait_reason {
    /// The task is unknown, assigned or running.
    none,
    /// Not tried yet, because earlier or more urgent work goes first.
    queued,
    no_capacity,
    quota_exceeded,
    /// The free capacity is reserved for an all-at-once job that has waited longer.
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
    /// Some worker offers each amount, but no worker offers all of them together.
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
    /// Human-readable detail, for example "needs 128 cores; the largest live worker has 64".
    std::string detail;
};

/// State of a waiting all-at-once job.
struct gang_wait {
    /// Set for the job that capacity is reserved for. An estimate: it assumes a run time for
    /// running tasks that declare none, and that tasks end as expected.
    std::optional<common::time_point> planned_start;
    common::time_point latest_start;
    bool overdue = false;
};

struct placement_settings {
    /// Scorer of the workload kinds for which set_workload() was not called.
    std::string scorer = "best_fit";
    std::uint64_t seed = 1;
    /// Percentage of starts given to lower classes while a higher class also has waiting work.
    unsigned lower_class_percent = 10;
    /// After this wait an all-at-once job is reported as overdue. After half of it, even more
    /// urgent work must not use its reserved capacity.
    common::duration gang_wait_bound = std::chrono::minutes(10);
    /// Minimum interval between recomputations of the planned start from new expected ends. For a
    /// start far ahead the interval is up to ten times as long.
    common::duration replan_interval = std::chrono::seconds(1);
    /// A single task that found no capacity for this long also gets a planned start.
    common::duration plan_single_after = std::chrono::seconds(60);
    /// Maximum number of tasks of a service in one rack; 0 for no limit.
    std::size_t max_service_tasks_per_rack = 0;
};

} // namespace buckthornspar::placement
