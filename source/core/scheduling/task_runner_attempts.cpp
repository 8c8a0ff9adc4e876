#include "core/scheduling/task_runner.h"

#include <utility>

namespace buckthornspar::scheduling {

namespace {

bool is_gang(const job_run& job) {
    return job.spec.kind == placement::workload_kind::all_at_once;
}

} // namespace

// Starts.

std::string task_runner::new_attempt(const task_ref& ref) {
    return ref.id() + "@" + std::to_string(m_epoch) + "." + std::to_string(m_next_attempt++);
}

void task_runner::assign_worker(const task_ref& ref, const std::string& worker,
                                std::string attempt) {
    task_run& run = ref.run();
    run.worker = worker;
    run.attempt = std::move(attempt);
    run.end_requested = false;
    m_on_worker[worker].insert(ref.id());
}

void task_runner::clear_worker(const task_ref& ref) {
    task_run& run = ref.run();
    const auto position = m_on_worker.find(run.worker);
    if (position != m_on_worker.end()) {
        position->second.erase(ref.id());
    }
    run.worker.clear();
    run.attempt.clear();
    run.reservation.clear();
    run.end_requested = false;
}

void task_runner::assign(common::time_point now, const task_ref& ref, const std::string& worker) {
    if (ref.run().phase != task_phase::waiting) {
        return;
    }
    if (!m_fleet.adopted(worker)) {
        assign_worker(ref, worker, new_attempt(ref));
        on_not_started(now, ref, "worker_unreachable");
        return;
    }
    assign_worker(ref, worker, new_attempt(ref));
    if (ref.job->spec.idempotent) {
        start(ref);
    } else {
        log_intent(ref);
    }
}

void task_runner::log_intent(const task_ref& ref) {
    task_run& run = ref.run();
    run.phase = task_phase::logging_intent;
    const std::uint64_t tag = m_journal.add(attempt_intent_entry{
        ref.job->spec.id, ref.index, run.attempt, run.worker, m_fleet.incarnation(run.worker)});
    m_entries[tag] = {pending_entry::kind::intent, ref.id(), run.worker, run.attempt};
}

void task_runner::on_intent_written(common::time_point now, const pending_entry& entry) {
    const auto ref = find_task(entry.task);
    if (!ref || ref->run().phase != task_phase::logging_intent ||
        ref->run().attempt != entry.attempt) {
        return;
    }
    // The next owner uses the incarnation in the intent to tell "never started" from "lost".
    const auto& intent = m_journal.table().find(ref->job->spec.id)->tasks[ref->index].intent;
    const bool same = intent && intent->incarnation == m_fleet.incarnation(entry.worker);
    if (!same || !m_fleet.adopted(entry.worker) || m_fleet.leaving(entry.worker)) {
        on_not_started(now, *ref, "worker_unreachable");
        return;
    }
    start(*ref);
}

void task_runner::start(const task_ref& ref) {
    task_run& run = ref.run();
    run.phase = task_phase::starting;
    const job_spec& spec = ref.job->spec;
    m_fleet.queue(run.worker, {worker_op::start, run.attempt, ref.id(), spec.demand,
                               task_payload{spec.run_ms, spec.fail}, run.reservation});
}

// Results of operations.

void task_runner::on_operation(common::time_point now, const operation_completed& completed) {
    const worker_operation& operation = completed.operation;
    const auto ref = find_task(operation.task);
    if (!ref || ref->run().attempt != operation.attempt) {
        return;
    }
    task_run& run = ref->run();
    if (operation.op == worker_op::reserve && run.phase == task_phase::reserving) {
        if (completed.completion == operation_completion::accepted) {
            on_reserved(*ref);
        } else {
            count_retry(to_string(completed.reason));
            on_reservation_failed(*ref->job);
        }
        return;
    }
    if (operation.op != worker_op::start || run.phase != task_phase::starting) {
        return;
    }
    switch (completed.completion) {
    case operation_completion::accepted:
        on_started(now, *ref);
        return;
    case operation_completion::refused:
        m_counters.get("worker_refusals_total", "reason", to_string(completed.reason)).add();
        on_not_started(now, *ref, to_string(completed.reason));
        return;
    case operation_completion::not_executed:
        on_not_started(now, *ref, "not_executed");
        return;
    case operation_completion::lost_in_restart:
        on_attempt_lost(now, *ref, "worker_restarted");
        return;
    }
}

void task_runner::on_started(common::time_point now, const task_ref& ref) {
    task_run& run = ref.run();
    run.phase = task_phase::running;
    mark_started(ref);
    run.started_at = now;
    m_placement->confirm_started(ref.id(), now);
    m_counters.get("task_starts_total").add();
}

/// The current attempt has certainly not started and cannot start any more.
void task_runner::on_not_started(common::time_point now, const task_ref& ref,
                                 std::string_view reason) {
    job_run& job = *ref.job;
    if (job.stopping) {
        finish(now, ref, attempt_outcome::cancelled);
    } else if (job.unwinding) {
        clear_worker(ref);
        ref.run().phase = task_phase::unwound;
        finish_unwinding(now, job);
    } else if (is_gang(job)) {
        clear_worker(ref);
        ref.run().phase = task_phase::unwound;
        unwind(now, job, reason);
    } else {
        requeue(ref, reason);
    }
}

void task_runner::requeue(const task_ref& ref, std::string_view reason) {
    count_retry(reason);
    clear_worker(ref);
    ref.run().phase = task_phase::waiting;
    m_placement->requeue(ref.id());
}

/// The current attempt is certainly over; whether it ran and how it ended is unknown.
void task_runner::on_attempt_lost(common::time_point now, const task_ref& ref,
                                  std::string_view reason) {
    task_run& run = ref.run();
    run.may_have_started = true;
    if (!ref.job->spec.idempotent) {
        finish(now, ref, attempt_outcome::unknown);
    } else if (ref.job->stopping) {
        finish(now, ref, attempt_outcome::lapsed);
    } else {
        restart(now, ref, reason);
    }
}

/// The attempt has ended, and the task starts again from the beginning.
void task_runner::restart(common::time_point now, const task_ref& ref, std::string_view reason) {
    job_run& job = *ref.job;
    clear_worker(ref);
    if (is_gang(job)) {
        ref.run().phase = awaits_recovery(job) ? task_phase::recovering : task_phase::unwound;
        if (job.unwinding) {
            finish_unwinding(now, job);
        } else {
            unwind(now, job, reason);
        }
        return;
    }
    count_retry(reason);
    m_placement->release(ref.id(), now);
    submit(ref);
}

// Ended attempts.

void task_runner::on_attempt(common::time_point now, const std::string& worker,
                             const ended_attempt& ended) {
    const auto ref = find_task(ended.task);
    if (!ref) {
        m_fleet.acknowledge(worker, ended.attempt);
        return;
    }
    const task_run& run = ref->run();
    const bool live = run.phase == task_phase::starting || run.phase == task_phase::running;
    if (live && run.attempt == ended.attempt) {
        on_current_ended(now, *ref, ended);
        return;
    }
    on_other_ended(now, *ref, worker, ended);
}

void task_runner::on_current_ended(common::time_point now, const task_ref& ref,
                                   const ended_attempt& ended) {
    task_run& run = ref.run();
    job_run& job = *ref.job;
    if (!ended.started) {
        m_fleet.acknowledge(run.worker, run.attempt);
        on_not_started(now, ref, to_string(ended.outcome));
        return;
    }
    mark_started(ref);
    record_run_end(now, ref, ended.outcome);
    const bool service = job.spec.kind == placement::workload_kind::service;
    if (ended.outcome == attempt_outcome::succeeded) {
        m_health.record_success(run.worker, job.spec.id);
    }
    auto verdict = health_verdict::none;
    if (ended.outcome == attempt_outcome::failed) {
        verdict = assess_failure(now, ref);
    }
    const bool final_end = job.stopping ||
                           (ended.outcome == attempt_outcome::succeeded && !service) ||
                           !job.spec.idempotent;
    if (final_end) {
        finish(now, ref, ended.outcome);
        return;
    }
    m_fleet.acknowledge(run.worker, run.attempt);
    if (ended.outcome == attempt_outcome::failed) {
        on_failed(now, ref, verdict);
        return;
    }
    restart(now, ref, to_string(ended.outcome));
}

health_verdict task_runner::assess_failure(common::time_point now, const task_ref& ref) {
    const task_run& run = ref.run();
    if (now - run.started_at >= m_settings.healthy_run) {
        return health_verdict::none;
    }
    const auto verdict = m_health.record_failure(run.worker, ref.job->spec.id, now);
    if (verdict == health_verdict::quarantine_worker) {
        m_counters.get("workers_quarantined_total").add();
    }
    refresh_worker(now, run.worker);
    return verdict;
}

void task_runner::on_failed(common::time_point now, const task_ref& ref, health_verdict verdict) {
    task_run& run = ref.run();
    job_run& job = *ref.job;
    if (verdict == health_verdict::quarantine_worker) {
        restart(now, ref, "worker_quarantined");
        return;
    }
    ++run.failures;
    const bool exhausted = run.failures >= max_failures(job.spec.kind) &&
                           job.spec.kind != placement::workload_kind::service;
    const bool everywhere = verdict == health_verdict::job_fails_everywhere;
    if (everywhere || exhausted) {
        finish(now, ref, attempt_outcome::failed);
        fail_job(now, job,
                 everywhere ? job_reason::failed_everywhere : job_reason::attempts_exhausted);
        return;
    }
    restart(now, ref, "failed");
}

/// The attempt is not the current one: it was started by a previous owner or presumed lost.
void task_runner::on_other_ended(common::time_point now, const task_ref& ref,
                                 const std::string& worker, const ended_attempt& ended) {
    task_run& run = ref.run();
    if (run.phase != task_phase::recovering) {
        // The end of a task in phase ending is acknowledged once it is logged.
        const job_record* const record = m_journal.table().find(ref.job->spec.id);
        const bool logged = record != nullptr && record->tasks[ref.index].ended;
        if (run.phase != task_phase::ending || logged) {
            run.has_started = run.has_started || ended.started;
            m_fleet.acknowledge(worker, ended.attempt);
        }
        return;
    }
    run.has_started = run.has_started || ended.started;
    const bool counts = ended.outcome == attempt_outcome::succeeded || !ref.job->spec.idempotent;
    const bool service = ref.job->spec.kind == placement::workload_kind::service;
    if (ended.started && counts && !service) {
        assign_worker(ref, worker, ended.attempt);
        finish(now, ref, ended.outcome);
        return;
    }
    m_fleet.acknowledge(worker, ended.attempt);
}

/// A task that would be started again elsewhere stays with the worker until no successor can have
/// renewed its lease.
void task_runner::on_lapsed(common::time_point now, const leases_lapsed& lapsed) {
    const std::string& worker = lapsed.worker;
    for (const auto& task : tasks_on(worker)) {
        const auto ref = find_task(task);
        if (!ref) {
            continue;
        }
        task_run& run = ref->run();
        const bool certain = lapsed.confirmed || !ref->job->spec.idempotent || ref->job->stopping;
        if (run.phase == task_phase::running && certain) {
            on_attempt_lost(now, *ref, "lapsed");
        } else if (run.phase == task_phase::starting) {
            if (m_fleet.remove_queued(worker, run.attempt)) {
                on_not_started(now, *ref, "worker_unreachable");
            } else if (certain) {
                on_attempt_lost(now, *ref, "lapsed");
            }
        } else if (run.phase == task_phase::reserving || run.phase == task_phase::reserved) {
            count_retry("worker_unreachable");
            on_reservation_failed(*ref->job);
        }
    }
}

} // namespace buckthornspar::scheduling
