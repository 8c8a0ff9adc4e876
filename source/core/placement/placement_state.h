#pragma once

#include "core/placement/capacity_plan.h"
#include "core/placement/gang_table.h"
#include "core/placement/placement_engine.h"
#include "core/placement/scorer_set.h"
#include "core/placement/task_queue.h"
#include "core/placement/workload_policy.h"

#include <array>

namespace buckthornspar::placement {

/// Implementation of placement_engine. Events update the tables at once; the opportunities that
/// they create for blocked work are collected in m_changes and used by the next decide().
class placement_engine::state {
public:
    explicit state(placement_settings settings);

    void upsert_worker(const worker_info& info);
    void remove_worker(const std::string& id);
    void submit(task_request request);
    void submit_gang(std::vector<task_request> requests);
    bool withdraw(const std::string& task);
    decisions decide(common::time_point now, std::size_t max_assignments);
    void confirm_started(const std::string& task, common::time_point now);
    void release(const std::string& task);
    void requeue(const std::string& task);
    void adopt_running(const std::string& worker, const task_request& request,
                       common::time_point now);
    void set_workload(workload_kind kind, const workload_settings& settings);
    void set_quota(const std::string& team, const std::optional<resources>& limit);
    void set_quota_part(const std::string& team, const resources& part);
    [[nodiscard]] std::vector<quota_demand> quota_demands() const;

    [[nodiscard]] wait_reason explain(const std::string& task) const;
    [[nodiscard]] std::optional<gang_wait> explain_gang(const std::string& job) const;
    [[nodiscard]] std::optional<infeasibility> check_feasible(const task_request& request,
                                                              std::size_t task_count) const;
    [[nodiscard]] resources allocated(const std::string& worker) const;
    [[nodiscard]] resources free_resources() const { return m_workers.usable_free(); }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size() + m_waiting_in_gangs; }

private:
    /// Maximum number of all-at-once jobs considered in one decision, oldest first.
    static constexpr std::size_t max_gangs_considered = 64;

    using class_flags = std::array<bool, priority_class_count>;

    // Events.
    void quota_changed(team_index team);
    [[nodiscard]] workload_policy& policy(workload_kind kind) const {
        return *m_policies[static_cast<std::size_t>(kind)];
    }
    // enqueue, dequeue and release_allocation keep the gang_table entry of an all-at-once task;
    // erase_task erases the task and, with its last task, the job.
    void enqueue(task_index task);
    void dequeue(task_index task);
    void record_allocation(task_index task, worker_index worker, common::time_point now);
    void allocate(task_index task, worker_index worker, common::time_point now);
    void release_allocation(task_index task);
    void erase_task(task_index task);
    void drop_plan();
    void record_freed_worker(worker_index worker);
    [[nodiscard]] common::time_point expected_end(const task_request& request,
                                                  common::time_point now) const;

    // Decisions.
    void apply_fleet_change();
    /// Sorts m_freed_workers and removes duplicates and workers that are not usable.
    void normalize_freed_workers();
    [[nodiscard]] freed_capacity capacity_of_freed_workers() const;
    void update_freed_capacity(worker_index worker);
    void record_failed_demand(const resources& demand);
    void apply_changes();
    [[nodiscard]] std::optional<priority_class> next_class(const class_flags& gangs_untried);
    void update_credits(priority_class served, const class_flags& gangs_untried);
    [[nodiscard]] class_flags untried_gangs();
    [[nodiscard]] bool has_work(std::size_t c, const class_flags& gangs_untried);
    bool assign_front(priority_class c, decisions& result);
    placement_choice choose_worker(task_index task);
    [[nodiscard]] bool bound_by_plan(task_index task) const;
    [[nodiscard]] bool ends_before_plan(const task_request& request) const;
    [[nodiscard]] bool fits_no_worker(const resources& demand) const;

    // All-at-once jobs.
    std::size_t start_gangs(priority_class c, std::size_t limit, decisions& result);
    bool start_gang(gang_index gang, decisions& result);
    [[nodiscard]] std::vector<resources> demands_of(gang_index gang) const;
    [[nodiscard]] worker_availability availability_for(gang_index gang) const;
    void update_plan_after_start(task_index task);
    [[nodiscard]] worker_availability availability_of_all() const;
    [[nodiscard]] wait_reason gang_wait_reason(gang_index gang) const;
    [[nodiscard]] resources total_demand(gang_index gang) const;
    [[nodiscard]] bool quota_allows(gang_index gang) const;
    void report_overdue(decisions& result);
    void refresh_plan();
    [[nodiscard]] common::duration replan_delay() const;
    bool plan_oldest_gang(const std::vector<gang_index>& gangs);
    bool plan_gang(gang_index gang);
    bool plan_single(task_index task);
    [[nodiscard]] std::optional<gang_plan> plan_for(const std::vector<resources>& demands) const;
    [[nodiscard]] bool past_strict_threshold(common::time_point submitted) const;
    [[nodiscard]] std::vector<expected_release> expected_releases() const;

    placement_settings m_settings;
    worker_table m_workers;
    task_table m_tasks;
    quota_ledger m_quotas;
    task_queue m_queue;
    gang_table m_gangs;
    scorer_set m_scorers;
    std::array<std::unique_ptr<workload_policy>, workload_kind_names.size()> m_policies;
    std::size_t m_waiting_in_gangs = 0;

    queue_changes m_changes;
    /// Workers whose free capacity has grown since the blocked work was last tried.
    std::vector<worker_index> m_freed_workers;
    bool m_fleet_changed = false;
    /// All-at-once jobs are tried again at the next decision after m_gangs_changed, and at
    /// intervals after m_capacity_freed, which is set far more often.
    bool m_gangs_changed = false;
    bool m_capacity_freed = false;
    common::time_point m_now;
    capacity_plan m_plan;
    /// When the plan is recomputed. It is also discarded when its job is removed or changed, and
    /// when one of its workers becomes unusable.
    common::time_point m_next_plan;
    common::time_point m_next_gang_attempt;
    /// Credit of each class. A class whose credit has reached 100 - lower_class_percent may start
    /// work ahead of a higher class.
    std::array<unsigned, priority_class_count> m_credit{};
    /// Demands that no worker can take. No entry fits into another one.
    std::vector<resources> m_failed_demands;
};

} // namespace buckthornspar::placement
