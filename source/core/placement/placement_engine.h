#pragma once

#include "core/placement/placement_types.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::placement {

/// Decides which worker runs which task, for the workers of one shard. Performs no I/O and reads no
/// clock: its decisions depend only on the events and times passed in and on the seed.
///
/// Invariant: the resources that decide() allocates on a worker never exceed its capacity. Only
/// adopt_running() and a reduced capacity can make allocated() larger; such a worker gets no new
/// work.
class placement_engine {
public:
    /// Throws unknown_name_error when the scorer is not registered.
    explicit placement_engine(placement_settings settings);
    ~placement_engine();
    placement_engine(placement_engine&&) noexcept;
    placement_engine& operator=(placement_engine&&) noexcept;
    placement_engine(const placement_engine&) = delete;
    placement_engine& operator=(const placement_engine&) = delete;

    void upsert_worker(const worker_info& info);

    /// The worker gets no new work. The resources of its tasks stay allocated until each task is
    /// released, so that a worker that comes back is not overcommitted.
    void remove_worker(const std::string& id);

    /// Empty when the task can run once enough work has ended, or when no worker is known yet.
    /// task_count is the number of tasks that must run together (1 unless all_at_once).
    [[nodiscard]] std::optional<infeasibility> check_feasible(const task_request& request,
                                                              std::size_t task_count) const;

    /// Throws usage_error when the task is already known.
    void submit(task_request request);

    /// Submits the tasks of one all-at-once job. Throws usage_error when a task is already known,
    /// the list is empty or the tasks belong to different jobs.
    void submit_gang(std::vector<task_request> requests);

    /// Removes a task that is not yet assigned; returns true when it was removed. The other tasks
    /// of its all-at-once job stay.
    bool withdraw(const std::string& task);

    /// Assigns up to max_assignments tasks and allocates their resources. An all-at-once job is
    /// never split and counts as one assignment. Call it after events, and about every 100 ms while
    /// work waits, because planned starts and overdue reports depend on the time.
    [[nodiscard]] decisions decide(common::time_point now, std::size_t max_assignments);

    /// Records the start of a task; its expected end is computed from this time.
    void confirm_started(const std::string& task, common::time_point now);

    /// The task ended: releases its resources. An unknown task is ignored.
    void release(const std::string& task, common::time_point now);

    /// The start was refused before the task ran: releases its resources and queues the task again
    /// with its original age. An all-at-once job waits until each of its tasks was requeued or
    /// released, because its tasks start together.
    void requeue(const std::string& task);

    /// Recovery: the task was found running on this worker. A waiting task is removed from the
    /// queue. Throws usage_error when the worker is unknown.
    void adopt_running(const std::string& worker, const task_request& request,
                       common::time_point now);

    [[nodiscard]] wait_reason explain(const std::string& task) const;

    /// Empty when the job is not a waiting all-at-once job.
    [[nodiscard]] std::optional<gang_wait> explain_gang(const std::string& job) const;

    /// Applies to tasks that are placed from now on. Throws unknown_name_error when the scorer is
    /// not registered.
    void set_workload(workload_kind kind, const workload_settings& settings);

    void set_quota(const std::string& team, const resources& limit);
    void clear_quota(const std::string& team);
    /// The part of the team's quota that this shard may use. Work that exceeds the part waits; only
    /// work that exceeds the whole quota is infeasible.
    void set_quota_part(const std::string& team, const resources& part);
    /// Quota use and demand of each team with a quota that uses or waits for resources. Waiting
    /// amounts are up to date after decide().
    [[nodiscard]] std::vector<quota_demand> quota_demands() const;

    /// Resources allocated on the worker; zero for an unknown worker.
    [[nodiscard]] resources allocated(const std::string& worker) const;

    /// Unallocated capacity, summed over the workers that may get new tasks.
    [[nodiscard]] resources free_resources() const;

    /// Number of submitted tasks that are not assigned.
    [[nodiscard]] std::size_t waiting() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace buckthornspar::placement
