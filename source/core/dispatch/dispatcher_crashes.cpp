#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Limits the length of a log line; a worker may have held hundreds of runs.
constexpr std::size_t max_logged_runs = 8;
// A worker that was cut off rather than crashed is back in the instance list within this time.
constexpr auto gone_worker_memory = std::chrono::minutes(1);
// More workers that are silent with runs at a time are hardly crashed by tasks. Suspected tasks
// start one by one, so that a successor would need long for the jobs of many lost workers.
constexpr std::size_t max_recorded_crashes = 2;

std::string describe(const std::vector<suspected_run>& suspects) {
    std::string text;
    for (std::size_t i = 0; i < std::min(suspects.size(), max_logged_runs); ++i) {
        const auto& [task, run] = suspects[i].run;
        text += (i == 0 ? "" : ",") + to_string(task) + "/" + std::to_string(run);
    }
    return text;
}

std::uint32_t& count_of(task_progress& progress, const suspected_run& suspect) {
    return suspect.silent      ? progress.silent_losses
           : suspect.confirmed ? progress.crashes
                               : progress.possible_crashes;
}

// An unconfirmed order may not have arrived before the crash, unless the worker responded just
// before, as is checked for a suspected task.
bool is_counted(const placed_run& placed) {
    return placed.confirmed || placed.started_as_suspect;
}

bool is_one_job(const std::vector<run_key>& runs) {
    return std::all_of(runs.begin(), runs.end(), [&runs](const run_key& run) {
        return run.task.job == runs.front().task.job;
    });
}

} // namespace

std::pair<job_entry*, task_state*> dispatcher::find_open_task(const run_key& run) {
    const auto position = m_jobs.find(run.task.job);
    if (position == m_jobs.end() || is_final(position->second.state)) {
        return {nullptr, nullptr};
    }
    const auto* const task = position->second.find(run.task);
    if (task == nullptr || task->progress.succeeded) {
        return {nullptr, nullptr};
    }
    return {&position->second, &position->second.edit(run.task)};
}

std::vector<suspected_run> dispatcher::find_suspects(const worker_entry& worker,
                                                     common::time_point crashed_at,
                                                     loss_evidence evidence) const {
    const auto& settings = m_settings.crashes;
    const bool silent = evidence == loss_evidence::silent;
    const auto runs = attribute_crash(worker.runs, crashed_at, settings);
    if (runs.empty() || (silent && has_common_cause(worker, crashed_at, settings.silence_window))) {
        // Suspected tasks start one by one; hundreds of them would stand after a network partition.
        return {};
    }
    const bool one_cause =
        is_one_job(runs) && !has_common_cause(worker, crashed_at, settings.common_cause_window);
    std::vector<suspected_run> suspects;
    for (const auto& run : runs) {
        const auto& placed = worker.runs.at(run);
        const bool attributed = one_cause && crashed_at <= placed.ordered_at + settings.isolation;
        suspects.push_back({run, attributed, placed.confirmed, silent});
    }
    return suspects;
}

// The runs of the worker are lost. Whether it has crashed shows its next incarnation, or its
// removal after it refused connections; until then it may only be silent, and the tasks are not
// given up. A worker that leaves the list without such a sign may have been cut off from all nodes
// and the store.
void dispatcher::count_crash(common::time_point now, worker_entry& worker,
                             common::time_point crashed_at, loss_evidence evidence) {
    const auto suspects = find_suspects(worker, crashed_at, evidence);
    const auto run_age = suspects.empty() ? common::duration(0)
                                          : crashed_at - worker.runs.at(suspects[0].run).ordered_at;
    m_counters.get("worker_crashes_total", "suspects", suspects.empty() ? "none" : "some").add();
    log_event(severity::info, "worker_runs_lost",
              {{"worker", worker.report.id},
               {"runs", worker.begun_runs()},
               {"starts", worker.runs.size() - worker.begun_runs()},
               {"suspects", suspects.size()},
               {"run_age_ms", common::to_milliseconds(run_age)},
               {"silent_ms", common::to_milliseconds(now - crashed_at)},
               {"evidence", loss_evidence_names.name(evidence)},
               {"tasks", describe(suspects)}});
    for (auto& entry : worker.runs) {
        entry.second.crash_counted = true;
    }
    for (const auto& suspect : suspects) {
        const auto [job, task] = find_open_task(suspect.run);
        if (task == nullptr) {
            continue;
        }
        task->suspected = true;
        job->find_step(suspect.run.task)->probe_passed = false;
        if (is_counted(worker.runs.at(suspect.run))) {
            count_suspect(worker, suspect);
        }
        log_event(severity::warning, "task_suspected",
                  {{"task", to_string(suspect.run.task)},
                   {"run", suspect.run.run},
                   {"crashes", task->all_crashes()},
                   {"attributed", suspect.attributed ? 1 : 0}});
    }
}

