#pragma once

#include "core/placement/placement_engine.h"
#include "core/placement/pressure_control.h"
#include "core/placement/usage_model.h"
#include "core/scheduling/journal.h"
#include "core/scheduling/worker_fleet.h"
#include "core/scheduling/worker_health.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::scheduling {

struct task_runner_settings {
    /// Number of failures of one task after which its job fails; services are always restarted.
    unsigned max_failures = 5;
    std::size_t max_assignments = 512;
    /// Team quotas are shared with other shards: the part of this shard is zero until it is set.
    bool shared_quotas = false;
    /// A failure after a run of at least this length counts against neither worker nor job.
    common::duration healthy_run = std::chrono::seconds(10);
    worker_health_settings health;
};

/// The part of the operators' configuration that applies to a shard.
struct shard_policy {
    /// Maximum resources of the running tasks of a team; teams without an entry have no quota.
    std::map<std::string, placement::resources> quotas;
    /// Workers that are given no new tasks.
    std::set<std::string> excluded_workers;
    struct workload {
        placement::workload_settings placing;
        /// Number of failures of one task after which its job fails; task_runner_settings applies
        /// if its limit is lower.
        std::uint32_t max_failures = 0;
    };
    /// Kinds without an entry use the placement settings.
    std::map<placement::workload_kind, workload> workloads;
    std::uint32_t max_tasks_per_job = std::numeric_limits<std::uint32_t>::max();
    /// Maximum number of jobs of one team in one shard of which no task has started.
    std::size_t max_pending_jobs_per_team = std::numeric_limits<std::size_t>::max();
};

enum class task_phase {
    recovering,     ///< unknown whether an attempt of a previous owner is still running; also after
                    ///< the end of an adopted attempt, until the end of the recovery
    waiting,        ///< queued in the placement engine
    logging_intent, ///< the intent of a non-idempotent attempt is being logged
    reserving,      ///< all-at-once: waits for the response to the reservation
    reserved,       ///< all-at-once: waits for the reservations of the other tasks
    starting,       ///< the start is queued or sent
    running,        ///< the worker has accepted the start
    unwound,        ///< all-at-once: waits until the other tasks have ended, for a common restart
    ending,         ///< the end is being logged
};
[[nodiscard]] std::string_view to_string(task_phase phase);

struct task_run {
    task_phase phase = task_phase::waiting;
    std::string attempt;
    std::string reservation;
    std::string worker;
    common::time_point started_at;
    unsigned failures = 0;
    /// Whether any attempt may have started, or has started; kept across attempts.
    bool may_have_started = false;
    bool has_started = false;
    bool end_requested = false;
};

struct job_run {
    job_spec spec;
    std::vector<task_run> tasks;
    common::time_point accepted_at;
    /// The job was cancelled or has failed: no more tasks are started.
    bool stopping = false;
    /// All-at-once: the tasks are being stopped, to be started together again.
    bool unwinding = false;
    /// No task has started.
    bool pending = false;
    /// Accepted before the take-over: the former owner may start its tasks until the end of the
    /// recovery.
    bool taken_over = false;
};

/// Runs the jobs of a shard while this process owns it: placement, attempts, restarts, all-at-once
/// starts, cancellations and recovery after a take-over. Performs no I/O; it acts through the fleet
/// and the journal.
class task_runner {
public:
    task_runner(task_runner_settings settings, placement::placement_settings placement,
                worker_fleet& fleet, journal& log, common::counters& counters);

    /// Loads the jobs of the table. Tasks without a known attempt wait until every worker of the
    /// set is adopted or gone, or until the time set by set_recovery_bound().
    void begin(common::time_point now, std::uint64_t epoch);
    void end();
    /// Replaces the policy, which is kept across changes of ownership.
    void set_policy(common::time_point now, shard_policy policy);
    /// Sets the part of a team's quota that may be used in this shard. Reset when the ownership
    /// ends.
    void set_quota_part(const std::string& team, const placement::resources& part);
    [[nodiscard]] std::vector<placement::quota_demand> quota_demands() const {
        return m_placement->quota_demands();
    }
    void set_recovery_bound(common::time_point bound) { m_recovery_bound = bound; }
    [[nodiscard]] bool recovering() const { return m_recovering; }

