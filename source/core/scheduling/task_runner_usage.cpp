#include "core/scheduling/task_runner.h"

namespace buckthornspar::scheduling {

namespace {

using placement::pressure_step;

worker_op operation_of(pressure_step step) {
    switch (step) {
    case pressure_step::none:
        return worker_op::resume;
    case pressure_step::throttle:
        return worker_op::throttle;
    case pressure_step::checkpoint:
        return worker_op::checkpoint;
    case pressure_step::stop:
        return worker_op::stop;
    }
    return worker_op::resume;
}

} // namespace

void task_runner::on_usage(common::time_point now, const std::string& worker,
                           const std::vector<usage_report>& usage) {
    for (const auto& item : usage) {
        const auto ref = find_task(item.task);
        if (!ref || ref->run().attempt != item.attempt) {
            continue;
        }
        const auto measured = now - std::chrono::milliseconds(item.age_ms);
        m_usage.report({item.task, ref->job->spec.family, item.used, measured});
    }
    control_pressure(now, worker);
}

void task_runner::record_run_end(common::time_point now, const task_ref& ref,
                                 attempt_outcome outcome) {
    if (outcome == attempt_outcome::succeeded) {
        m_usage.task_ended(ref.id(), ref.job->spec.family, now - ref.run().started_at);
    } else {
        m_usage.task_ended_early(ref.id());
    }
}

void task_runner::control_pressure(common::time_point now, const std::string& worker) {
    const auto info = m_fleet.info(worker);
    const auto position = m_on_worker.find(worker);
    if (!info || position == m_on_worker.end()) {
        m_pressure.forget_worker(worker);
        return;
    }
    std::vector<placement::running_task_usage> tasks;
    for (const auto& task : position->second) {
        const auto ref = find_task(task);
        if (ref && ref->run().phase == task_phase::running) {
            tasks.push_back(to_pressured_task(now, *ref));
        }
    }
    for (const auto& action : m_pressure.decide(worker, info->capacity, tasks, now)) {
        const auto ref = find_task(action.task);
        if (!ref || ref->run().phase != task_phase::running) {
            continue;
        }
        m_counters
            .get("pressure_actions_total", "step", placement::pressure_step_names.name(action.step))
            .add();
        m_fleet.queue(worker,
                      {operation_of(action.step), ref->run().attempt, action.task, {}, {}, ""});
    }
}

placement::running_task_usage task_runner::to_pressured_task(common::time_point now,
                                                             const task_ref& ref) const {
    const job_spec& spec = ref.job->spec;
    placement::running_task_usage task;
    task.task = ref.id();
    // A non-idempotent task cannot be started again; as a service it is never stopped.
    task.kind = spec.idempotent ? spec.kind : placement::workload_kind::service;
    task.priority = spec.priority;
    task.demand = spec.demand;
    task.used = m_usage.expected_use(spec.family, spec.demand);
    task.measured = now;
    if (const auto latest = m_usage.latest(task.task)) {
        task.used = latest->used;
        task.measured = latest->measured;
    }
    return task;
}

} // namespace buckthornspar::scheduling