void dispatcher::count_suspect(worker_entry& worker, const suspected_run& suspect) {
    const auto [job, task] = find_open_task(suspect.run);
    ++count_of(task->progress, suspect);
    task->pending_crashes += suspect.silent ? 0 : 1;
    mark_dirty(*job);
    worker.pending_suspects.push_back(suspect);
}

void dispatcher::record_suspects(worker_record& record) const {
    std::vector<const worker_entry*> workers;
    for (const auto& id : record.unresponsive_workers) {
        const auto& worker = *m_workers.find(id);
        if (!worker.runs.empty() && !worker.report.draining) {
            workers.push_back(&worker);
        }
    }
    if (workers.size() > max_recorded_crashes) {
        return;
    }
    for (const auto* const worker : workers) {
        const auto evidence =
            worker->connection_refused ? loss_evidence::refused : loss_evidence::silent;
        for (const auto& suspect : find_suspects(*worker, worker->silent_since, evidence)) {
            if (is_counted(worker->runs.at(suspect.run))) {
                record.suspects.push_back(
                    {worker->report.id, worker->report.start_time_ms, suspect});
            }
        }
    }
}

// The former owner counts a crash when the lease of the worker is over. A successor does not know
// its runs, so that without the record tasks would crash one worker for each owner that is lost
// before.
void dispatcher::count_recorded_suspects(common::time_point now, const std::string& job) {
    const auto recorded = m_recorded_suspects.extract(job);
    if (recorded.empty()) {
        return;
    }
    for (const auto& [id, start_time_ms, suspect] : recorded.mapped()) {
        auto* const worker = m_workers.find(id);
        const auto* const task = find_open_task(suspect.run).second;
        if (worker == nullptr || task == nullptr || task->progress.is_processed(suspect.run.run)) {
            continue;
        }
        count_suspect(*worker, suspect);
        log_event(severity::warning, "task_suspected",
                  {{"task", to_string(suspect.run.task)},
                   {"run", suspect.run.run},
                   {"crashes", task->all_crashes()},
                   {"attributed", suspect.attributed ? 1 : 0}});
        if (worker->report.start_time_ms != start_time_ms) {
            confirm_crash(now, *worker, loss_evidence::restarted);
        }
    }
}

bool dispatcher::has_common_cause(const worker_entry& worker, common::time_point crashed_at,
                                  common::duration window) const {
    std::size_t others = 0;
    for (const auto& [id, other] : m_workers.all()) {
        const bool together = other.poll_failures > 0 &&
                              other.silent_since <= crashed_at + window &&
                              crashed_at <= other.silent_since + window;
        others += together && other.slot != worker.slot ? 1 : 0;
    }
    return others >= m_settings.crashes.common_cause_workers;
}

bool dispatcher::may_give_up(const task_state& task, const suspected_run& last) const {
    const auto& limits = m_settings.crashes;
    const auto certain =
        task.progress.crashes - std::min(task.progress.crashes, task.pending_crashes);
    const bool attributed = last.attributed && last.confirmed;
    return certain >= (attributed ? limits.attributed_limit : limits.ambiguous_limit) ||
           task.likely_crashes() - task.pending_crashes >= limits.ambiguous_limit ||
           task.all_crashes() - task.pending_crashes >= limits.silence_limit;
}