    [[nodiscard]] const shard_policy& policy() const { return m_policy; }
    /// Jobs of the team of which no task has started.
    [[nodiscard]] std::size_t pending_jobs(const std::string& team) const;
    [[nodiscard]] std::optional<placement::infeasibility> check_feasible(const job_spec& job) const;
    /// Starts to run a job whose acceptance is in the log.
    void accept(common::time_point now, const job_spec& job);
    /// Has no effect on unknown and ended jobs.
    void cancel(common::time_point now, const std::string& job);

    void on_inventory(common::time_point now, const worker_adopted& completed);
    void on_operation(common::time_point now, const operation_completed& completed);
    void on_attempt(common::time_point now, const std::string& worker, const ended_attempt& ended);
    /// Records the measured usage, and throttles, checkpoints or stops batch tasks when the tasks
    /// use more than the capacity of the worker.
    void on_usage(common::time_point now, const std::string& worker,
                  const std::vector<usage_report>& usage);
    void on_lapsed(common::time_point now, const leases_lapsed& lapsed);
    void on_worker_changed(common::time_point now, const std::string& worker);
    /// Returns whether the tag belongs to an entry added by this object.
    bool on_written(common::time_point now, std::uint64_t tag);

    /// Handles timeouts, and places and starts tasks if may_start is set.
    void on_time(common::time_point now, bool may_start);
    [[nodiscard]] std::optional<common::time_point> next_wakeup(common::time_point now) const;

    [[nodiscard]] const job_run* find(const std::string& job) const;
    [[nodiscard]] placement::wait_reason wait_reason_of(const std::string& task) const;
    [[nodiscard]] std::size_t waiting() const { return m_placement->waiting(); }
    [[nodiscard]] placement::resources free_resources() const {
        return m_placement->free_resources();
    }

private:
    struct task_ref {
        job_run* job = nullptr;
        std::uint32_t index = 0;
        [[nodiscard]] task_run& run() const { return job->tasks[index]; }
        [[nodiscard]] std::string id() const { return task_id(job->spec.id, index); }
    };
    /// A log entry added by this object that is not yet written.
    struct pending_entry {
        enum class kind { intent, ended, job_ended } what = kind::ended;
        std::string task;
        std::string worker;
        std::string attempt;
    };

    // task_runner.cpp
    void reset_placement();
    void apply_quotas();
    [[nodiscard]] std::optional<task_ref> find_task(const std::string& task);
    /// Returns a copy of the ids, because ending one task may move others.
    [[nodiscard]] std::set<std::string> tasks_on(const std::string& worker) const;
    [[nodiscard]] placement::task_request request_of(const task_ref& ref) const;
    void submit(const task_ref& ref);
    void submit_gang(job_run& job);
    void place(common::time_point now);
    void apply_decisions(common::time_point now, const placement::decisions& decided);
    void check_deadlines(common::time_point now);
    void check_exclusions(common::time_point now);
    void stop_job(common::time_point now, job_run& job);
    void stop_task(common::time_point now, const task_ref& ref);
    void fail_job(common::time_point now, job_run& job, job_reason reason);
    void finish(common::time_point now, const task_ref& ref, attempt_outcome outcome);
    void request_end(const task_ref& ref, worker_op op);
    void refresh_worker(common::time_point now, const std::string& worker);
    void count_retry(std::string_view reason);

    // task_runner_policy.cpp
    void apply_workloads();
    [[nodiscard]] unsigned max_failures(placement::workload_kind kind) const;
    void set_pending(job_run& job, bool pending);
    void mark_started(const task_ref& ref);

