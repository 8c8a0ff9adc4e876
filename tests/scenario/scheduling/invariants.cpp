#include "scenario/scheduling/simulation.h"

#include <algorithm>

namespace buckthornspar::scenario {

using namespace scheduling;

namespace {

constexpr common::duration leaving_limit = std::chrono::seconds(3);

} // namespace

void simulation::check_workers() {
    if (!m_workers_changed) {
        return;
    }
    m_workers_changed = false;
    bool started = false;
    for (auto& [id, w] : workers) {
        if (!w.model.committed().fits(w.true_capacity)) {
            throw violation("worker " + id + " is overcommitted");
        }
        if (w.epoch_incarnation != w.model.incarnation()) {
            w.epoch_incarnation = w.model.incarnation();
            w.highest_epoch = 0;
        }
        if (w.model.accepted_epoch() < w.highest_epoch) {
            throw violation("worker " + id + " went back to a lower epoch");
        }
        w.highest_epoch = w.model.accepted_epoch();
        started = started || w.model.starts().size() > w.starts_checked;
        check_starts(id, w);
    }
    if (started) {
        check_single_execution();
    }
}

void simulation::check_starts(const std::string& id, simulated_worker& w) {
    for (; w.starts_checked < w.model.starts().size(); ++w.starts_checked) {
        const std::string& task = w.model.starts()[w.starts_checked];
        trace(id, "starts " + task);
        if (++m_starts[task] > 1 && !is_idempotent(task)) {
            throw violation("non-idempotent task " + task + " was started twice");
        }
        if (w.leaving_since && now() > *w.leaving_since + leaving_limit) {
            std::string problem = task;
            problem.append(" was started on leaving worker ").append(id);
            throw violation(problem);
        }
    }
}

void simulation::check_single_execution() {
    std::map<std::string, std::string> places;
    for (auto& [id, w] : workers) {
        w.model.advance(worker_now(w));
        for (const auto& task : w.model.running_tasks()) {
            const auto [position, inserted] = places.emplace(task, id);
            if (!inserted) {
                std::string problem = task;
                problem.append(" runs on ").append(position->second).append(" and ").append(id);
                throw violation(problem);
            }
        }
    }
}

void simulation::check_epochs() {
    for (auto& [id, s] : schedulers) {
        if (s.engine && s.engine->epoch() < s.highest_epoch) {
            // A new process starts with epoch 0.
            if (s.engine->epoch() != 0) {
                throw violation("scheduler " + id + " went back to a lower epoch");
            }
            continue;
        }
        if (s.engine) {
            s.highest_epoch = s.engine->epoch();
        }
    }
}

bool simulation::is_idempotent(const std::string& task) const {
    return m_jobs.at(split_task_id(task).job).idempotent;
}

/// The state of a job in the log and in replies must agree with the starts on the workers.
void simulation::check_reported_outcomes() {
    for (const auto& [id, s] : schedulers) {
        if (!s.engine) {
            continue;
        }
        for (const auto& [job, record] : s.engine->table().jobs()) {
            for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
                const auto& task = record.tasks[index];
                const std::string name = task_id(job, index);
                const auto starts = m_starts.find(name);
                const bool started = starts != m_starts.end() && starts->second > 0;
                if (task.ended && task.execution == execution_status::not_run && started) {
                    throw violation(name + " was reported as not run, but was started");
                }
                if (task.ended && task.execution == execution_status::ran && !started) {
                    throw violation(name + " was reported as run, but was not started");
                }
            }
        }
    }
    for (const auto& call : calls) {
        const bool reported_not_run = call->answer && !call->cancel && !call->maybe_executed &&
                                      call->answer->status == reply_status::refused &&
                                      call->answer->outcome == execution_status::not_run &&
                                      call->answer->reason != refusal::id_conflict;
        if (reported_not_run && starts_of(call->job.id) > 0) {
            throw violation("job " + call->job.id + " was refused as not run, but was started");
        }
    }
}

void simulation::check_end(bool all_ended) {
    check_reported_outcomes();
    const shard_engine* const engine = owner_engine();
    for (const auto& [id, s] : schedulers) {
        if (s.engine && !s.paused && !s.open_tickets.empty()) {
            throw violation("scheduler " + id + " has a call without a reply");
        }
    }
    if (!all_ended) {
        return;
    }
    if (engine == nullptr) {
        throw violation("the shard has no owner at the end");
    }
    for (const auto& call : calls) {
        if (!call->answer) {
            throw violation("the call for job " + call->job.id + " has no reply");
        }
        const bool accepted = call->answer->status == reply_status::accepted ||
                              call->answer->status == reply_status::ok;
        if (!accepted) {
            continue;
        }
        const job_record* const record = engine->table().find(call->job.id);
        if (record == nullptr) {
            throw violation("accepted job " + call->job.id + " is lost");
        }
        const bool is_service = record->spec.kind == placement::workload_kind::service;
        if (!record->ended() && (!is_service || record->cancelled)) {
            throw violation("job " + call->job.id +
                            " has not ended: " + engine->explain(call->job.id).body);
        }
        if (!record->ended() && running_of(call->job.id) != record->tasks.size()) {
            throw violation("service " + call->job.id +
                            " does not run all its tasks: " + engine->explain(call->job.id).body);
        }
    }
}

} // namespace buckthornspar::scenario
