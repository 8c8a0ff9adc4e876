#pragma once

#include "core/common/clock.h"
#include "core/common/number_set.h"
#include "core/dispatch/task_table.h"
#include "core/dispatch/worker_registry.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::dispatch {

struct ticket_state {
    worker_slot worker = 0;
    std::string ticket;
    common::time_point expires;
};

/// Responses of the advice service for a step. The set of workers that it grants does not change.
struct step_tickets {
    std::vector<ticket_state> granted;
    /// Workers that have been named in a request, by slot.
    std::vector<bool> asked;
    /// Workers named by the calls that are still unanswered, by call id.
    std::map<std::uint64_t, std::vector<worker_slot>> calls;
    common::time_point not_before;
    /// Last attempt to renew the tickets of a broken gang.
    common::time_point renewal_tried_at;

    [[nodiscard]] bool was_asked(worker_slot worker) const {
        return worker < asked.size() && asked[worker];
    }
    void mark_asked(worker_slot worker);
    void add_grant(worker_slot worker, std::string ticket, common::time_point expires);
    [[nodiscard]] ticket_state* find(worker_slot worker);
};

struct step_state {
    task_table tasks;
    std::uint32_t succeeded = 0;
    /// Tasks that are running or may be running.
    std::uint32_t placed = 0;
    /// Run number that the members of a gang share; 0 while no member is placed.
    std::uint32_t gang_run = 0;
    /// Last run of the gang that has been counted as failed.
    std::uint32_t failed_gang_run = 0;
    common::time_point gang_since;
    /// All members that are placed have been stopped.
    bool gang_stopped = false;
    /// Runs in which members gave up waiting for the others, the last of them, and the time before
    /// which the gang is not launched again.
    unsigned late_runs = 0;
    std::uint32_t last_late_run = 0;
    common::time_point launch_not_before;
    /// Members of the gang are placed that have not been started.
    bool launching = false;
    std::string gang_checkpoint;
    step_tickets tickets;
    /// When the step became ready, and the latest start that meets the job's objective. Set when
    /// the step becomes ready.
    std::optional<common::time_point> ready_since;
    common::time_point latest_start;
    /// Suspected tasks that are not part of a gang are started one at a time, at this time the next
    /// one, until a worker has survived one of them.
    common::time_point probe_until;
    bool probe_passed = false;

    /// Whether the task is waiting and may start now. A suspected task also waits for the outcome
    /// of earlier starts, with the number of crashes after which a task may be given up.
    [[nodiscard]] bool may_start(const step_spec& spec, std::uint32_t index, common::time_point now,
                                 std::uint32_t crash_limit) const;
    [[nodiscard]] bool complete() const { return succeeded == tasks.size(); }
    [[nodiscard]] bool any_current() const { return placed > 0 || launching; }
    [[nodiscard]] bool any_waiting() const { return succeeded + placed < tasks.size(); }
    void set_current(std::uint32_t index, run_location place);
    void clear_current(std::uint32_t index);
    void set_succeeded(std::uint32_t index);
    /// The same for tasks that have no state of their own yet.
    void set_succeeded(std::uint32_t first, std::uint32_t last);
    [[nodiscard]] std::uint32_t failures() const;
    /// Number of the last run of any task.
    [[nodiscard]] std::uint32_t last_run() const;
};

struct occurrence_state {
    std::vector<step_state> steps;

    [[nodiscard]] bool complete() const;
    [[nodiscard]] bool any_current() const;
    [[nodiscard]] bool ready(const job_spec& spec, std::uint32_t step) const;
};

/// A job that has not ended, with the known state of each task.
struct job_entry {
    job_spec spec;
    /// Account of the customer at the owner.
    customers::customer_index customer = customers::no_customer;
    /// Store revision of the acceptance.
    std::uint64_t revision = 0;
    common::time_point first_seen_at;
    job_state state = job_state::queued;
    bool cancel_stored = false;
    /// The occurrences in progress, by number: those that the dispatcher has opened, because they
    /// are due, or that have runs, and that have not finished.
    std::map<std::uint32_t, occurrence_state> occurrences;
    /// Occurrences of which all tasks have succeeded.
    common::number_set finished;
    /// Runs of every task up to this number may have existed although no worker reported them.
    std::uint32_t possible_runs = 0;
    /// Tasks with a state of their own, and those that have ended since the steps were placed in
    /// order last. Each may need a row in the record of the progress.
    std::size_t open_tasks = 0;
    /// By step, see critical_path_ms().
    std::vector<std::int64_t> critical_paths_ms;

    [[nodiscard]] job_progress progress() const;
    [[nodiscard]] bool complete() const { return finished.size() == spec.occurrence_count(); }
    /// The first occurrence that is neither open nor finished; absent when there is none.
    [[nodiscard]] std::optional<std::uint32_t> next_occurrence();
    /// The state of the occurrence, which must not have finished.
    occurrence_state& open(std::uint32_t number);
    /// Releases the state of the occurrence if all its tasks have succeeded. Pointers to its steps
    /// are invalid then.
    void close_if_complete(std::uint32_t number);

    /// Null when the job has no such task. The state is valid until it changes.
    [[nodiscard]] const task_state* find(const task_key& task) const;
    /// The task's own state, for changes; the task must exist and not have succeeded. Opens its
    /// occurrence.
    [[nodiscard]] task_state& edit(const task_key& task);
    /// Null when the occurrence of the task is not open.
    [[nodiscard]] step_state* find_step(const task_key& task);
    [[nodiscard]] const step_spec& spec_of(const task_key& task) const {
        return spec.steps[task.step];
    }
    /// Estimated duration of the critical path through the given step and later ones, in
    /// milliseconds.
    [[nodiscard]] std::int64_t critical_path_ms(std::uint32_t from) const {
        return critical_paths_ms[from];
    }
    /// The payload for start orders, which share one copy while any of them is under way.
    [[nodiscard]] std::shared_ptr<const std::string> share_payload();

private:
    /// All occurrences before it are open or finished.
    std::uint32_t m_first_unopened = 0;
    std::weak_ptr<const std::string> m_payload;
};

/// Builds the entry of an accepted job; progress is empty for a new one. Throws
/// common::format_error for a job whose steps cannot be executed.
[[nodiscard]] job_entry make_job(const job_spec& spec, const job_progress& progress,
                                 std::uint64_t revision, common::time_point now);

/// Checks a submission. Throws common::format_error for a job that cannot be executed, or that no
/// node could hold. Jobs that are already stored may exceed its limits.
void check_submission(const job_spec& spec);

/// Memory in bytes that an accepted job without runs takes at the owner; its schedule does not
/// count.
[[nodiscard]] std::int64_t memory_of(const job_spec& spec);

} // namespace buckthornspar::dispatch