    // task_runner_attempts.cpp
    [[nodiscard]] std::string new_attempt(const task_ref& ref);
    void assign(common::time_point now, const task_ref& ref, const std::string& worker);
    void log_intent(const task_ref& ref);
    void start(const task_ref& ref);
    void assign_worker(const task_ref& ref, const std::string& worker, std::string attempt);
    void clear_worker(const task_ref& ref);
    void on_intent_written(common::time_point now, const pending_entry& entry);
    void on_started(common::time_point now, const task_ref& ref);
    void on_not_started(common::time_point now, const task_ref& ref, std::string_view reason);
    void on_attempt_lost(common::time_point now, const task_ref& ref, std::string_view reason);
    void on_current_ended(common::time_point now, const task_ref& ref, const ended_attempt& ended);
    void on_other_ended(common::time_point now, const task_ref& ref, const std::string& worker,
                        const ended_attempt& ended);
    void on_failed(common::time_point now, const task_ref& ref, health_verdict verdict);
    [[nodiscard]] health_verdict assess_failure(common::time_point now, const task_ref& ref);
    void restart(common::time_point now, const task_ref& ref, std::string_view reason);
    void requeue(const task_ref& ref, std::string_view reason);

    // task_runner_usage.cpp
    void record_run_end(common::time_point now, const task_ref& ref, attempt_outcome outcome);
    void control_pressure(common::time_point now, const std::string& worker);
    [[nodiscard]] placement::running_task_usage to_pressured_task(common::time_point now,
                                                                  const task_ref& ref) const;

    // task_runner_gangs.cpp
    void assign_gang(common::time_point now, const placement::gang_assignment& gang);
    void on_reserved(const task_ref& ref);
    void on_reservation_failed(job_run& job);
    void unwind(common::time_point now, job_run& job, std::string_view reason);
    void finish_unwinding(common::time_point now, job_run& job);

    // task_runner_recovery.cpp
    void reconcile_held_task(common::time_point now, const std::string& worker,
                             const inventory_task& held);
    void adopt_attempt(common::time_point now, const task_ref& ref, const std::string& worker,
                       const inventory_task& held);
    void end_stray_attempt(const std::string& worker, const inventory_task& held);
    [[nodiscard]] bool all_takeover_workers_known();
    void check_recovery(common::time_point now);
    void complete_recovery(common::time_point now);
    void resolve_missing_attempt(common::time_point now, const task_ref& ref);
    [[nodiscard]] bool certainly_not_started(const task_ref& ref) const;
    /// The former owner may still run or start tasks of the job on workers that this owner has not
    /// adopted, so that no task may be started again.
    [[nodiscard]] bool awaits_recovery(const job_run& job) const {
        return m_recovering && job.taken_over;
    }

    task_runner_settings m_settings;
    placement::placement_settings m_placement_settings;
    worker_fleet& m_fleet;
    journal& m_journal;
    common::counters& m_counters;
    std::optional<placement::placement_engine> m_placement;
    worker_health m_health;
    placement::usage_model m_usage;
    placement::pressure_control m_pressure;
    shard_policy m_policy;
    std::map<std::string, placement::resources> m_quota_parts;
    std::map<std::string, job_run> m_jobs;
    std::map<std::string, std::size_t> m_pending_by_team;
    std::map<std::string, std::set<std::string>> m_on_worker;
    std::map<std::uint64_t, pending_entry> m_entries;
    std::multimap<common::time_point, std::string> m_deadlines;
    /// Workers excluded because of failures, with the ends of the exclusions.
    common::due_queue<std::string> m_excluded;
    std::set<std::string> m_takeover_workers;
    /// Worker of the set whose state was unknown at the last check; empty before the first check.
    std::string m_takeover_unknown_worker;
    bool m_recovering = false;
    std::optional<common::time_point> m_recovery_bound;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next_attempt = 1;
};

} // namespace buckthornspar::scheduling
