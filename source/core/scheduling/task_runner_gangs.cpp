#include "core/scheduling/task_runner.h"

#include <algorithm>

namespace buckthornspar::scheduling {

namespace {

bool is_live(const task_run& run) {
    return run.phase == task_phase::starting || run.phase == task_phase::running;
}

} // namespace

/// Queues the reservations in ascending order of worker id. The planner is the only component that
/// reserves on the shard's workers, so the reservations need not wait for each other.
void task_runner::assign_gang(common::time_point now, const placement::gang_assignment& gang) {
    const auto position = m_jobs.find(gang.job);
    if (position == m_jobs.end()) {
        return;
    }
    job_run& job = position->second;
    bool reachable = true;
    for (const auto& item : gang.tasks) {
        const auto ref = find_task(item.task);
        if (!ref) {
            continue;
        }
        assign_worker(*ref, item.worker, new_attempt(*ref));
        ref->run().phase = task_phase::reserving;
        reachable = reachable && m_fleet.adopted(item.worker);
    }
    if (!reachable) {
        count_retry("worker_unreachable");
        on_reservation_failed(job);
        return;
    }
    for (const auto& item : gang.tasks) {
        const auto ref = find_task(item.task);
        if (ref) {
            m_fleet.queue(
                item.worker,
                {worker_op::reserve, ref->run().attempt, item.task, job.spec.demand, {}, ""});
        }
    }
    (void)now;
}

void task_runner::on_reserved(const task_ref& ref) {
    ref.run().phase = task_phase::reserved;
    job_run& job = *ref.job;
    const bool waits = std::any_of(job.tasks.begin(), job.tasks.end(), [](const task_run& run) {
        return run.phase != task_phase::reserved && run.phase != task_phase::ending;
    });
    if (waits) {
        return;
    }
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const task_ref member{&job, index};
        task_run& run = member.run();
        if (run.phase != task_phase::reserved) {
            continue;
        }
        run.reservation = run.attempt;
        run.attempt = new_attempt(member);
        if (job.spec.idempotent) {
            start(member);
        } else {
            log_intent(member);
        }
    }
}

/// One refused reservation releases all of them; the tasks return to the placement queue.
void task_runner::on_reservation_failed(job_run& job) {
    m_counters.get("gang_reservations_released_total").add();
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const task_ref member{&job, index};
        task_run& run = member.run();
        if (run.phase != task_phase::reserving && run.phase != task_phase::reserved) {
            continue;
        }
        if (!m_fleet.remove_queued(run.worker, run.attempt)) {
            m_fleet.queue(run.worker, {worker_op::release, run.attempt, member.id(), {}, {}, ""});
        }
        clear_worker(member);
        run.phase = task_phase::waiting;
        m_placement->requeue(member.id());
    }
}

/// Stops the tasks of an all-at-once job after one of them has ended or could not start.
void task_runner::unwind(common::time_point now, job_run& job, std::string_view reason) {
    count_retry(reason);
    job.unwinding = true;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const task_ref member{&job, index};
        task_run& run = member.run();
        if (is_live(run)) {
            if (run.phase == task_phase::starting &&
                m_fleet.remove_queued(run.worker, run.attempt)) {
                clear_worker(member);
                run.phase = task_phase::unwound;
            } else {
                request_end(member, worker_op::cancel);
            }
        } else if (run.phase == task_phase::logging_intent ||
                   (run.phase == task_phase::recovering && !awaits_recovery(job))) {
            // Not sent, or certainly not running.
            run.may_have_started = run.may_have_started || !certainly_not_started(member);
            clear_worker(member);
            run.phase = task_phase::unwound;
        }
    }
    finish_unwinding(now, job);
}

void task_runner::finish_unwinding(common::time_point now, job_run& job) {
    if (!job.unwinding || job.stopping || awaits_recovery(job) ||
        std::any_of(job.tasks.begin(), job.tasks.end(), is_live)) {
        return;
    }
    job.unwinding = false;
    const bool started = std::any_of(job.tasks.begin(), job.tasks.end(),
                                     [](const task_run& run) { return run.may_have_started; });
    const bool ended = std::any_of(job.tasks.begin(), job.tasks.end(), [](const task_run& run) {
        return run.phase == task_phase::ending;
    });
    if (ended || (started && !job.spec.idempotent)) {
        fail_job(now, job, job_reason::gang_broken);
        return;
    }
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        m_placement->release(task_id(job.spec.id, index), now);
    }
    submit_gang(job);
}

} // namespace buckthornspar::scheduling
