#include "core/scheduling/task_runner.h"

#include <algorithm>

namespace buckthornspar::scheduling {

void task_runner::begin(common::time_point now, std::uint64_t epoch) {
    end();
    m_epoch = epoch;
    m_next_attempt = 1;
    m_takeover_workers = m_journal.table().workers();
    m_recovering = true;
    for (const auto& [id, record] : m_journal.table().jobs()) {
        if (record.ended()) {
            continue;
        }
        job_run& job = m_jobs[id];
        job.spec = record.spec;
        job.accepted_at = now;
        job.taken_over = true;
        set_pending(job, true);
        job.stopping = record.reason != job_reason::none;
        job.tasks.resize(record.tasks.size());
        if (job.spec.deadline_ms > 0) {
            // The log does not hold the time of acceptance, so the deadline starts anew.
            m_deadlines.emplace(now + std::chrono::milliseconds(job.spec.deadline_ms), id);
        }
        for (std::size_t index = 0; index < record.tasks.size(); ++index) {
            task_run& run = job.tasks[index];
            run.phase = record.tasks[index].ended ? task_phase::ending : task_phase::recovering;
            // Attempts of idempotent tasks are not logged, so any of them may have started.
            run.may_have_started = record.spec.idempotent;
        }
    }
}

void task_runner::on_inventory(common::time_point now, const worker_adopted& adoption) {
    const worker_inventory& inventory = adoption.inventory;
    const std::string& worker = inventory.worker;
    refresh_worker(now, worker);
    for (const auto& held : inventory.tasks) {
        reconcile_held_task(now, worker, held);
    }
    for (const auto& ended : inventory.ended) {
        on_attempt(now, worker, ended);
    }
    for (const auto& task : tasks_on(worker)) {
        const auto ref = find_task(task);
        if (!ref || ref->run().phase != task_phase::running) {
            continue;
        }
        const bool held = std::any_of(
            inventory.tasks.begin(), inventory.tasks.end(),
            [&](const inventory_task& item) { return item.attempt == ref->run().attempt; });
        // A worker reports ended tasks until they are acknowledged; only a restart loses them.
        if (!held) {
            on_attempt_lost(now, *ref, adoption.restarted ? "worker_restarted" : "lost_by_worker");
        }
    }
}

void task_runner::reconcile_held_task(common::time_point now, const std::string& worker,
                                      const inventory_task& held) {
    const auto ref = find_task(held.task);
    if (!ref) {
        end_stray_attempt(worker, held);
        return;
    }
    task_run& run = ref->run();
    const bool current = run.attempt == held.attempt && run.worker == worker;
    if (held.state == inventory_task_state::running && run.phase == task_phase::recovering) {
        adopt_attempt(now, *ref, worker, held);
    } else if (held.state == inventory_task_state::running && current) {
        if (run.phase == task_phase::starting) {
            on_started(now, *ref);
        }
        if (ref->job->stopping || ref->job->unwinding) {
            // An earlier request may have been lost.
            run.end_requested = false;
            request_end(*ref, worker_op::cancel);
        }
    } else if (!current && run.reservation != held.attempt) {
        end_stray_attempt(worker, held);
    }
}

void task_runner::adopt_attempt(common::time_point now, const task_ref& ref,
                                const std::string& worker, const inventory_task& held) {
    task_run& run = ref.run();
    m_counters.get("attempts_adopted_total").add();
    assign_worker(ref, worker, held.attempt);
    run.phase = task_phase::running;
    mark_started(ref);
    run.started_at = now;
    m_placement->adopt_running(worker, request_of(ref), now);
    if (ref.job->stopping || ref.job->unwinding) {
        request_end(ref, worker_op::cancel);
    }
}

/// Ends an attempt that belongs to no current task, for example because its job has ended.
void task_runner::end_stray_attempt(const std::string& worker, const inventory_task& held) {
    m_counters.get("stray_attempts_total").add();
    const worker_op op =
        held.state == inventory_task_state::reserved ? worker_op::release : worker_op::cancel;
    m_fleet.queue(worker, {op, held.attempt, held.task, {}, {}, ""});
}

/// Starts the search at the worker that was unknown the last time, so that a take-over traverses
/// the set a few times in total instead of once per worker. The part before that worker is searched
/// last, because a gone worker becomes unknown again when it reappears in a worker list.
bool task_runner::all_takeover_workers_known() {
    const auto known = [&](const std::string& worker) {
        return m_fleet.seen(worker) || m_fleet.gone(worker);
    };
    const auto from = m_takeover_workers.lower_bound(m_takeover_unknown_worker);
    auto missing = std::find_if_not(from, m_takeover_workers.end(), known);
    if (missing == m_takeover_workers.end()) {
        missing = std::find_if_not(m_takeover_workers.begin(), from, known);
        if (missing == from) {
            return true;
        }
    }
    m_takeover_unknown_worker = *missing;
    return false;
}

void task_runner::check_recovery(common::time_point now) {
    if (!m_recovering || !m_recovery_bound) {
        return;
    }
    const bool all_known = all_takeover_workers_known();
    if (all_known || now >= *m_recovery_bound) {
        m_counters.get("takeover_waits_total", "reason", all_known ? "all_adopted" : "bound").add();
        complete_recovery(now);
    }
}

void task_runner::complete_recovery(common::time_point now) {
    m_recovering = false;
    for (auto& [id, job] : m_jobs) {
        const auto missing_count = static_cast<std::size_t>(
            std::count_if(job.tasks.begin(), job.tasks.end(),
                          [](const task_run& run) { return run.phase == task_phase::recovering; }));
        const bool gang = job.spec.kind == placement::workload_kind::all_at_once;
        const bool incomplete = missing_count > 0 && missing_count < job.tasks.size();
        if (gang && !job.stopping && (incomplete || job.unwinding)) {
            unwind(now, job, "gang_incomplete");
            continue;
        }
        if (missing_count == 0) {
            continue;
        }
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            if (job.tasks[index].phase == task_phase::recovering) {
                resolve_missing_attempt(now, {&job, index});
            }
        }
        const bool all_wait =
            std::all_of(job.tasks.begin(), job.tasks.end(),
                        [](const task_run& run) { return run.phase == task_phase::unwound; });
        if (gang && all_wait) {
            submit_gang(job);
        } else if (gang && !job.stopping) {
            fail_job(now, job, job_reason::gang_broken);
        }
    }
}