void dispatcher::confirm_crash(common::time_point now, worker_entry& worker,
                               loss_evidence evidence) {
    auto suspects = std::exchange(worker.pending_suspects, {});
    for (const auto& suspect : suspects) {
        const auto [job, task] = find_open_task(suspect.run);
        if (task == nullptr) {
            continue;
        }
        if (!suspect.silent) {
            task->pending_crashes -= std::min(1U, task->pending_crashes);
        }
        m_replan_needed = true;
        if (may_give_up(*task, suspect)) {
            m_counters.get("tasks_given_up_total", "reason", "crashed_workers").add();
            log_event(severity::warning, "task_given_up",
                      {{"task", to_string(suspect.run.task)},
                       {"run", suspect.run.run},
                       {"worker", worker.report.id},
                       {"evidence", loss_evidence_names.name(evidence)},
                       {"attributed", suspect.attributed ? 1 : 0},
                       {"crashes", task->progress.crashes},
                       {"possible_crashes", task->progress.possible_crashes},
                       {"silent_losses", task->progress.silent_losses},
                       {"failures", task->progress.failures}});
            end_job(now, *job, job_state::failed, "crashed_workers");
        }
    }
    std::erase_if(m_gone_workers, [now](const auto& entry) {
        return now > entry.second.gone_at + gone_worker_memory;
    });
    if (!suspects.empty()) {
        m_gone_workers[worker.report.id] = {worker.report.start_time_ms, now, std::move(suspects)};
    }
}

void dispatcher::withdraw_crash(const std::vector<suspected_run>& suspects, bool confirmed) {
    for (const auto& suspect : suspects) {
        const auto [job, task] = find_open_task(suspect.run);
        // A run that a worker survived has cleared the task meanwhile.
        if (task == nullptr || count_of(task->progress, suspect) == 0) {
            continue;
        }
        --count_of(task->progress, suspect);
        task->crashes_stored = std::min(task->crashes_stored, task->all_crashes());
        if (!confirmed && !suspect.silent) {
            task->pending_crashes -= std::min(1U, task->pending_crashes);
        }
        mark_dirty(*job);
        m_replan_needed = true;
    }
}

void dispatcher::withdraw_crash_of_returned_worker(const worker_report& report) {
    const auto gone = m_gone_workers.find(report.id);
    if (gone != m_gone_workers.end() && gone->second.start_time_ms == report.start_time_ms) {
        withdraw_crash(gone->second.suspects, true);
        m_gone_workers.erase(gone);
    }
}

// Called when a worker lists the run of a task.
void dispatcher::note_survival(common::time_point now, job_entry& job, const task_key& task,
                               const placed_run& placed) {
    if (!job.find(task)->is_suspected()) {
        return;
    }
    if (now > placed.ordered_at + m_settings.crashes.isolation) {
        job.find_step(task)->probe_passed = true;
    }
    if (now > placed.ordered_at + m_settings.crashes.max_age) {
        clear_suspicion(job, task);
    }
}

void dispatcher::clear_suspicion(job_entry& job, const task_key& task) {
    auto& state = job.edit(task);
    state.suspected = false;
    state.progress.crashes = 0;
    state.progress.possible_crashes = 0;
    state.progress.silent_losses = 0;
    state.crashes_stored = 0;
    state.pending_crashes = 0;
    mark_dirty(job);
}

void dispatcher::isolate_suspect(common::time_point now, worker_entry& worker, step_state& step,
                                 const run_key& run) {
    if (!step.tasks[run.task.index].is_suspected()) {
        return;
    }
    worker.runs.at(run).started_as_suspect = true;
    worker.isolated_until = now + m_settings.crashes.isolation;
    step.probe_until = worker.isolated_until;
    m_counters.get("suspect_starts_total").add();
}

void dispatcher::note_batch_crashes(job_entry& job) {
    bool suspected = false;
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& step : occurrence.steps) {
            for (auto& [index, task] : step.tasks.own()) {
                task.crashes_in_batch = task.all_crashes();
                suspected |= task.is_suspected();
            }
        }
    }
    if (suspected) {
        m_batch_suspects.push_back(job.spec.id);
    }
}

void dispatcher::confirm_batch_crashes() {
    for (const auto& id : std::exchange(m_batch_suspects, {})) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end()) {
            continue;
        }
        for (auto& [number, occurrence] : job->second.occurrences) {
            for (auto& step : occurrence.steps) {
                for (auto& [index, task] : step.tasks.own()) {
                    task.crashes_stored = task.crashes_in_batch;
                }
            }
        }
        m_replan_needed = true;
    }
}

} // namespace buckthornspar::dispatch