/// Whether no logged attempt of a non-idempotent task was executed. A worker that still has the
/// incarnation in the intent, reports neither the attempt nor its end, and rejects the previous
/// owner has never executed the start. The same holds for an intent of this owner whose start has
/// not been sent.
bool task_runner::certainly_not_started(const task_ref& ref) const {
    if (ref.run().phase == task_phase::logging_intent) {
        return true;
    }
    const auto& intent = m_journal.table().find(ref.job->spec.id)->tasks[ref.index].intent;
    return !intent || (m_fleet.seen(intent->worker) &&
                       m_fleet.incarnation(intent->worker) == intent->incarnation);
}

/// Ends or requeues a task of which no attempt is running.
void task_runner::resolve_missing_attempt(common::time_point now, const task_ref& ref) {
    job_run& job = *ref.job;
    if (!job.spec.idempotent && !certainly_not_started(ref)) {
        finish(now, ref, attempt_outcome::unknown);
        return;
    }
    if (job.stopping) {
        finish(now, ref, attempt_outcome::cancelled);
    } else if (job.spec.kind == placement::workload_kind::all_at_once) {
        ref.run().phase = task_phase::unwound;
    } else {
        count_retry("takeover");
        submit(ref);
    }
}

} // namespace buckthornspar::scheduling
